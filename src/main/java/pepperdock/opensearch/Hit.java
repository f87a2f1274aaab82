package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** One hit of one shard, as its backend worded it. */
record Hit(int shard, JsonObject json) {

    /** The order of a search body's {@code sort}; without one, the best score first. Ties stay in shard order. */
    static Comparator<Hit> order(JsonElement sort) {
        if (sort == null) {
            return Comparator.comparingDouble((Hit h) -> -h.score()).thenComparingInt(Hit::shard);
        }
        List<Boolean> descending = new ArrayList<>();
        JsonArray keys = sort.isJsonArray() ? sort.getAsJsonArray() : new JsonArray();
        if (!sort.isJsonArray()) {
            keys.add(sort);
        }
        for (JsonElement key : keys) {
            descending.add(descends(key));
        }
        return (a, b) -> {
            for (int i = 0; i < descending.size(); i++) {
                int c = compare(a.sortValue(i), b.sortValue(i));
                if (c != 0) {
                    return descending.get(i) ? -c : c;
                }
            }
            return Integer.compare(a.shard, b.shard);
        };
    }

    private static boolean descends(JsonElement key) {
        if (key.isJsonPrimitive()) {
            return key.getAsString().equals("_score");
        }
        var field = key.getAsJsonObject().entrySet().iterator().next();
        JsonElement how = field.getValue();
        JsonElement order = how.isJsonObject() ? how.getAsJsonObject().get("order") : how;
        return order == null
                ? field.getKey().equals("_score")
                : order.getAsString().equalsIgnoreCase("desc");
    }

    private double score() {
        JsonElement score = json.get("_score");
        return score == null || !score.isJsonPrimitive() ? 0 : score.getAsDouble();
    }

    private JsonElement sortValue(int at) {
        return json.has("sort") && at < json.getAsJsonArray("sort").size()
                ? json.getAsJsonArray("sort").get(at)
                : null;
    }

    /** Numbers as numbers, else as text; what is missing comes last. */
    private static int compare(JsonElement a, JsonElement b) {
        boolean noA = a == null || a.isJsonNull();
        boolean noB = b == null || b.isJsonNull();
        if (noA || noB) {
            return Boolean.compare(noA, noB);
        }
        boolean numbers = a.isJsonPrimitive()
                && a.getAsJsonPrimitive().isNumber()
                && b.isJsonPrimitive()
                && b.getAsJsonPrimitive().isNumber();
        return numbers
                ? Double.compare(a.getAsDouble(), b.getAsDouble())
                : a.getAsString().compareTo(b.getAsString());
    }
}
