package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;

/** A part of a query: the contribution of one shard. Plain data. */
final class PartState {

    /** The caller's id, which identifies the part in actions. */
    final long id;

    /** Query that the part belongs to. */
    final QueryState query;

    /** Shard that the part reads. */
    final int shard;

    /** Share of the complete answer, 0 to 1. */
    final double weight;

    /** The attempt whose answer counts towards the query's coverage; null while there is none. */
    AttemptState answeredBy;

    /** Whether the query's fan-out includes the part; false if the part is left out or no longer needed. */
    boolean wanted;

    /** Number of attempts without a result. */
    int outstanding;

    /** All attempts, in order of sending. */
    final List<AttemptState> attempts = new ArrayList<>();

    PartState(long id, QueryState query, int shard, double weight) {
        this.id = id;
        this.query = query;
        this.shard = shard;
        this.weight = weight;
    }

    /** Returns whether an answer has arrived that counts towards the query's coverage. */
    boolean isAnswered() {
        return answeredBy != null;
    }

    AttemptState lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns whether the limit on attempts permits another one. */
    boolean hasAttemptsLeft() {
        return attempts.size() < query.maxAttempts;
    }
}
