package pepperdock.opensearch;

import pepperdock.transport.HttpResponseSender;

/** Responses to queries that end without an answer, in the API's error shape. */
final class QueryErrors {

    private QueryErrors() {}

    /** The query was rejected, and a retry has no side effects; {@code retryAfterS} is 0 for no advice. */
    static void rejected(HttpResponseSender reply, double retryAfterS) {
        // Retry-After is in whole seconds, and must not be sooner than advised.
        String header = retryAfterS > 0 ? "Retry-After: " + (long) Math.ceil(retryAfterS) + "\r\n" : "";
        ApiResponses.error(reply, 429, "rejected_execution_exception", "refused, trying again is harmless", header);
    }

    /** The query failed, perhaps after it took effect; {@code overdue} where its deadline has passed. */
    static void failed(HttpResponseSender reply, boolean overdue) {
        if (overdue) {
            ApiResponses.error(reply, 504, "timeout_exception", "no answer in time", "");
        } else {
            ApiResponses.error(reply, 500, "search_phase_execution_exception", "given up; it may have had effects", "");
        }
    }
}
