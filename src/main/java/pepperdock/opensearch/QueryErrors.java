package pepperdock.opensearch;

import pepperdock.transport.HttpResponseSender;

/** Sends the responses to queries that end without an answer, in the API's error format. */
final class QueryErrors {

    private QueryErrors() {}

    /** Answers a query that was rejected, where a retry has no side effects; {@code retryAfterS} is 0 for no advice. */
    static void sendRejected(HttpResponseSender reply, double retryAfterS) {
        // Retry-After is in whole seconds, and must not be sooner than advised.
        String header = retryAfterS > 0 ? "Retry-After: " + (long) Math.ceil(retryAfterS) + "\r\n" : "";
        ApiResponses.sendError(reply, 429, "rejected_execution_exception", "refused, trying again is harmless", header);
    }

    /** Answers a query that failed, perhaps after it took effect; {@code overdue} if its deadline has passed. */
    static void sendFailed(HttpResponseSender reply, boolean overdue) {
        if (overdue) {
            ApiResponses.sendError(reply, 504, "timeout_exception", "no answer in time", "");
        } else {
            ApiResponses.sendError(
                    reply, 500, "search_phase_execution_exception", "given up; it may have had effects", "");
        }
    }
}
