package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.ToNumberPolicy;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Parses the bodies of clients and workers as RFC 8259 has them, in UTF-8. A lenient parser would repair a body: a
 * client's would be searched as if it had asked for that, and a worker's damaged answer would pass for a good one.
 */
final class StrictJson {

    private StrictJson() {}

    /**
     * Parses one JSON object, and nothing else.
     *
     * @throws JsonParseException if the bytes are anything else
     */
    static JsonObject parseObject(byte[] body) {
        try (JsonReader in = new JsonReader(new StringReader(StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(body))
                .toString()))) {
            in.setStrictness(Strictness.STRICT);
            JsonObject object = readObject(in);
            if (in.peek() != JsonToken.END_DOCUMENT) {
                throw new JsonParseException("more than one JSON object");
            }
            return object;
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            throw new JsonParseException("not valid JSON: " + e.getMessage(), e);
        }
    }

    private static JsonElement readValue(JsonReader in) throws IOException {
        return switch (in.peek()) {
            case BEGIN_OBJECT -> readObject(in);
            case BEGIN_ARRAY -> readArray(in);
            case STRING -> new JsonPrimitive(in.nextString());
            case NUMBER -> new JsonPrimitive(ToNumberPolicy.LAZILY_PARSED_NUMBER.readNumber(in));
            case BOOLEAN -> new JsonPrimitive(in.nextBoolean());
            default -> {
                in.nextNull();
                yield JsonNull.INSTANCE;
            }
        };
    }

    /** Reads an object. Rejects repeated names: some parsers use the first value of a name, others the last. */
    private static JsonObject readObject(JsonReader in) throws IOException {
        JsonObject object = new JsonObject();
        in.beginObject();
        while (in.hasNext()) {
            String name = in.nextName();
            if (object.has(name)) {
                throw new JsonParseException("a name given twice");
            }
            object.add(name, readValue(in));
        }
        in.endObject();
        return object;
    }

    private static JsonArray readArray(JsonReader in) throws IOException {
        JsonArray array = new JsonArray();
        in.beginArray();
        while (in.hasNext()) {
            array.add(readValue(in));
        }
        in.endArray();
        return array;
    }
}
