package pepperdock.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SearchFrontTest {

    private static final String QUERY = "{\"size\":2,\"query\":{\"query_string\":{\"query\":\"%s\"}}}";

    private final Stack stack;

    SearchFrontTest() throws Exception {
        stack = new Stack(true, 2);
    }

    @AfterEach
    void close() throws Exception {
        stack.close();
    }

    private JsonObject open(String text) throws Exception {
        HttpResponse<String> r =
                stack.send("POST", "/history/_search?scroll=1m&preference=_shards:0,1,2", QUERY.formatted(text));
        assertEquals(200, r.statusCode(), r.body());
        return Stack.json(r);
    }

    private static List<String> ids(JsonObject answer) {
        List<String> ids = new ArrayList<>();
        answer.getAsJsonObject("hits")
                .getAsJsonArray("hits")
                .forEach(h -> ids.add(h.getAsJsonObject().get("_id").getAsString()));
        return ids;
    }

    private static String next(String id) {
        return "{\"scroll\":\"1m\",\"scroll_id\":\"" + id + "\"}";
    }

    @Test
    void aScrollGivesEveryHitOnceAndFreesWhatIsExhausted() throws Exception {
        JsonObject page = open("s");
        String id = page.get("_scroll_id").getAsString();
        List<String> all = new ArrayList<>();
        while (!ids(page).isEmpty()) {
            assertTrue(ids(page).size() <= 2);
            all.addAll(ids(page));
            page = Stack.json(stack.send("POST", "/_search/scroll", next(id)));
        }
        assertEquals(3 * StandInSearchServer.HITS, all.size());
        assertEquals(all.size(), all.stream().distinct().count());
        Stack.await(() -> stack.contexts() == 0);
        assertEquals(200, stack.send("DELETE", "/_search/scroll", next(id)).statusCode());
        assertEquals(404, stack.send("POST", "/_search/scroll", next(id)).statusCode());
    }

    @Test
    void deletingAScrollFreesItsContextsAtTheBackends() throws Exception {
        String id = open("s").get("_scroll_id").getAsString();
        assertEquals(3, stack.contexts());
        HttpResponse<String> r = stack.send("DELETE", "/_search/scroll", "{\"scroll_id\":[\"" + id + "\"]}");
        assertEquals(1, Stack.json(r).get("num_freed").getAsInt());
        Stack.await(() -> stack.contexts() == 0);
        assertEquals(
                404,
                stack.send("DELETE", "/_search/scroll", "{\"scroll_id\":\"" + id + "\"}")
                        .statusCode());
    }

    @Test
    void aClientThatLeavesInTheMiddleOfAPageFreesAllContexts() throws Exception {
        stack.backends.forEach(b -> b.hold = new CountDownLatch(1));
        String id = open("s").get("_scroll_id").getAsString();
        stack.send("POST", "/_search/scroll", next(id));
        String body = next(id);
        try (Socket s = new Socket("127.0.0.1", stack.port())) {
            s.getOutputStream()
                    .write(("POST /_search/scroll HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                    + body)
                            .getBytes(StandardCharsets.UTF_8));
            Stack.await(() -> stack.backends.stream().anyMatch(b -> b.held.getCount() == 0));
        }
        Stack.await(() -> stack.searchFront.openScrolls() == 0);
        stack.backends.forEach(b -> b.hold.countDown());
        Stack.await(() -> stack.contexts() == 0);
        assertEquals(404, stack.send("POST", "/_search/scroll", body).statusCode());
    }

    /** The index that a scroll is of has another class from now on: it goes on by its own, whoever comes goes by the new one. */
    @Test
    void classesThatChangeLeaveAnOpenScrollAsItWas() throws Exception {
        String id = open("s").get("_scroll_id").getAsString();
        stack.change(
                Stack.SETTINGS.replace("\"MaxAttempts\":4", "\"MaxAttempts\":1"), Map.of("history", 2, "reports", 1));
        HttpResponse<String> refused = stack.send("POST", "/history/_search", QUERY.formatted("x"));
        assertEquals(400, refused.statusCode());
        assertTrue(refused.body().contains("takes updates only"), refused.body());
        assertEquals(
                200,
                stack.send("POST", "/reports/_search", QUERY.formatted("x")).statusCode());
        assertEquals(
                2,
                ids(Stack.json(stack.send("POST", "/_search/scroll", next(id)))).size());
        assertEquals(
                404,
                stack.send("POST", "/payouts/_search", QUERY.formatted("x")).statusCode());
    }

    @Test
    void scrollContextsAreCapped() throws Exception {
        open("a");
        open("b");
        HttpResponse<String> r = stack.send("POST", "/history/_search?scroll=1m", QUERY.formatted("c"));
        assertEquals(429, r.statusCode());
        stack.send("DELETE", "/_search/scroll", "{\"scroll_id\":\"_all\"}");
        open("d");
    }

    @Test
    void aScrollThatIsNotReadExpires() throws Exception {
        HttpResponse<String> r =
                stack.send("POST", "/history/_search?scroll=50ms&preference=_shards:0", QUERY.formatted("s"));
        assertEquals(200, r.statusCode());
        Stack.await(() -> stack.searchFront.openScrolls() == 0 && stack.contexts() == 0);
    }

    @Test
    void aSearchThatIsRefusedFreesTheContextsThatItsPartsOpened() throws Exception {
        HttpResponse<String> r =
                stack.send("POST", "/payouts/_search?scroll=1m&preference=_shards:0,1,2,3", QUERY.formatted("bad:3"));
        assertEquals(429, r.statusCode(), r.body());
        assertTrue(stack.backends.stream().mapToInt(b -> b.opened.get()).sum() > 0);
        Stack.await(() -> stack.contexts() == 0);
        assertEquals(0, stack.searchFront.openScrolls());
    }

    @Test
    void aPartialAnswerSaysSoInItsCountsAndIsNotGivenWhereNotAllowed() throws Exception {
        String target = "/history/_search?preference=_shards:0,1,2,3,4,5";
        JsonObject o = Stack.json(stack.send("POST", target, QUERY.formatted("bad:5")));
        JsonObject shards = o.getAsJsonObject("_shards");
        assertEquals(6, shards.get("total").getAsInt());
        assertEquals(5, shards.get("successful").getAsInt());
        assertEquals(1, shards.get("failed").getAsInt());
        assertEquals(
                5,
                shards.getAsJsonArray("failures")
                        .get(0)
                        .getAsJsonObject()
                        .get("shard")
                        .getAsInt());
        assertFalse(o.get("timed_out").getAsBoolean());
        assertEquals(
                "gte",
                o.getAsJsonObject("hits")
                        .getAsJsonObject("total")
                        .get("relation")
                        .getAsString());
        try (Stack fresh = new Stack(true, 2)) {
            HttpResponse<String> r =
                    fresh.send("POST", target + "&allow_partial_search_results=false", QUERY.formatted("bad:5"));
            assertEquals(500, r.statusCode());
        }
    }

    @Test
    void aPartThatStaysSilentMakesItTimedOut() throws Exception {
        JsonObject o = Stack.json(stack.send(
                "POST", "/history/_search?timeout=3000ms&preference=_shards:0,1,2,3,4,5", QUERY.formatted("silent:5")));
        assertTrue(o.get("timed_out").getAsBoolean());
        assertEquals(1, o.getAsJsonObject("_shards").get("failed").getAsInt());
    }

    @Test
    void aSearchThatNoShardAnswersInTimeIsAnErrorThatSaysHowToGoOn() throws Exception {
        HttpResponse<String> r =
                stack.send("POST", "/payouts/_search?timeout=300ms&preference=_shards:0", QUERY.formatted("silent:*"));
        assertEquals(429, r.statusCode());
        assertEquals("1", r.headers().firstValue("Retry-After").orElseThrow());
        assertEquals(429, Stack.json(r).get("status").getAsInt());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST|/history/_search|{\"size\":-1}|400|illegal_argument_exception",
                "POST|/history/_search|{\"size\":10001}|400|illegal_argument_exception",
                "POST|/history/_search|[1]|400|parsing_exception",
                "POST|/history/_search|{size:1}|400|parsing_exception",
                "POST|/history/_search|{}{}|400|parsing_exception",
                "POST|/history/_search|{\"ext\":{\"pepperdock\":{\"ranges\":[{\"range\":1,\"portion\":0.4}]}}}|400|illegal_argument_exception",
                "POST|/history/_search|{\"ext\":7}|400|parsing_exception",
                "POST|/history/_search|{\"aggs\":{}}|400|illegal_argument_exception",
                "POST|/history/_search?timeout=soon|{}|400|illegal_argument_exception",
                "POST|/history/_search?preference=_shards:12|{}|400|illegal_argument_exception",
                "POST|/history/_search?scroll=2h|{}|400|illegal_argument_exception",
                "POST|/nowhere/_search|{}|404|index_not_found_exception",
                "POST|/wallets/_search|{}|400|illegal_argument_exception",
                "POST|/history/_update/1?routing=0|{\"doc\":{}}|400|illegal_argument_exception",
                "POST|/wallets/_update/1|{\"doc\":{}}|400|illegal_argument_exception",
                "POST|/wallets/_update/1?routing=0|{}|400|action_request_validation_exception",
                "POST|/_search/scroll|{\"scroll_id\":\"none\"}|404|search_context_missing_exception",
                "DELETE|/_search/scroll|{}|400|action_request_validation_exception",
                "PUT|/history/_search|{}|405|method_not_allowed_exception",
                "POST|/_bulk|{}|404|resource_not_found_exception"
            })
    void whatIsMalformedIsAnsweredInTheErrorShape(String method, String path, String body, int status, String type)
            throws Exception {
        HttpResponse<String> r = stack.send(method, path, body);
        assertEquals(status, r.statusCode(), r.body());
        assertEquals(type, Stack.json(r).getAsJsonObject("error").get("type").getAsString());
        assertEquals(status, Stack.json(r).get("status").getAsInt());
    }
}
