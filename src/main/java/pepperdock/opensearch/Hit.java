package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonPrimitive;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One hit of one shard, in the JSON of its worker. What the merge of several shards reads of it is checked and converted
 * when it is parsed.
 *
 * @param score its score, null if it has none
 * @param sortValues its sort values, each a string, number or boolean, or null if it is missing
 */
record Hit(int shard, JsonObject json, Double score, List<JsonPrimitive> sortValues) {

    private static final double NO_SCORE = 0;

    /** Parses a hit; throws a runtime exception if its score or a sort value is not of the type that the API has. */
    static Hit parse(int shard, JsonObject json) {
        return new Hit(shard, json, parseScore(json.get("_score")), parseSortValues(json.get("sort")));
    }

    private static Double parseScore(JsonElement score) {
        if (score == null || score.isJsonNull()) {
            return null;
        }
        if (!score.isJsonPrimitive() || !score.getAsJsonPrimitive().isNumber()) {
            throw new JsonParseException("a score is not a number");
        }
        double value = score.getAsDouble();
        if (!Double.isFinite(value)) {
            throw new JsonParseException("a score is out of range");
        }
        return value;
    }

    private static List<JsonPrimitive> parseSortValues(JsonElement sort) {
        List<JsonPrimitive> values = new ArrayList<>();
        if (sort == null || sort.isJsonNull()) {
            return values;
        }
        for (JsonElement value : sort.getAsJsonArray()) {
            JsonPrimitive primitive = value.isJsonNull() ? null : value.getAsJsonPrimitive();
            if (primitive != null && primitive.isNumber() && !Double.isFinite(primitive.getAsDouble())) {
                throw new JsonParseException("a sort value is out of range");
            }
            values.add(primitive);
        }
        return values;
    }

    /**
     * Returns the order of a search body's {@code sort}; without one, the best score first. Ties are in shard order.
     */
    static Comparator<Hit> order(JsonElement sort) {
        if (sort == null) {
            return Comparator.comparingDouble((Hit hit) -> -hit.scoreOrDefault())
                    .thenComparingInt(Hit::shard);
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

    private double scoreOrDefault() {
        return score == null ? NO_SCORE : score;
    }

    private JsonPrimitive sortValue(int index) {
        return index < sortValues.size() ? sortValues.get(index) : null;
    }

    /**
     * Compares numbers as numbers and all else as text; numbers come before text, and a missing value is the greatest.
     */
    private static int compare(JsonPrimitive left, JsonPrimitive right) {
        if (left == null || right == null) {
            return Boolean.compare(left == null, right == null);
        }
        if (left.isNumber() != right.isNumber()) {
            return left.isNumber() ? -1 : 1;
        }
        return left.isNumber()
                ? Double.compare(left.getAsDouble(), right.getAsDouble())
                : left.getAsString().compareTo(right.getAsString());
    }
}
