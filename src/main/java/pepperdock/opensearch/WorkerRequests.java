package pepperdock.opensearch;

import com.google.gson.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpWriter;
import pepperdock.core.Attempt;
import pepperdock.core.QueryRequest;

/** Encodes the HTTP requests to one worker; does no I/O. */
record WorkerRequests(String host) {

    private static final String JSON = "Content-Type: application/json\r\n";
    /** Header with the client's id of a request, which servers of this API repeat in their response. */
    private static final String REQUEST_ID = "X-Opaque-Id";

    /**
     * Encodes a request for the next page of a scroll, whose context is kept for another {@code keepAliveS} seconds.
     *
     * @param requestId differs from that of any other request to the worker
     */
    byte[] nextPage(String scrollId, double keepAliveS, String requestId) {
        JsonObject body = new JsonObject();
        body.addProperty("scroll", (long) Math.ceil(keepAliveS) + "s");
        body.addProperty("scroll_id", scrollId);
        return post("/_search/scroll", idHeader(requestId) + JSON, body);
    }

    /** Encodes a request to free the search context of a scroll. */
    byte[] freeScroll(String scrollId, String requestId) {
        JsonObject body = new JsonObject();
        body.addProperty("scroll_id", scrollId);
        return HttpWriter.request(
                "DELETE",
                "/_search/scroll",
                host,
                idHeader(requestId) + JSON,
                body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Encodes a health check. */
    byte[] healthCheck(String requestId) {
        return HttpWriter.request("GET", "/", host, idHeader(requestId), new byte[0]);
    }

    /**
     * Encodes one attempt at a part: a search of its shard, or an update of a document there; {@code now} is in
     * seconds.
     */
    byte[] attempt(Attempt attempt, double now) {
        QueryRequest request = attempt.part().query().request();
        int shard = attempt.part().shard();
        long timeoutMs = Math.max(1, (long) ((attempt.deadline() - now) * 1e3));
        String headers = idHeader(requestId(attempt)) + JSON;
        if (!(request.frontContext() instanceof SearchRequest search)) {
            JsonObject queryString = new JsonObject();
            queryString.addProperty("query", new String(request.body(), StandardCharsets.UTF_8));
            JsonObject query = new JsonObject();
            query.add("query_string", queryString);
            JsonObject body = new JsonObject();
            body.add("query", query);
            return post(
                    "/" + encode(attempt.part().query().className()) + "/_search?preference=_shards:" + shard
                            + "&timeout=" + timeoutMs + "ms",
                    headers,
                    body);
        }
        if (search.isUpdate()) {
            return post(
                    "/" + search.index() + "/_update/" + encode(search.docId()) + "?routing=" + shard + "&timeout="
                            + timeoutMs + "ms",
                    headers
                            + (request.idempotencyKey().isEmpty()
                                    ? ""
                                    : "Idempotency-Key: " + request.idempotencyKey() + "\r\n"),
                    search.body());
        }
        return post(
                "/" + search.index() + "/_search?preference=_shards:" + shard + "&timeout=" + timeoutMs + "ms"
                        + (search.isScroll() ? "&scroll=" + (long) Math.ceil(search.scrollS()) + "s" : ""),
                headers,
                search.body());
    }

    /** Returns whether a response may belong to a request: it repeats the id of that request, or no id at all. */
    static boolean isResponseTo(String requestId, HttpMessage response) {
        String repeatedId = response.header(REQUEST_ID);
        return repeatedId == null || repeatedId.equals(requestId);
    }

    private static String idHeader(String requestId) {
        return REQUEST_ID + ": " + requestId + "\r\n";
    }

    /** Returns the id of the request for an attempt. */
    static String requestId(Attempt attempt) {
        return attempt.part().query().request().id() + '.' + attempt.part().shard();
    }

    private byte[] post(String target, String extra, JsonObject body) {
        return HttpWriter.request("POST", target, host, extra, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
