package pepperdock.opensearch;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.core.StaticEndpointList;
import pepperdock.core.WorkerEndpoint;
import pepperdock.platform.FakeWorker;
import pepperdock.platform.FakeWorkerBehaviour;
import pepperdock.platform.FrameBackend;
import pepperdock.platform.PlatformFixtures;
import pepperdock.platform.PlatformFront;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/** A gatherer on loopback with either front, before four stand-in workers of the protocol that goes with it. */
final class Stack implements AutoCloseable {

    /** Times far beyond what loopback takes: only a query's own time-out runs out in these tests. */
    static final String SETTINGS = TestDeploymentSettings.SETTINGS
            .replace("\"GoalTimeS\":1.5,\"DeadlineS\":3", "\"GoalTimeS\":5,\"DeadlineS\":30")
            .replace("\"GoalTimeS\":2.5,\"DeadlineS\":6", "\"GoalTimeS\":5,\"DeadlineS\":30")
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20");

    /** A final answer in words common to both fronts: its kind, whether whole, and the value of each shard. */
    record Answer(String kind, boolean whole, Map<Integer, String> values) {}

    final FakeWorkerBehaviour behaviour = new FakeWorkerBehaviour();
    final List<StandInSearchServer> backends = new ArrayList<>();
    final SearchFront searchFront;
    private final List<Closeable> workers = new ArrayList<>();
    private final EventLoop loop = new EventLoop(500, 4 << 20);
    private final Gatherer core;
    private final HttpServer server;
    private final boolean search;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Stack(boolean search, int scrollContexts) throws Exception {
        this.search = search;
        DeploymentSettings plain = TestDeploymentSettings.with(SETTINGS);
        DeploymentSettings site = search ? plain.withoutIdempotencyKeys() : plain;
        OpenSearchConfig config = new OpenSearchConfig(
                null,
                new LinkedHashMap<>(Map.of("history", 0, "payouts", 1, "wallets", 2)),
                true,
                8,
                scrollContexts,
                300);
        List<WorkerEndpoint> hosts = new ArrayList<>();
        for (int cell = 0; cell < 4; cell++) {
            hosts.add(PlatformFixtures.endpoint("w" + cell, cell, worker()));
        }
        StaticEndpointList list = new StaticEndpointList(loop, hosts);
        FrameBackend pool = new FrameBackend(loop, site);
        SearchBackend searches = new SearchBackend(loop, site, config);
        Backend backend = search ? searches : pool;
        core = new Gatherer(site.scheduler(), 5, loop, backend, list);
        pool.start(core);
        searches.start(core);
        list.start(core);
        searchFront = new SearchFront(site, config, core, loop, searches);
        server = PlatformFixtures.listen(
                loop, 1 << 20, 50, search ? searchFront : new PlatformFront(site, core, () -> true));
        CountDownLatch listed = new CountDownLatch(1);
        loop.execute(() -> {
            core.onEndpointList(EndpointListKind.CACHED, hosts);
            listed.countDown();
        });
        listed.await();
    }

    private String worker() throws IOException {
        if (!search) {
            FakeWorker w = new FakeWorker(behaviour);
            workers.add(w);
            return w.address();
        }
        StandInSearchServer w = new StandInSearchServer(behaviour);
        workers.add(w);
        backends.add(w);
        return w.dial();
    }

    /** Other settings, and other classes of the indices, as SIGHUP puts them into use. */
    void change(String settings, Map<String, Integer> indices) throws Exception {
        DeploymentSettings now = TestDeploymentSettings.with(settings).withoutIdempotencyKeys();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            core.updateSettings(now.scheduler(), now.classes());
            searchFront.updateSettings(now, new OpenSearchConfig(null, indices, true, 8, 2, 300));
            done.countDown();
        });
        done.await();
    }

    int port() {
        return server.address().getPort();
    }

    HttpResponse<String> send(String method, String path, String body, String... headers) throws Exception {
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            b.headers(headers);
        }
        return client.send(b.build(), HttpResponse.BodyHandlers.ofString());
    }

    static JsonObject json(HttpResponse<String> r) {
        return JsonParser.parseString(r.body()).getAsJsonObject();
    }

    /** Asks for the first shards by falling weight, of class 0 to 2. */
    Answer ask(int no, int queryClass, int shards, String text, int timeoutMs) throws Exception {
        double left = 1;
        StringBuilder ranges = new StringBuilder();
        for (int s = 0; s < shards; s++) {
            double portion = s == shards - 1 ? left : left / 2;
            left -= portion;
            ranges.append(s == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(s)
                    .append(",\"portion\":")
                    .append(portion)
                    .append('}');
        }
        return search
                ? askSearch(queryClass, ranges.toString(), text, timeoutMs)
                : askPlatform(no, queryClass, ranges.toString(), text, timeoutMs);
    }

    private Answer askPlatform(int no, int queryClass, String ranges, String text, int timeoutMs) throws Exception {
        HttpResponse<String> r = send(
                "POST",
                "/api",
                "{\"ranges\":[" + ranges + "],\"predicate\":\"" + text + "\"}",
                "Request-Id",
                "q" + no,
                "Request-Timeout-Ms",
                Integer.toString(timeoutMs),
                "Idempotency-Key",
                "k" + no,
                "Request-Class",
                List.of("history-search", "payout-report", "balance-adjust").get(queryClass));
        Map<Integer, String> values = new LinkedHashMap<>();
        boolean whole = false;
        if (r.statusCode() == 200) {
            whole = json(r).get("total").getAsBoolean();
            json(r).getAsJsonArray("answers")
                    .forEach(a -> values.put(
                            a.getAsJsonObject().get("range").getAsInt(),
                            a.getAsJsonObject().get("blob").getAsString()));
        }
        return new Answer(r.statusCode() == 503 ? "refused" : Integer.toString(r.statusCode()), whole, values);
    }

    private Answer askSearch(int queryClass, String ranges, String text, int timeoutMs) throws Exception {
        Map<Integer, String> values = new LinkedHashMap<>();
        String time = "timeout=" + timeoutMs + "ms";
        if (queryClass == 2) {
            HttpResponse<String> r =
                    send("POST", "/wallets/_update/1?routing=0&" + time, "{\"script\":{\"source\":\"" + text + "\"}}");
            if (r.statusCode() == 200) {
                values.put(0, json(r).get("blob").getAsString());
            }
            return new Answer(
                    r.statusCode() == 429 ? "refused" : Integer.toString(r.statusCode()),
                    r.statusCode() == 200,
                    values);
        }
        HttpResponse<String> r = send(
                "POST",
                (queryClass == 0 ? "/history" : "/payouts") + "/_search?size=100&" + time,
                "{\"query\":{\"query_string\":{\"query\":\"" + text + "\"}},\"ext\":{\"pepperdock\":{\"ranges\":["
                        + ranges + "]}}}");
        boolean whole = false;
        if (r.statusCode() == 200) {
            JsonObject shards = json(r).getAsJsonObject("_shards");
            whole = shards.get("successful").getAsInt() == shards.get("total").getAsInt();
            json(r).getAsJsonObject("hits").getAsJsonArray("hits").forEach(h -> {
                JsonObject source = h.getAsJsonObject().getAsJsonObject("_source");
                values.put(source.get("range").getAsInt(), source.get("blob").getAsString());
            });
        }
        return new Answer(r.statusCode() == 429 ? "refused" : Integer.toString(r.statusCode()), whole, values);
    }

    /** Waits for what is bound to come; only a test that fails waits long. */
    static void await(BooleanSupplier what) throws InterruptedException {
        for (int i = 0; i < 3000 && !what.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        if (!what.getAsBoolean()) {
            throw new AssertionError("it did not come about");
        }
    }

    int contexts() {
        return backends.stream().mapToInt(b -> b.contexts.size()).sum();
    }

    @Override
    public void close() throws IOException {
        for (Closeable w : workers) {
            w.close();
        }
        loop.close();
    }
}
