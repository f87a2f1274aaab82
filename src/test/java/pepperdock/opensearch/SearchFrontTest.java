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
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class SearchFrontTest {

    private static final String QUERY = "{\"size\":2,\"query\":{\"query_string\":{\"query\":\"%s\"}}}";

    private final FrontFixture fixture;

    SearchFrontTest() throws Exception {
        fixture = new FrontFixture(true, 2);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private JsonObject openScroll(String text) throws Exception {
        HttpResponse<String> response =
                fixture.send("POST", "/history/_search?scroll=1m&preference=_shards:0,1,2", QUERY.formatted(text));
        assertEquals(200, response.statusCode(), response.body());
        return FrontFixture.json(response);
    }

    private static List<String> ids(JsonObject answer) {
        List<String> ids = new ArrayList<>();
        answer.getAsJsonObject("hits")
                .getAsJsonArray("hits")
                .forEach(hit -> ids.add(hit.getAsJsonObject().get("_id").getAsString()));
        return ids;
    }

    private static String nextPageBody(String id) {
        return "{\"scroll\":\"1m\",\"scroll_id\":\"" + id + "\"}";
    }

    @Test
    void scrollReturnsEveryHitOnceAndFreesExhaustedContexts() throws Exception {
        JsonObject page = openScroll("s");
        String id = page.get("_scroll_id").getAsString();
        List<String> all = new ArrayList<>();
        while (!ids(page).isEmpty()) {
            assertTrue(ids(page).size() <= 2);
            all.addAll(ids(page));
            page = FrontFixture.json(fixture.send("POST", "/_search/scroll", nextPageBody(id)));
        }
        assertEquals(3 * FakeSearchWorker.HITS, all.size());
        assertEquals(all.size(), all.stream().distinct().count());
        FrontFixture.await(() -> fixture.contexts() == 0);
        assertEquals(
                200, fixture.send("DELETE", "/_search/scroll", nextPageBody(id)).statusCode());
        assertEquals(
                404, fixture.send("POST", "/_search/scroll", nextPageBody(id)).statusCode());
    }

    @Test
    void deletingAScrollFreesItsContextsAtTheWorkers() throws Exception {
        String id = openScroll("s").get("_scroll_id").getAsString();
        assertEquals(3, fixture.contexts());
        HttpResponse<String> response = fixture.send("DELETE", "/_search/scroll", "{\"scroll_id\":[\"" + id + "\"]}");
        assertEquals(1, FrontFixture.json(response).get("num_freed").getAsInt());
        FrontFixture.await(() -> fixture.contexts() == 0);
        assertEquals(
                404,
                fixture.send("DELETE", "/_search/scroll", "{\"scroll_id\":\"" + id + "\"}")
                        .statusCode());
    }

    @Test
    void disconnectDuringAPageFreesAllContexts() throws Exception {
        fixture.searchWorkers.forEach(worker -> worker.holdPages = new CountDownLatch(1));
        String id = openScroll("s").get("_scroll_id").getAsString();
        fixture.send("POST", "/_search/scroll", nextPageBody(id));
        String body = nextPageBody(id);
        try (Socket client = new Socket("127.0.0.1", fixture.port())) {
            client.getOutputStream()
                    .write(("POST /_search/scroll HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                    + body)
                            .getBytes(StandardCharsets.UTF_8));
            FrontFixture.await(
                    () -> fixture.searchWorkers.stream().anyMatch(worker -> worker.pageRequested.getCount() == 0));
        }
        FrontFixture.await(() -> fixture.searchFront.openScrolls() == 0);
        fixture.searchWorkers.forEach(worker -> worker.holdPages.countDown());
        FrontFixture.await(() -> fixture.contexts() == 0);
        assertEquals(404, fixture.send("POST", "/_search/scroll", body).statusCode());
    }

    /**
     * The index of an open scroll gets another class: the scroll keeps the old one, and new requests use the new one.
     */
    @Test
    void changedClassesDoNotAffectAnOpenScroll() throws Exception {
        String id = openScroll("s").get("_scroll_id").getAsString();
        fixture.updateSettings(
                FrontFixture.SETTINGS.replace("\"MaxAttempts\":4", "\"MaxAttempts\":1"),
                Map.of("history", 2, "reports", 1));
        HttpResponse<String> refused = fixture.send("POST", "/history/_search", QUERY.formatted("x"));
        assertEquals(400, refused.statusCode());
        assertTrue(refused.body().contains("takes updates only"), refused.body());
        assertEquals(
                200,
                fixture.send("POST", "/reports/_search", QUERY.formatted("x")).statusCode());
        assertEquals(
                2,
                ids(FrontFixture.json(fixture.send("POST", "/_search/scroll", nextPageBody(id))))
                        .size());
        assertEquals(
                404,
                fixture.send("POST", "/payouts/_search", QUERY.formatted("x")).statusCode());
    }

    @Test
    void scrollContextsAreCapped() throws Exception {
        openScroll("a");
        openScroll("b");
        HttpResponse<String> response = fixture.send("POST", "/history/_search?scroll=1m", QUERY.formatted("c"));
        assertEquals(429, response.statusCode());
        fixture.send("DELETE", "/_search/scroll", "{\"scroll_id\":\"_all\"}");
        openScroll("d");
    }

    @Test
    void scrollThatIsNotReadExpires() throws Exception {
        HttpResponse<String> response =
                fixture.send("POST", "/history/_search?scroll=50ms&preference=_shards:0", QUERY.formatted("s"));
        assertEquals(200, response.statusCode());
        FrontFixture.await(() -> fixture.searchFront.openScrolls() == 0 && fixture.contexts() == 0);
    }

    @Test
    void aSearchThatIsRefusedFreesTheContextsThatItsPartsOpened() throws Exception {
        HttpResponse<String> response =
                fixture.send("POST", "/payouts/_search?scroll=1m&preference=_shards:0,1,2,3", QUERY.formatted("bad:3"));
        assertEquals(429, response.statusCode(), response.body());
        assertTrue(fixture.searchWorkers.stream().mapToInt(b -> b.opened.get()).sum() > 0);
        FrontFixture.await(() -> fixture.contexts() == 0);
        assertEquals(0, fixture.searchFront.openScrolls());
    }

    @Test
    void partialAnswerHasShardCountsAndIsAnErrorIfNotAllowed() throws Exception {
        String target = "/history/_search?preference=_shards:0,1,2,3,4,5";
        JsonObject answer = FrontFixture.json(fixture.send("POST", target, QUERY.formatted("bad:5")));
        JsonObject shards = answer.getAsJsonObject("_shards");
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
        assertFalse(answer.get("timed_out").getAsBoolean());
        assertEquals(
                "gte",
                answer.getAsJsonObject("hits")
                        .getAsJsonObject("total")
                        .get("relation")
                        .getAsString());
        try (FrontFixture fresh = new FrontFixture(true, 2)) {
            HttpResponse<String> response =
                    fresh.send("POST", target + "&allow_partial_search_results=false", QUERY.formatted("bad:5"));
            assertEquals(500, response.statusCode());
        }
    }

    @Test
    void shardThatDoesNotAnswerSetsTimedOut() throws Exception {
        JsonObject answer = FrontFixture.json(fixture.send(
                "POST", "/history/_search?timeout=3000ms&preference=_shards:0,1,2,3,4,5", QUERY.formatted("silent:5")));
        assertTrue(answer.get("timed_out").getAsBoolean());
        assertEquals(1, answer.getAsJsonObject("_shards").get("failed").getAsInt());
    }

    @Test
    void searchThatNoShardAnswersInTimeGets429WithRetryAfter() throws Exception {
        HttpResponse<String> response = fixture.send(
                "POST", "/payouts/_search?timeout=300ms&preference=_shards:0", QUERY.formatted("silent:*"));
        assertEquals(429, response.statusCode());
        assertEquals("1", response.headers().firstValue("Retry-After").orElseThrow());
        assertEquals(429, FrontFixture.json(response).get("status").getAsInt());
    }

    /** Ways in which an answer can be damaged: what is replaced, and by what. */
    static Stream<Arguments> damage() {
        return Stream.of(
                Arguments.of("\"_score\":100", "\"_score\":0.q"),
                Arguments.of("\"_score\":100", "\"_score\":\"high\""),
                Arguments.of("\"_score\":100", "\"_score\":true"),
                Arguments.of("\"_score\":100", "\"_score\":1e999"),
                Arguments.of("\"_score\":100", "\"_score\":100,\"sort\":7"),
                Arguments.of("\"_score\":100", "\"_score\":100,\"sort\":[{}]"),
                Arguments.of("\"_score\":100", "\"_score\":100,\"_score\":1"),
                Arguments.of("\"value\":1,", "\"value\":q,"),
                Arguments.of("\"blob\":\"", "\"blob\":\"\u00ff"),
                Arguments.of("\"blob\":\"", "\"blob\":\"\n"),
                Arguments.of("\"timed_out\":false", "timed_out:false"),
                Arguments.of("}}]}}", "}}]}}}"),
                Arguments.of("}}]}}", "}}]}"));
    }

    /** Guards against a search that is never answered because one worker's answer was damaged. */
    @ParameterizedTest
    @MethodSource("damage")
    void damagedAnswerOfOneWorkerIsReplacedByAnotherWorkers(String good, String damaged) throws Exception {
        fixture.searchWorkers.get(1).bodyChange = body -> body.replace(good, damaged);
        for (int i = 0; i < 4; i++) {
            HttpResponse<String> response =
                    fixture.send("POST", "/payouts/_search?preference=_shards:0,1", QUERY.formatted("t" + i));
            assertEquals(200, response.statusCode(), response.body());
            assertEquals(2, ids(FrontFixture.json(response)).size(), response.body());
        }
        assertTrue(
                IntStream.range(0, 4)
                        .anyMatch(i -> fixture.behaviour.calls("t" + i, 0) + fixture.behaviour.calls("t" + i, 1) > 2),
                "no damaged answer was replaced");
    }

    /** Guards against the same where no worker's answer can be read. */
    @ParameterizedTest
    @MethodSource("damage")
    void searchIsAnsweredWithAnErrorIfAllAnswersAreDamaged(String good, String damaged) throws Exception {
        fixture.searchWorkers.forEach(worker -> worker.bodyChange = body -> body.replace(good, damaged));
        HttpResponse<String> response =
                fixture.send("POST", "/payouts/_search?preference=_shards:0,1", QUERY.formatted("t"));
        assertEquals(429, response.statusCode(), response.body());
    }

    /** Guards against damaged bytes of a worker, or the answer to another update, that a client gets as its own. */
    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {"`\"_id\":\"1\"`,`\"_id\":1q`", "`\"_id\":\"1\"`,`\"_id\":\"2\"`", "`\"failed\":0`,`\"failed\":0q`"
            })
    void damagedAnswerToAnUpdateIsNotPassedOn(String good, String damaged) throws Exception {
        fixture.searchWorkers.forEach(worker -> worker.bodyChange = body -> body.replace(good, damaged));
        HttpResponse<String> response =
                fixture.send("POST", "/wallets/_update/1?routing=0", "{\"script\":{\"source\":\"u\"}}");
        assertEquals(500, response.statusCode(), response.body());
        assertEquals(1, fixture.behaviour.calls("u", 0), "an update that may have run is not sent again");
    }

    /** Guards against a page of a scroll that is never answered because a worker's page was damaged. */
    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {"`\"_score\":9`,`\"_score\":q`", "`\"_score\":9`,`\"sort\":7,\"_score\":9`"})
    void damagedPageOfAScrollIsAnswered(String good, String damaged) throws Exception {
        String id = openScroll("s").get("_scroll_id").getAsString();
        fixture.searchWorkers.forEach(worker -> worker.bodyChange = body -> body.replace(good, damaged));
        List<Integer> statuses = new ArrayList<>();
        for (int page = 0; page < 6 && !statuses.contains(500); page++) {
            statuses.add(
                    fixture.send("POST", "/_search/scroll", nextPageBody(id)).statusCode());
        }
        assertEquals(500, statuses.get(statuses.size() - 1), statuses.toString());
        FrontFixture.await(() -> fixture.searchFront.openScrolls() == 0);
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
                "POST|/history/_search|{\"size\":1,\"size\":2}|400|parsing_exception",
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
    void malformedRequestsAreAnsweredInTheErrorShape(String method, String path, String body, int status, String type)
            throws Exception {
        HttpResponse<String> response = fixture.send(method, path, body);
        assertEquals(status, response.statusCode(), response.body());
        assertEquals(
                type,
                FrontFixture.json(response).getAsJsonObject("error").get("type").getAsString());
        assertEquals(status, FrontFixture.json(response).get("status").getAsInt());
    }
}
