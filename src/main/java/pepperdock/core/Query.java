package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.QueryClass;

/** A query, from its arrival to its only final answer. Owned by the gatherer's thread. */
public final class Query {

    final long id;
    final QueryListener listener;
    /** Time at which the client stops waiting, in seconds on the {@link Clock}. */
    final double deadline;
    /** Class with the rules in force when the query arrived; later changes of the settings do not affect it. */
    final QueryClass queryClass;

    final String className;
    /** Maximum number of attempts at each part. */
    final int maxAttempts;

    final List<Part> parts = new ArrayList<>();
    boolean ended;
    /**
     * Timer that answers the query shortly after its deadline if the scheduler has not; null for a query that was
     * rejected on arrival.
     */
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

    /**
     * Returns a number that is unique among the queries of this gatherer, unlike the client's id, which may be reused.
     */
    public long sequenceNumber() {
        return id;
    }

    /** Returns the class whose rules apply, from the settings in force on arrival. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** Returns the name of the class, from the settings in force on arrival. */
    public String className() {
        return className;
    }

    /** Returns the client's request. */
    public QueryRequest request() {
        return request;
    }

    /** Returns the parts, in the order of the request; empty for a query that was rejected on arrival. */
    public List<Part> parts() {
        return List.copyOf(parts);
    }
}
