package pepperdock.opensearch;

import pepperdock.core.Part;
import pepperdock.opensearch.ApiResponses.ShardFailure;
import pepperdock.scheduler.AttemptOutcome;

/** Maps parts without an answer to the shard failures of the API's {@code _shards} object. */
final class PartFailures {

    private PartFailures() {}

    /** Returns whether a part was sent and got no answer in time. */
    static boolean timedOut(Part part) {
        AttemptOutcome last = part.lastOutcome();
        return part.isSent() && (last == null || last == AttemptOutcome.TIMEOUT || last == AttemptOutcome.CANCELLED);
    }

    /** Returns the shard failure for a part without an answer. */
    static ShardFailure of(Part part) {
        if (!part.isSent()) {
            return new ShardFailure(part.shard(), "rejected_execution_exception", "left out under load");
        }
        if (timedOut(part)) {
            return new ShardFailure(part.shard(), "timeout_exception", "no answer in time");
        }
        return new ShardFailure(part.shard(), "shard_failed_exception", "ended as " + outcomeName(part.lastOutcome()));
    }

    /** Returns the name of an outcome in the API's failure reasons, which is part of the interface. */
    private static String outcomeName(AttemptOutcome outcome) {
        return switch (outcome) {
            case OVERLOADED -> "FULL";
            case NOT_SENT -> "MOOT";
            default -> outcome.name();
        };
    }
}
