package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import pepperdock.transport.HttpResponseSender;

/** Builds and sends the API's JSON responses for answers and errors. */
final class ApiResponses {

    private static final String JSON = "application/json; charset=UTF-8";

    private ApiResponses() {}

    /** A shard that is missing from the answer, and why. */
    record ShardFailure(int shard, String type, String reason) {}

    static void sendError(HttpResponseSender reply, int status, String type, String reason, String extraHeaders) {
        JsonObject cause = new JsonObject();
        cause.addProperty("type", type);
        cause.addProperty("reason", reason);
        JsonArray causes = new JsonArray();
        causes.add(cause.deepCopy());
        JsonObject error = new JsonObject();
        error.add("root_cause", causes);
        error.addProperty("type", type);
        error.addProperty("reason", reason);
        JsonObject body = new JsonObject();
        body.add("error", error);
        body.addProperty("status", status);
        reply.send(status, JSON, extraHeaders, bytes(body));
    }

    static void sendOk(HttpResponseSender reply, JsonObject body) {
        reply.send(200, JSON, "", bytes(body));
    }

    static void sendRaw(HttpResponseSender reply, byte[] body) {
        reply.send(200, JSON, "", body);
    }

    static JsonObject searchBody(
            String index,
            long tookMs,
            boolean timedOut,
            int shards,
            List<ShardFailure> missing,
            long total,
            List<Hit> hits,
            String scrollId) {
        JsonObject body = new JsonObject();
        if (scrollId != null) {
            body.addProperty("_scroll_id", scrollId);
        }
        body.addProperty("took", tookMs);
        body.addProperty("timed_out", timedOut);
        JsonObject counts = new JsonObject();
        counts.addProperty("total", shards);
        counts.addProperty("successful", shards - missing.size());
        counts.addProperty("skipped", 0);
        counts.addProperty("failed", missing.size());
        if (!missing.isEmpty()) {
            JsonArray failures = new JsonArray();
            for (ShardFailure shardFailure : missing) {
                JsonObject reason = new JsonObject();
                reason.addProperty("type", shardFailure.type());
                reason.addProperty("reason", shardFailure.reason());
                JsonObject failure = new JsonObject();
                failure.addProperty("shard", shardFailure.shard());
                failure.addProperty("index", index);
                failure.add("reason", reason);
                failures.add(failure);
            }
            counts.add("failures", failures);
        }
        body.add("_shards", counts);
        JsonObject count = new JsonObject();
        count.addProperty("value", total);
        // Shards that did not answer may hold more: the count is exact only when all did.
        count.addProperty("relation", missing.isEmpty() ? "eq" : "gte");
        JsonArray list = new JsonArray();
        for (Hit hit : hits) {
            list.add(hit.json());
        }
        JsonObject outer = new JsonObject();
        outer.add("total", count);
        outer.addProperty(
                "max_score",
                hits.stream()
                        .map(Hit::score)
                        .filter(Objects::nonNull)
                        .max(Comparator.naturalOrder())
                        .orElse(null));
        outer.add("hits", list);
        body.add("hits", outer);
        return body;
    }

    private static byte[] bytes(JsonObject body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
