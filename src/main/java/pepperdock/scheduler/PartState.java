package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;

/** A part of a query: what one shard contributes. Plain data. */
final class PartState {

    /** The caller's id, by which actions name the part. */
    final long id;

    /** Query that the part belongs to. */
    final QueryState query;

    /** Shard that the part reads. */
    final int shard;

    /** Share of the complete answer, 0 to 1. */
    final double weight;

    /** An answer has come and counts towards the query's coverage. */
    boolean answered;

    /** The query's fan-out includes the part; false where it is left out or no longer needed. */
    boolean wanted;

    /** Attempts without a result. */
    int outstanding;

    /** All attempts, in order of sending. */
    final List<AttemptState> attempts = new ArrayList<>();

    PartState(long id, QueryState query, int shard, double weight) {
        this.id = id;
        this.query = query;
        this.shard = shard;
        this.weight = weight;
    }

    AttemptState lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Whether the limit on attempts leaves another one. */
    boolean hasAttemptsLeft() {
        return attempts.size() < query.maxAttempts;
    }
}
