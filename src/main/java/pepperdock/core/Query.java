package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.aggregator.Aggregator;

/** A query in hand, from the moment it was taken to its one final answer. */
public final class Query {

    final long id;
    final Client client;
    final double endAt;
    /** The rules that it was taken under, whatever the settings have become. */
    final Aggregator.QueryClass kind;

    final String className;
    final int maxAttempts;
    final List<Part> parts = new ArrayList<>();
    boolean ended;
    Clock.Timer guard;
    private final Ask ask;

    Query(
            long id,
            Ask ask,
            Client client,
            double endAt,
            Aggregator.QueryClass kind,
            String className,
            int maxAttempts) {
        this.kind = kind;
        this.className = className;
        this.maxAttempts = maxAttempts;
        this.id = id;
        this.ask = ask;
        this.client = client;
        this.endAt = endAt;
    }

    /** One for each query taken, never used again; the client's own id may be. */
    public long no() {
        return id;
    }

    /** The class whose rules it goes by, as the settings were when it came. */
    public Aggregator.QueryClass kind() {
        return kind;
    }

    public String className() {
        return className;
    }

    public Ask ask() {
        return ask;
    }

    public List<Part> parts() {
        return List.copyOf(parts);
    }
}
