package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.QueryClass;

/** A query, from its arrival to its one final answer. Owned by the gatherer's thread. */
public final class Query {

    final long id;
    final QueryListener listener;
    /** When the client stops waiting, in seconds on the {@link Clock}. */
    final double deadline;
    /** The rules in force when it arrived, whatever the settings have become since. */
    final QueryClass queryClass;

    final String className;
    /** Most attempts at one of its parts. */
    final int maxAttempts;

    final List<Part> parts = new ArrayList<>();
    boolean ended;
    /** Answers shortly after the deadline if the scheduler has not; null for a query that was rejected on arrival. */
    Clock.Timer deadlineGuard;

    private final QueryRequest request;

    Query(
            long id,
            QueryRequest request,
            QueryListener listener,
            double deadline,
            QueryClass queryClass,
            String className,
            int maxAttempts) {
        this.queryClass = queryClass;
        this.className = className;
        this.maxAttempts = maxAttempts;
        this.id = id;
        this.request = request;
        this.listener = listener;
        this.deadline = deadline;
    }

    /** Number that this gatherer uses for no other query; the client's own id may be used again. */
    public long sequenceNumber() {
        return id;
    }

    /** The class whose rules apply, as the settings were on arrival. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** Name of the class, as the settings were on arrival. */
    public String className() {
        return className;
    }

    /** What the client asked for. */
    public QueryRequest request() {
        return request;
    }

    /** Its parts, in the order of the request; none for a query that was rejected on arrival. */
    public List<Part> parts() {
        return List.copyOf(parts);
    }
}
