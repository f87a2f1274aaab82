package pepperdock.opensearch;

import com.google.gson.JsonObject;
import pepperdock.codec.http.HttpMessage;
import pepperdock.core.Attempt;
import pepperdock.scheduler.AttemptOutcome;

/**
 * What a worker's response to an attempt amounts to. A response with a success status is read strictly: one that is
 * damaged, incomplete or about something else is an error.
 *
 * @param value the body, if the outcome is {@link AttemptOutcome#OK}, else null
 * @param defect why a response with a success status is unusable; null otherwise
 */
record AttemptAnswer(AttemptOutcome outcome, byte[] value, String defect) {

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Checks a response. */
    static AttemptAnswer of(Attempt attempt, HttpMessage response) {
        SearchRequest request = attempt.part().query().request().frontContext() instanceof SearchRequest searchRequest
                ? searchRequest
                : null;
        boolean update = request != null && request.isUpdate();
        if (response.status() != OK && !(update && response.status() == CREATED)) {
            boolean overloaded = response.status() == TOO_MANY_REQUESTS;
            return new AttemptAnswer(overloaded ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR, null, null);
        }
        try {
            if (update) {
                checkUpdateSucceeded(request.docId(), response.body());
            } else {
                ShardAnswer.parseStrictly(attempt.part().shard(), response.body());
            }
            return new AttemptAnswer(AttemptOutcome.OK, response.body(), null);
        } catch (RuntimeException e) {
            return new AttemptAnswer(AttemptOutcome.ERROR, null, String.valueOf(e.getMessage()));
        }
    }

    /**
     * Throws if the primary did not apply the update, which is an error whatever the status says, or if the answer is
     * about another document.
     */
    private static void checkUpdateSucceeded(String docId, byte[] body) {
        JsonObject answer = StrictJson.parseObject(body);
        if (answer.has("_id") && !answer.get("_id").getAsString().equals(docId)) {
            throw new IllegalArgumentException("the answer is about another document");
        }
        JsonObject shards = answer.getAsJsonObject("_shards");
        if (shards != null
                && shards.get("successful").getAsInt() < 1
                && shards.get("total").getAsInt() > 0) {
            throw new IllegalArgumentException("no shard applied the update");
        }
    }
}
