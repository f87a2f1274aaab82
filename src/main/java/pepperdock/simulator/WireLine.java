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

/** The fields of the line in hand, kept by name; reused from line to line. */
final class WireLine {
    private final Map<String, Object> values = new HashMap<>();

    void read(String text) throws IOException {
        values.clear();
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        if (reader.peek() != JsonToken.BEGIN_OBJECT) {
            throw new IllegalArgumentException("not a JSON object");
        }
        reader.beginObject();
        while (reader.hasNext()) {
            String name = reader.nextName();
            switch (reader.peek()) {
                case STRING -> values.put(name, reader.nextString());
                case NUMBER -> values.put(name, parsed(reader.nextString()));
                case BEGIN_OBJECT, BEGIN_ARRAY -> values.put(name, JsonParser.parseReader(reader));
                default -> reader.skipValue();
            }
        }
        reader.endObject();
        if (reader.peek() != JsonToken.END_DOCUMENT) {
            throw new IllegalArgumentException("not one JSON object");
        }
    }

    private static Object parsed(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (".eE".indexOf(text.charAt(i)) >= 0) {
                return Double.parseDouble(text);
            }
        }
        return Long.parseLong(text);
    }

    boolean has(String name) {
        return values.get(name) != null;
    }

    private <T> T value(String name, Class<T> type) {
        Object value = values.get(name);
        if (value == null) {
            throw new IllegalArgumentException("missing " + name);
        }
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException("wrong type of " + name);
        }
        return type.cast(value);
    }

    String text(String name) {
        return value(name, String.class);
    }

    double number(String name) {
        return value(name, Number.class).doubleValue();
    }

    long integer(String name) {
        return value(name, Number.class).longValue();
    }

    JsonElement node(String name) {
        return value(name, JsonElement.class);
    }

    double[] row(String name) {
        if (!(values.get(name) instanceof JsonArray row)) {
            return null;
        }
        double[] numbers = new double[row.size()];
        for (int i = 0; i < numbers.length; i++) {
            numbers[i] = row.get(i).getAsDouble();
        }
        return numbers;
    }
}
