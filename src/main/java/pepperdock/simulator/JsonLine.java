package pepperdock.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the fields of the current line, one JSON object, by name. One instance is reused for all lines, to save
 * allocations. Fields of another type than text, number, object or array are skipped. Accessors throw
 * {@link IllegalArgumentException} for a field that is missing or of another type. Not thread-safe.
 */
final class JsonLine {

    private final Map<String, Object> fields = new HashMap<>();

    /** Replaces the fields by those of another line; throws if the line is not exactly one JSON object. */
    void read(String text) throws IOException {
        fields.clear();
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        if (reader.peek() != JsonToken.BEGIN_OBJECT) {
            throw new IllegalArgumentException("not a JSON object");
        }
        reader.beginObject();
        while (reader.hasNext()) {
            String name = reader.nextName();
            switch (reader.peek()) {
                case STRING -> fields.put(name, reader.nextString());
                case NUMBER -> fields.put(name, parseNumber(reader.nextString()));
                case BEGIN_OBJECT, BEGIN_ARRAY -> fields.put(name, JsonParser.parseReader(reader));
                default -> reader.skipValue();
            }
        }
        reader.endObject();
        if (reader.peek() != JsonToken.END_DOCUMENT) {
            throw new IllegalArgumentException("unexpected text after the JSON object");
        }
    }

    /** Returns a {@link Double} if the text has a fraction or an exponent, and a {@link Long} otherwise. */
    private static Object parseNumber(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (".eE".indexOf(text.charAt(i)) >= 0) {
                return Double.parseDouble(text);
            }
        }
        return Long.parseLong(text);
    }

    /** Returns whether the line has a field of that name. */
    boolean has(String name) {
        return fields.get(name) != null;
    }

    private <T> T field(String name, Class<T> type) {
        Object value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("missing field " + name);
        }
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException("wrong type of field " + name);
        }
        return type.cast(value);
    }

    String text(String name) {
        return field(name, String.class);
    }

    double number(String name) {
        return field(name, Number.class).doubleValue();
    }

    long integer(String name) {
        return field(name, Number.class).longValue();
    }

    /** Returns a field that is an object or an array. */
    JsonElement element(String name) {
        return field(name, JsonElement.class);
    }

    /** Returns a field that is an array of numbers; null if it is missing or of another type. */
    double[] numbersOrNull(String name) {
        if (!(fields.get(name) instanceof JsonArray array)) {
            return null;
        }
        double[] numbers = new double[array.size()];
        for (int i = 0; i < numbers.length; i++) {
            numbers[i] = array.get(i).getAsDouble();
        }
        return numbers;
    }
}
