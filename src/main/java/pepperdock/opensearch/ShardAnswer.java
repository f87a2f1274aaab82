package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One shard's answer to a search: its hits, how many there are in all, and its scroll context, if any. */
record ShardAnswer(List<Hit> hits, long total, String scrollId) {

    /**
     * Parses a worker's answer, including every field that is read when answers are merged, so that merging can't fail.
     * Throws if it is not the complete answer of the shard: a response with a success status may still report shard
     * failures or a time-out in its body, and missing hits must not pass for hits that don't exist.
     */
    static ShardAnswer parseStrictly(int shard, byte[] body) {
        JsonObject answer = StrictJson.parseObject(body);
        JsonObject shards = answer.getAsJsonObject("_shards");
        if (flag(answer, "timed_out")
                || flag(answer, "terminated_early")
                || shards == null
                || shards.has("failed") && shards.get("failed").getAsInt() > 0
                || shards.has("failures") && !shards.getAsJsonArray("failures").isEmpty()
                || shards.has("successful") && shards.get("successful").getAsInt() < 1) {
            throw new IllegalArgumentException("the shard's answer is not complete");
        }
        return read(shard, answer);
    }

    /** Parses a part's value; a worker of another protocol returns bare text, which becomes one hit. */
    static ShardAnswer parseLeniently(int shard, String index, byte[] value) {
        try {
            JsonObject answer = StrictJson.parseObject(value);
            if (answer.has("hits")) {
                return read(shard, answer);
            }
        } catch (RuntimeException e) {
            // The value is not of this API: it is taken as text below.
        }
        JsonObject source = new JsonObject();
        source.addProperty("range", shard);
        source.addProperty("blob", new String(value, StandardCharsets.UTF_8));
        JsonObject hit = new JsonObject();
        hit.addProperty("_index", index);
        hit.addProperty("_id", Integer.toString(shard));
        hit.addProperty("_score", 1.0);
        hit.add("_source", source);
        return new ShardAnswer(List.of(Hit.parse(shard, hit)), 1, null);
    }

    private static ShardAnswer read(int shard, JsonObject answer) {
        JsonObject outer = answer.getAsJsonObject("hits");
        JsonArray inner = outer.getAsJsonArray("hits");
        List<Hit> hits = new ArrayList<>();
        for (JsonElement hit : inner) {
            hits.add(Hit.parse(shard, hit.getAsJsonObject()));
        }
        JsonElement total = outer.get("total");
        long count = total == null || total.isJsonNull()
                ? hits.size()
                : total.isJsonObject() ? total.getAsJsonObject().get("value").getAsLong() : total.getAsLong();
        return new ShardAnswer(
                hits, count, answer.has("_scroll_id") ? answer.get("_scroll_id").getAsString() : null);
    }

    private static boolean flag(JsonObject answer, String name) {
        return answer.has(name) && answer.get(name).getAsBoolean();
    }
}
