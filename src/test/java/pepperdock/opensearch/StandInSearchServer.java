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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pepperdock.platform.FakeWorkerBehaviour;

/** A worker of the OpenSearch-style API: searches of one shard, scrolls and updates, as the public API words them. */
final class StandInSearchServer implements java.io.Closeable {

    private static final Pattern SHARD = Pattern.compile("(?:preference=_shards:|routing=)([0-9]+)");

    /** Hits of each shard, for scrolls: ids from 0. */
    static final int HITS = 5;

    final Map<String, AtomicInteger> contexts = new ConcurrentHashMap<>();
    final AtomicInteger opened = new AtomicInteger();
    /** Pages after the first wait for this, where a test wants to leave meanwhile. */
    volatile CountDownLatch hold = new CountDownLatch(0);

    final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch closing = new CountDownLatch(1);
    private final FakeWorkerBehaviour behaviour;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });

    StandInSearchServer(FakeWorkerBehaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    String dial() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void serve(HttpExchange x) throws IOException {
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        JsonObject asked =
                body.isEmpty() ? new JsonObject() : JsonParser.parseString(body).getAsJsonObject();
        String path = x.getRequestURI().getPath();
        try {
            if (path.equals("/_search/scroll")) {
                scroll(x, asked);
            } else {
                part(x, path, asked);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void part(HttpExchange x, String path, JsonObject asked) throws IOException, InterruptedException {
        Matcher m = SHARD.matcher(x.getRequestURI().getQuery());
        int shard = m.find() ? Integer.parseInt(m.group(1)) : -1;
        boolean update = path.contains("/_update/");
        String text = update
                ? asked.getAsJsonObject("script").get("source").getAsString()
                : asked.getAsJsonObject("query")
                        .getAsJsonObject("query_string")
                        .get("query")
                        .getAsString();
        Thread.sleep(FakeWorkerBehaviour.CALL_MS);
        switch (behaviour.onCall(text, shard)) {
            case GOOD -> {
                if (update) {
                    answer(
                            x,
                            200,
                            "{\"_id\":\"1\",\"result\":\"updated\",\"_shards\":{\"total\":2,\"successful\":1,"
                                    + "\"failed\":0},\"blob\":\"" + FakeWorkerBehaviour.value(text, shard) + "\"}");
                } else if (x.getRequestURI().getQuery().contains("scroll=")) {
                    String id = "c" + opened.incrementAndGet() + "-" + shard;
                    contexts.put(id, new AtomicInteger());
                    answer(x, 200, page(id, asked.get("size").getAsInt()));
                } else {
                    answer(
                            x,
                            200,
                            found(1, hit(shard, 0, FakeWorkerBehaviour.value(text, shard)))
                                    .toString());
                }
            }
            case BAD -> {
                // The hard case: a success whose inside says that the shard failed.
                JsonObject o = found(0);
                o.add(
                        "_shards",
                        JsonParser.parseString("{\"total\":1,\"successful\":0,\"failed\":1,\"failures\":"
                                + "[{\"shard\":" + shard + ",\"reason\":{\"type\":\"circuit_breaking_exception\"}}]}"));
                answer(x, 200, o.toString());
            }
            case LATER -> answer(x, 429, "{\"error\":{\"type\":\"rejected_execution_exception\"},\"status\":429}");
            default -> closing.await();
        }
    }

    private void scroll(HttpExchange x, JsonObject asked) throws IOException, InterruptedException {
        String id = asked.get("scroll_id").getAsString();
        if (x.getRequestMethod().equals("DELETE")) {
            boolean had = contexts.remove(id) != null;
            answer(x, had ? 200 : 404, "{\"succeeded\":true,\"num_freed\":" + (had ? 1 : 0) + "}");
            return;
        }
        held.countDown();
        hold.await();
        if (contexts.containsKey(id)) {
            answer(x, 200, page(id, 2));
        } else {
            answer(x, 404, "{\"error\":{\"type\":\"search_context_missing_exception\"},\"status\":404}");
        }
    }

    private String page(String id, int size) {
        int shard = Integer.parseInt(id.substring(id.indexOf('-') + 1));
        int from = contexts.get(id).getAndAdd(size);
        JsonObject[] hits = new JsonObject[Math.max(0, Math.min(size, HITS - from))];
        for (int i = 0; i < hits.length; i++) {
            hits[i] = hit(shard, from + i, "v");
        }
        JsonObject o = found(HITS, hits);
        o.addProperty("_scroll_id", id);
        return o.toString();
    }

    private static JsonObject hit(int shard, int no, String value) {
        JsonObject source = new JsonObject();
        source.addProperty("range", shard);
        source.addProperty("blob", value);
        JsonObject hit = new JsonObject();
        hit.addProperty("_id", shard + "-" + no);
        hit.addProperty("_score", 100 - no);
        hit.add("_source", source);
        return hit;
    }

    private static JsonObject found(int total, JsonObject... hits) {
        JsonArray list = new JsonArray();
        for (JsonObject hit : hits) {
            list.add(hit);
        }
        JsonObject outer = new JsonObject();
        outer.add("total", JsonParser.parseString("{\"value\":" + total + ",\"relation\":\"eq\"}"));
        outer.add("hits", list);
        JsonObject o = new JsonObject();
        o.addProperty("timed_out", false);
        o.add("_shards", JsonParser.parseString("{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}"));
        o.add("hits", outer);
        return o;
    }

    private static void answer(HttpExchange x, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    @Override
    public void close() {
        closing.countDown();
        hold.countDown();
        server.stop(0);
        threads.shutdownNow();
    }
}
