package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.core.QueryRequest;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.RetrySafety;

/** Parses searches and updates of clients into query requests for the core. */
final class RequestReader {

    private static final Pattern TIME_VALUE = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
    private static final Pattern UPDATE_PATH = Pattern.compile("/([^/]+)/_update/([^/]+)");
    private static final int MAX_RESULT_WINDOW = 10_000;
    /** Keys whose results can't be merged from the shards' answers: rejected rather than answered wrongly. */
    private static final Set<String> UNSUPPORTED_KEYS =
            Set.of("aggs", "aggregations", "suggest", "collapse", "rescore", "knn", "pit");

    private final DeploymentSettings settings;
    private final OpenSearchConfig config;

    RequestReader(DeploymentSettings settings, OpenSearchConfig config) {
        this.settings = settings;
        this.config = config;
    }

    QueryRequest readSearch(HttpMessage message) throws ApiException {
        String index = message.path().substring(1, message.path().length() - "/_search".length());
        int queryClass = queryClassOf(index);
        if (classSettings(queryClass).retrySafety() != RetrySafety.IDEMPOTENT) {
            throw ApiException.illegal("index [" + index + "] takes updates only");
        }
        JsonObject body = parseBody(message);
        for (String name : body.keySet()) {
            if (UNSUPPORTED_KEYS.contains(name)) {
                throw ApiException.illegal("[" + name + "] is not supported");
            }
        }
        try {
            return readSearch(message, index, queryClass, body);
        } catch (ClassCastException | IllegalStateException | NumberFormatException | NullPointerException e) {
            throw new ApiException(400, "parsing_exception", "malformed search body");
        }
    }

    private QueryRequest readSearch(HttpMessage message, String index, int queryClass, JsonObject body)
            throws ApiException {
        int size = nonNegativeInteger(message, body, "size", 10);
        int from = nonNegativeInteger(message, body, "from", 0);
        double scrollS = message.parameter("scroll") == null ? 0 : readKeepAliveS(message.parameter("scroll"));
        if (from + size > MAX_RESULT_WINDOW) {
            throw ApiException.illegal("result window is too large, from + size must be at most " + MAX_RESULT_WINDOW);
        }
        if (scrollS > 0 && (from > 0 || size == 0)) {
            throw ApiException.illegal("a scroll takes no [from], and a [size] above 0");
        }
        JsonElement timeout = body.remove("timeout");
        String timeText = message.parameter("timeout") != null
                ? message.parameter("timeout")
                : timeout == null ? null : timeout.getAsString();
        double deadlineS = classSettings(queryClass).deadlineS();
        List<QueryRequest.RequestedPart> parts = requestedParts(message, body);
        body.remove("ext");
        body.remove("from");
        body.addProperty("size", from + size);
        byte[] text = body.toString().getBytes(StandardCharsets.UTF_8);
        SearchRequest request = new SearchRequest(index, null, body, from, size, scrollS, Hit.order(body.get("sort")));
        return new QueryRequest(
                queryId(message),
                queryClass,
                "",
                timeText == null ? deadlineS : Math.min(deadlineS, parseSeconds(timeText)),
                parts,
                text,
                request);
    }

    QueryRequest readUpdate(HttpMessage message) throws ApiException {
        Matcher path = UPDATE_PATH.matcher(message.path());
        if (!path.matches()) {
            throw ApiException.illegal("not /INDEX/_update/ID");
        }
        int queryClass = queryClassOf(path.group(1));
        if (classSettings(queryClass).retrySafety() == RetrySafety.IDEMPOTENT) {
            throw ApiException.illegal("index [" + path.group(1) + "] takes searches only");
        }
        JsonObject body = parseBody(message);
        if (!body.has("script") && !body.has("doc")) {
            throw new ApiException(400, "action_request_validation_exception", "script or doc is missing");
        }
        int shard = parseShard(message.parameter("routing"));
        String docId;
        try {
            docId = URLDecoder.decode(path.group(2), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw ApiException.illegal("bad document id");
        }
        double deadlineS = classSettings(queryClass).deadlineS();
        String timeText = message.parameter("timeout");
        String key = message.header("Idempotency-Key") == null
                ? UUID.randomUUID().toString()
                : message.header("Idempotency-Key");
        if (!key.matches("[!-+\\--~]{1,256}")) {
            throw ApiException.illegal("Idempotency-Key is not a plain word");
        }
        byte[] text = body.toString().getBytes(StandardCharsets.UTF_8);
        return new QueryRequest(
                queryId(message),
                queryClass,
                key,
                timeText == null ? deadlineS : Math.min(deadlineS, parseSeconds(timeText)),
                List.of(new QueryRequest.RequestedPart(shard, 1)),
                text,
                new SearchRequest(path.group(1), docId, body, 0, 1, 0, Hit.order(null)));
    }

    /** Reads a scroll request: its body, with the scroll id from the path if it is there, as older clients send it. */
    static JsonObject readScroll(HttpMessage message) throws ApiException {
        JsonObject body = parseBody(message);
        String rest = message.path().substring("/_search/scroll".length());
        if (rest.length() > 1) {
            body.addProperty("scroll_id", rest.substring(1));
        }
        return body;
    }

    /** Reads how long a scroll is to be kept, in seconds; throws if this is above the operator's limit. */
    double readKeepAliveS(String time) throws ApiException {
        double seconds = parseSeconds(time);
        if (seconds > config.scrollMostS()) {
            throw ApiException.illegal("keep alive for scroll (" + time + ") is too large, it must be at most "
                    + (long) config.scrollMostS() + "s");
        }
        return seconds;
    }

    private static double parseSeconds(String time) throws ApiException {
        Matcher matcher = TIME_VALUE.matcher(time);
        if (!matcher.matches() || Long.parseLong(matcher.group(1)) == 0) {
            throw ApiException.illegal("failed to parse [" + time + "] as a time value");
        }
        return Long.parseLong(matcher.group(1))
                * switch (matcher.group(2)) {
                    case "ms" -> 0.001;
                    case "s" -> 1.0;
                    case "m" -> 60.0;
                    default -> 3600.0;
                };
    }

    private int queryClassOf(String index) throws ApiException {
        Integer found = config.indices().get(index);
        if (found == null) {
            throw new ApiException(404, "index_not_found_exception", "no such index [" + index + "]");
        }
        return found;
    }

    private QueryClass classSettings(int queryClass) {
        return settings.scheduler().classes().get(queryClass);
    }

    private static JsonObject parseBody(HttpMessage message) throws ApiException {
        try {
            return message.body().length == 0 ? new JsonObject() : StrictJson.parseObject(message.body());
        } catch (JsonParseException e) {
            throw new ApiException(400, "parsing_exception", "the body is not a JSON object");
        }
    }

    private static int nonNegativeInteger(HttpMessage message, JsonObject body, String name, int defaultValue)
            throws ApiException {
        String text = message.parameter(name) != null
                ? message.parameter(name)
                : body.has(name) ? body.get(name).getAsString() : Integer.toString(defaultValue);
        if (!text.matches("[0-9]{1,6}")) {
            throw ApiException.illegal("[" + name + "] must be a whole number of at least 0");
        }
        return Integer.parseInt(text);
    }

    /**
     * Reads the requested shards: by {@code ext.pepperdock.ranges} with portions, by preference, or all with equal
     * weights.
     */
    private List<QueryRequest.RequestedPart> requestedParts(HttpMessage message, JsonObject body) throws ApiException {
        List<QueryRequest.RequestedPart> parts = new ArrayList<>();
        JsonObject ext = body.has("ext") ? body.getAsJsonObject("ext").getAsJsonObject("pepperdock") : null;
        String preference = message.parameter("preference");
        if (ext != null) {
            JsonArray ranges = ext.getAsJsonArray("ranges");
            for (JsonElement element : ranges) {
                JsonObject range = element.getAsJsonObject();
                double weight = range.has("portion") ? range.get("portion").getAsDouble() : 1.0 / ranges.size();
                if (!(weight >= 0 && weight <= 1)) {
                    throw ApiException.illegal("[portion] must lie between 0 and 1");
                }
                parts.add(new QueryRequest.RequestedPart(
                        parseShard(range.get("range").getAsString()), weight));
            }
        } else if (preference != null && preference.startsWith("_shards:")) {
            String[] shards =
                    preference.substring("_shards:".length()).split("\\|")[0].split(",");
            for (String shardText : shards) {
                parts.add(new QueryRequest.RequestedPart(parseShard(shardText), 1.0 / shards.length));
            }
        } else {
            int shardCount = settings.scheduler().layout().shards();
            for (int s = 0; s < shardCount; s++) {
                parts.add(new QueryRequest.RequestedPart(s, 1.0 / shardCount));
            }
        }
        if (parts.isEmpty()
                || parts.stream()
                                .map(QueryRequest.RequestedPart::shard)
                                .distinct()
                                .count()
                        < parts.size()) {
            throw ApiException.illegal("no shards, or one given twice");
        }
        if (!QueryRequest.weightsSumToOne(parts)) {
            throw ApiException.illegal("[portion]s do not add up to 1");
        }
        return parts;
    }

    private int parseShard(String text) throws ApiException {
        if (text == null
                || !text.matches("[0-9]{1,8}")
                || Integer.parseInt(text) >= settings.scheduler().layout().shards()) {
            throw ApiException.illegal("[" + text + "] is not one of the "
                    + settings.scheduler().layout().shards() + " account ranges");
        }
        return Integer.parseInt(text);
    }

    private static String queryId(HttpMessage message) {
        String given = message.header("X-Opaque-Id");
        String unique = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        return given != null && given.matches("[!-~]{1,64}") ? given + '-' + unique : unique;
    }
}
