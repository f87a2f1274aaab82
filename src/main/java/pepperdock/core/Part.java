package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.AttemptOutcome;

/** A part of a query; its value stands here once a worker's answer is in. */
public final class Part {

    final long id;
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

    public Query query() {
        return query;
    }

    public int shard() {
        return shard;
    }

    public double weight() {
        return weight;
    }

    /** The worker's answer, unchanged; null while it is not in. */
    public byte[] value() {
        return value;
    }

    /** The worker whose answer is in. */
    public String servedBy() {
        return servedBy;
    }

    public boolean isSent() {
        return !attempts.isEmpty();
    }

    /** How its last attempt ended: null when never sent, or still out. */
    public AttemptOutcome lastOutcome() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).outcome;
    }
}
