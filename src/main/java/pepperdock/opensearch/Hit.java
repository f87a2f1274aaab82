package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** One hit of one shard, in the JSON of its worker. */
record Hit(int shard, JsonObject json) {

    /**
     * Returns the order of a search body's {@code sort}; without one, the best score first. Ties are in shard order.
     */
    static Comparator<Hit> order(JsonElement sort) {
        if (sort == null) {
            return Comparator.comparingDouble((Hit hit) -> -hit.score()).thenComparingInt(Hit::shard);
        }
        List<Boolean> descending = new ArrayList<>();
        JsonArray keys = sort.isJsonArray() ? sort.getAsJsonArray() : new JsonArray();
        if (!sort.isJsonArray()) {
            keys.add(sort);
        }
        for (JsonElement key : keys) {
            descending.add(isDescending(key));
        }
        return (left, right) -> {
            for (int i = 0; i < descending.size(); i++) {
                int comparison = compare(left.sortValue(i), right.sortValue(i));
                if (comparison != 0) {
                    return descending.get(i) ? -comparison : comparison;
                }
            }
            return Integer.compare(left.shard, right.shard);
        };
    }

    private static boolean isDescending(JsonElement key) {
        if (key.isJsonPrimitive()) {
            return key.getAsString().equals("_score");
        }
        var field = key.getAsJsonObject().entrySet().iterator().next();
        JsonElement options = field.getValue();
        JsonElement order = options.isJsonObject() ? options.getAsJsonObject().get("order") : options;
        return order == null
                ? field.getKey().equals("_score")
                : order.getAsString().equalsIgnoreCase("desc");
    }

    private double score() {
        JsonElement score = json.get("_score");
        return score == null || !score.isJsonPrimitive() ? 0 : score.getAsDouble();
    }

    private JsonElement sortValue(int index) {
        return json.has("sort") && index < json.getAsJsonArray("sort").size()
                ? json.getAsJsonArray("sort").get(index)
                : null;
    }

    /** Compares numbers as numbers and all else as text; a missing value is the greatest. */
    private static int compare(JsonElement left, JsonElement right) {
        boolean leftMissing = left == null || left.isJsonNull();
        boolean rightMissing = right == null || right.isJsonNull();
        if (leftMissing || rightMissing) {
            return Boolean.compare(leftMissing, rightMissing);
        }
        boolean numbers = left.isJsonPrimitive()
                && left.getAsJsonPrimitive().isNumber()
                && right.isJsonPrimitive()
                && right.getAsJsonPrimitive().isNumber();
        return numbers
                ? Double.compare(left.getAsDouble(), right.getAsDouble())
                : left.getAsString().compareTo(right.getAsString());
    }
}
