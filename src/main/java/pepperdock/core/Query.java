package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.QueryClass;

/** A query in hand, from the moment it was taken to its one final answer. */
public final class Query {

    final long id;
    final QueryListener client;
    final double endAt;
    /** The rules that it was taken under, whatever the settings have become. */
    final QueryClass queryClass;

    final String className;
    final int maxAttempts;
    final List<Part> parts = new ArrayList<>();
    boolean ended;
    Clock.Timer guard;
    private final QueryRequest request;

    Query(
            long id,
            QueryRequest ask,
            QueryListener client,
            double endAt,
            QueryClass kind,
            String className,
            int maxAttempts) {
        this.queryClass = kind;
        this.className = className;
        this.maxAttempts = maxAttempts;
        this.id = id;
        this.request = ask;
        this.client = client;
        this.endAt = endAt;
    }

    /** One for each query taken, never used again; the client's own id may be. */
    public long sequenceNumber() {
        return id;
    }

    /** The class whose rules it goes by, as the settings were when it came. */
    public QueryClass queryClass() {
        return queryClass;
    }

    public String className() {
        return className;
    }

    public QueryRequest request() {
        return request;
    }

    public List<Part> parts() {
        return List.copyOf(parts);
    }
}
