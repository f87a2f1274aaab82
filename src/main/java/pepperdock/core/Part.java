package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.AttemptOutcome;

/** A part of a query, with its attempts and, after a worker has answered, its value. Owned by the gatherer's thread. */
public final class Part {

    final long id;
    /** Attempts at this part, in the order of the decisions. */
    final List<Attempt> attempts = new ArrayList<>();

    byte[] value;
    /** The attempt that the value is from; null while there is no value. */
    Attempt answeredBy;

    private final Query query;
    private final int shard;
    private final double weight;

    Part(long id, Query query, int shard, double weight) {
        this.id = id;
        this.query = query;
        this.shard = shard;
        this.weight = weight;
    }

    /** Returns the query that this part belongs to. */
    public Query query() {
        return query;
    }

    /** Returns the shard that this part reads. */
    public int shard() {
        return shard;
    }

    /** Returns this part's share of the complete answer, between 0 and 1. */
    public double weight() {
        return weight;
    }

    /** Returns the worker's answer, unchanged; null until a worker has answered, and after that answer is retracted. */
    public byte[] value() {
        return value;
    }

    /** Returns the id of the worker that answered; null until a worker has answered. */
    public String servedBy() {
        return answeredBy == null ? null : answeredBy.worker;
    }

    /** Returns whether the scheduler has decided on an attempt at this part. */
    public boolean isSent() {
        return !attempts.isEmpty();
    }

    /** Returns the outcome of the last attempt; null if there was no attempt or the last one is in flight. */
    public AttemptOutcome lastOutcome() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).outcome;
    }
}
