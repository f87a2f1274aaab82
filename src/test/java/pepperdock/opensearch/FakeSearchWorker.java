package pepperdock.opensearch;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pepperdock.platform.FakeWorkerBehaviour;

/**
 * A fake worker that speaks the OpenSearch-style API: searches of one shard, scrolls and updates, in the public API's
 * format.
 */
final class FakeSearchWorker implements java.io.Closeable {

    private static final Pattern SHARD = Pattern.compile("(?:preference=_shards:|routing=)([0-9]+)");

    /** Number of hits of each shard, for scrolls; their ids start at 0. */
    static final int HITS = 5;

    final Map<String, AtomicInteger> contexts = new ConcurrentHashMap<>();
    final AtomicInteger opened = new AtomicInteger();
    /** Pages after the first wait for this latch, so that a test can disconnect meanwhile. */
    volatile CountDownLatch holdPages = new CountDownLatch(0);

    /** Changes the body of each successful answer, as a defective worker would. */
    volatile UnaryOperator<String> bodyChange = body -> body;

    final CountDownLatch pageRequested = new CountDownLatch(1);
    private final CountDownLatch closing = new CountDownLatch(1);
    private final FakeWorkerBehaviour behaviour;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    FakeSearchWorker(FakeWorkerBehaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void serve(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        JsonObject request =
                body.isEmpty() ? new JsonObject() : JsonParser.parseString(body).getAsJsonObject();
        String path = exchange.getRequestURI().getPath();
        try {
            if (path.equals("/_search/scroll")) {
                serveScroll(exchange, request);
            } else {
                servePart(exchange, path, request);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void servePart(HttpExchange exchange, String path, JsonObject request)
            throws IOException, InterruptedException {
        Matcher matcher = SHARD.matcher(exchange.getRequestURI().getQuery());
        int shard = matcher.find() ? Integer.parseInt(matcher.group(1)) : -1;
        boolean update = path.contains("/_update/");
        String text = update
                ? request.getAsJsonObject("script").get("source").getAsString()
                : request.getAsJsonObject("query")
                        .getAsJsonObject("query_string")
                        .get("query")
                        .getAsString();
        Thread.sleep(FakeWorkerBehaviour.CALL_MS);
        switch (behaviour.onCall(text, shard)) {
            case GOOD -> {
                if (update) {
                    answer(
                            exchange,
                            200,
                            "{\"_id\":\"1\",\"result\":\"updated\",\"_shards\":{\"total\":2,\"successful\":1,"
                                    + "\"failed\":0},\"blob\":\"" + FakeWorkerBehaviour.value(text, shard) + "\"}");
                } else if (exchange.getRequestURI().getQuery().contains("scroll=")) {
                    String id = "c" + opened.incrementAndGet() + "-" + shard;
                    contexts.put(id, new AtomicInteger());
                    answer(exchange, 200, page(id, request.get("size").getAsInt()));
                } else {
                    answer(
                            exchange,
                            200,
                            searchBody(1, hit(shard, 0, FakeWorkerBehaviour.value(text, shard)))
                                    .toString());
                }
            }
            case BAD -> {
                // A success status, with a body that says that the shard failed.
                JsonObject failed = searchBody(0);
                failed.add(
                        "_shards",
                        JsonParser.parseString("{\"total\":1,\"successful\":0,\"failed\":1,\"failures\":"
                                + "[{\"shard\":" + shard + ",\"reason\":{\"type\":\"circuit_breaking_exception\"}}]}"));
                answer(exchange, 200, failed.toString());
            }
            case LATER ->
                answer(exchange, 429, "{\"error\":{\"type\":\"rejected_execution_exception\"},\"status\":429}");
            default -> closing.await();
        }
    }

    private void serveScroll(HttpExchange exchange, JsonObject request) throws IOException, InterruptedException {
        String id = request.get("scroll_id").getAsString();
        if (exchange.getRequestMethod().equals("DELETE")) {
            boolean existed = contexts.remove(id) != null;
            answer(exchange, existed ? 200 : 404, "{\"succeeded\":true,\"num_freed\":" + (existed ? 1 : 0) + "}");
            return;
        }
        pageRequested.countDown();
        holdPages.await();
        if (contexts.containsKey(id)) {
            answer(exchange, 200, page(id, 2));
        } else {
            answer(exchange, 404, "{\"error\":{\"type\":\"search_context_missing_exception\"},\"status\":404}");
        }
    }

    private String page(String id, int size) {
        int shard = Integer.parseInt(id.substring(id.indexOf('-') + 1));
        int from = contexts.get(id).getAndAdd(size);
        JsonObject[] hits = new JsonObject[Math.max(0, Math.min(size, HITS - from))];
        for (int i = 0; i < hits.length; i++) {
            hits[i] = hit(shard, from + i, "v");
        }
        JsonObject page = searchBody(HITS, hits);
        page.addProperty("_scroll_id", id);
        return page.toString();
    }

    private static JsonObject hit(int shard, int number, String value) {
        JsonObject source = new JsonObject();
        source.addProperty("range", shard);
        source.addProperty("blob", value);
        JsonObject hit = new JsonObject();
        hit.addProperty("_id", shard + "-" + number);
        hit.addProperty("_score", 100 - number);
        hit.add("_source", source);
        return hit;
    }

    private static JsonObject searchBody(int total, JsonObject... hits) {
        JsonArray list = new JsonArray();
        for (JsonObject hit : hits) {
            list.add(hit);
        }
        JsonObject outer = new JsonObject();
        outer.add("total", JsonParser.parseString("{\"value\":" + total + ",\"relation\":\"eq\"}"));
        outer.add("hits", list);
        JsonObject answer = new JsonObject();
        answer.addProperty("timed_out", false);
        answer.add("_shards", JsonParser.parseString("{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}"));
        answer.add("hits", outer);
        return answer;
    }

    private void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = (status == 200 ? bodyChange.apply(body) : body).getBytes(StandardCharsets.ISO_8859_1);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        closing.countDown();
        holdPages.countDown();
        server.stop(0);
        threads.shutdownNow();
    }
}
