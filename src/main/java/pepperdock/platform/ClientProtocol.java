package pepperdock.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Part;
import pepperdock.core.Query;
import pepperdock.core.QueryRequest;
import pepperdock.scheduler.RetrySafety;

/**
 * Parses queries and encodes answers of the client protocol (protocol, section "Clients to gatherers"), and maps its
 * field names to the terms of the core. Stateless and thread-safe.
 *
 * <p>Parsing is strict: a malformed query that was repaired here would be served as if its client had asked for it.
 */
final class ClientProtocol {

    static final String QUERY_PATH = "/api";
    static final String READY_PATH = "/-/ready";
    static final String HEALTHY_PATH = "/-/healthy";

    static final String CONTENT_TYPE = "application/json";

    private static final String REQUEST_ID = "Request-Id";
    private static final String REQUEST_CLASS = "Request-Class";
    private static final String REQUEST_TIMEOUT_MS = "Request-Timeout-Ms";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Whole milliseconds from 1 to 3,600,000 (one hour), far above the longest deadline of the platform. */
    private static final Pattern TIMEOUT_MS_PATTERN =
            Pattern.compile("0*[1-9][0-9]{0,5}|0*[12][0-9]{6}|0*3[0-5][0-9]{5}|0*3600000");

    /**
     * Printable characters without spaces, because spaces separate the id from the other fields of a call to a worker.
     */
    private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[!-~]{1,128}");
    /** Like {@link #REQUEST_ID_PATTERN}, but without commas, which separate the options of a call to a worker. */
    private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[!-+\\--~]{0,256}");

    private ClientProtocol() {}

    /**
     * The parsed headers of a query.
     *
     * @param queryClass the index of the query's class in the deployment's settings
     * @param idempotencyKey empty if the query's class has none
     * @param timeoutS how long the client waits, in seconds
     */
    record QueryHeaders(String id, int queryClass, String idempotencyKey, double timeoutS) {}

    /** The parsed body of a query: its parts, and the text that is sent to a worker with each of them. */
    record QueryBody(List<QueryRequest.RequestedPart> parts, byte[] text) {}

    /** Parses the headers of a query. */
    static QueryHeaders parseQueryHeaders(HttpMessage message, DeploymentSettings settings) throws HttpException {
        String id = requiredHeader(message, REQUEST_ID);
        int queryClass = settings.classes().indexOf(requiredHeader(message, REQUEST_CLASS));
        check(queryClass >= 0, "Request-Class: unknown");
        String timeout = requiredHeader(message, REQUEST_TIMEOUT_MS);
        check(TIMEOUT_MS_PATTERN.matcher(timeout).matches(), "Request-Timeout-Ms: not a whole number in range");
        long timeoutMs = Long.parseLong(timeout);
        RetrySafety retrySafety = settings.scheduler().classes().get(queryClass).retrySafety();
        String key = retrySafety == RetrySafety.IDEMPOTENCY_KEY ? requiredHeader(message, IDEMPOTENCY_KEY) : "";
        check(
                REQUEST_ID_PATTERN.matcher(id).matches()
                        && IDEMPOTENCY_KEY_PATTERN.matcher(key).matches(),
                "Request-Id or Idempotency-Key: not a plain word");
        return new QueryHeaders(id, queryClass, key, timeoutMs / 1e3);
    }

    private static String requiredHeader(HttpMessage message, String name) throws HttpException {
        String value = message.header(name);
        if (value == null || value.isEmpty()) {
            throw new HttpException(400, name + ": missing");
        }
        return value;
    }

    /** Parses the body of a query; {@code shards} is the number of shards in the deployment's layout. */
    static QueryBody parseQueryBody(byte[] body, int shards) throws HttpException {
        try (JsonReader in = new JsonReader(new StringReader(decodeUtf8(body)))) {
            in.setStrictness(Strictness.STRICT);
            QueryBody query = readQuery(in, shards);
            check(in.peek() == JsonToken.END_DOCUMENT, "more than a query");
            return query;
        } catch (CharacterCodingException e) {
            throw new HttpException(400, "body: not UTF-8");
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            throw new HttpException(400, "body: not a query: " + e.getMessage());
        }
    }

    private static String decodeUtf8(byte[] body) throws CharacterCodingException {
        return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
    }

    private static QueryBody readQuery(JsonReader in, int shards) throws IOException, HttpException {
        List<QueryRequest.RequestedPart> parts = null;
        String text = null;
        Set<String> seen = new HashSet<>();
        in.beginObject();
        while (in.hasNext()) {
            String name = nextUniqueName(in, seen);
            if (name.equals("ranges")) {
                parts = readParts(in, shards);
            } else if (name.equals("predicate")) {
                check(in.peek() == JsonToken.STRING, "predicate: not a text");
                text = in.nextString();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        check(parts != null && !parts.isEmpty(), "ranges: missing or empty");
        check(text != null, "predicate: missing");
        return new QueryBody(parts, text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<QueryRequest.RequestedPart> readParts(JsonReader in, int shards)
            throws IOException, HttpException {
        List<QueryRequest.RequestedPart> parts = new ArrayList<>();
        Set<Integer> seenShards = new HashSet<>();
        in.beginArray();
        while (in.hasNext()) {
            QueryRequest.RequestedPart part = readPart(in);
            check(part.shard() >= 0 && part.shard() < shards, "ranges: no such range");
            check(seenShards.add(part.shard()), "ranges: one given twice");
            check(part.weight() >= 0 && part.weight() <= 1, "ranges: portion out of range");
            parts.add(part);
        }
        in.endArray();
        check(parts.isEmpty() || QueryRequest.weightsSumToOne(parts), "ranges: portions do not add up to 1");
        return parts;
    }

    private static QueryRequest.RequestedPart readPart(JsonReader in) throws IOException, HttpException {
        int shard = -1;
        double weight = Double.NaN;
        Set<String> seen = new HashSet<>();
        in.beginObject();
        while (in.hasNext()) {
            String name = nextUniqueName(in, seen);
            if (name.equals("range")) {
                check(in.peek() == JsonToken.NUMBER, "ranges: range not a number");
                shard = in.nextInt();
            } else if (name.equals("portion")) {
                check(in.peek() == JsonToken.NUMBER, "ranges: portion not a number");
                weight = in.nextDouble();
            } else {
                in.skipValue();
            }
        }
        in.endObject();
        return new QueryRequest.RequestedPart(shard, weight);
    }

    /** Returns the next field name. Rejects duplicates: some parsers use the first value of a name, others the last. */
    private static String nextUniqueName(JsonReader in, Set<String> seen) throws IOException, HttpException {
        String name = in.nextName();
        check(seen.add(name), "a name given twice");
        return name;
    }

    private static void check(boolean valid, String error) throws HttpException {
        if (!valid) {
            throw new HttpException(400, error);
        }
    }

    /** Encodes the body of an answer: the value of each part that has one, and whether the answer is complete. */
    static byte[] answerBody(Query query, boolean complete) {
        JsonArray answers = new JsonArray();
        for (Part part : query.parts()) {
            if (part.value() != null) {
                JsonObject answer = new JsonObject();
                answer.addProperty("range", part.shard());
                answer.addProperty("blob", new String(part.value(), StandardCharsets.UTF_8));
                answers.add(answer);
            }
        }
        JsonObject body = new JsonObject();
        body.addProperty("total", complete);
        body.add("answers", answers);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns an empty JSON object, the body of an answer without parts. */
    static byte[] emptyBody() {
        return "{}".getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body of the answer to a query that was rejected and never ran. */
    static byte[] rejectedBody() {
        return "{\"error\":\"refused\"}".getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body of the answer to a query that failed and may have run. */
    static byte[] failedBody() {
        return "{\"error\":\"failed\"}".getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes the body of the answer to a malformed request. */
    static byte[] errorBody(String error) {
        JsonObject body = new JsonObject();
        body.addProperty("error", error);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the header line that tells a client when to retry, or an empty string if there is no advice. */
    static String retryAfterHeader(double retryAfterS) {
        return retryAfterS > 0 ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfterS) : "";
    }
}
