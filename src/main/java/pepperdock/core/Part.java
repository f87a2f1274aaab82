package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.AttemptOutcome;

/** A part of a query, with its attempts and, once a worker has answered, its value. Owned by the gatherer's thread. */
public final class Part {

    final long id;
    /** In the order of the decisions. */
    final List<Attempt> attempts = new ArrayList<>();

    byte[] value;
    String servedBy;
    private final Query query;
    private final int shard;
    private final double weight;

    Part(long id, Query query, int shard, double weight) {
        this.id = id;
        this.query = query;
        this.shard = shard;
        this.weight = weight;
    }

    /** The query that it belongs to. */
    public Query query() {
        return query;
    }

    /** The shard that it reads. */
    public int shard() {
        return shard;
    }

    /** Its share of the complete answer, between 0 and 1. */
    public double weight() {
        return weight;
    }

    /** The worker's answer, unchanged; null until a worker has answered. */
    public byte[] value() {
        return value;
    }

    /** Id of the worker that answered; null until one has. */
    public String servedBy() {
        return servedBy;
    }

    /** Whether the scheduler has decided on an attempt at it. */
    public boolean isSent() {
        return !attempts.isEmpty();
    }

    /** Outcome of its last attempt; null when there was none, or it is in flight. */
    public AttemptOutcome lastOutcome() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).outcome;
    }
}
