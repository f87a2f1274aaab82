package pepperdock.opensearch;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
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

/** A gatherer on loopback with either front, and four fake workers that speak the protocol of that front. */
final class FrontFixture implements AutoCloseable {

    /**
     * Settings with times far beyond what loopback takes, so that only a query's own time-out expires in these tests.
     */
    static final String SETTINGS = TestDeploymentSettings.SETTINGS
            .replace("\"GoalTimeS\":1.5,\"DeadlineS\":3", "\"GoalTimeS\":5,\"DeadlineS\":30")
            .replace("\"GoalTimeS\":2.5,\"DeadlineS\":6", "\"GoalTimeS\":5,\"DeadlineS\":30")
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20");

    /**
     * A final answer in a form common to both fronts: its kind, whether it is complete, and the value of each shard.
     */
    record Answer(String kind, boolean complete, Map<Integer, String> values) {}

    final FakeWorkerBehaviour behaviour = new FakeWorkerBehaviour();
    final List<FakeSearchWorker> searchWorkers = new ArrayList<>();
    final SearchFront searchFront;
    /** A request without an answer fails its test: longer than the deadline of any class here. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(40);

    private final List<Closeable> workers = new ArrayList<>();
    private final EventLoop loop = new EventLoop(500, 4 << 20);
    private final Gatherer gatherer;
    private final HttpServer server;
    private final boolean search;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    FrontFixture(boolean search, int scrollContexts) throws Exception {
        this.search = search;
        DeploymentSettings platformSettings = TestDeploymentSettings.with(SETTINGS);
        DeploymentSettings settings = search ? platformSettings.withoutIdempotencyKeys() : platformSettings;
        OpenSearchConfig config = new OpenSearchConfig(
                null,
                new LinkedHashMap<>(Map.of("history", 0, "payouts", 1, "wallets", 2)),
                true,
                8,
                scrollContexts,
                300);
        List<WorkerEndpoint> endpoints = new ArrayList<>();
        for (int block = 0; block < 4; block++) {
            endpoints.add(PlatformFixtures.endpoint("w" + block, block, startWorker()));
        }
        StaticEndpointList list = new StaticEndpointList(loop, endpoints);
        FrameBackend frameBackend = new FrameBackend(loop, settings);
        SearchBackend searchBackend = new SearchBackend(loop, settings, config);
        Backend backend = search ? searchBackend : frameBackend;
        gatherer = new Gatherer(settings.scheduler(), 5, loop, backend, list);
        frameBackend.start(gatherer);
        searchBackend.start(gatherer);
        list.start(gatherer);
        searchFront = new SearchFront(settings, config, gatherer, loop, searchBackend);
        server = PlatformFixtures.listen(
                loop, 1 << 20, 50, search ? searchFront : new PlatformFront(settings, gatherer, () -> true));
        CountDownLatch listed = new CountDownLatch(1);
        loop.execute(() -> {
            gatherer.onEndpointList(EndpointListKind.CACHED, endpoints);
            listed.countDown();
        });
        listed.await();
    }

    private String startWorker() throws IOException {
        if (!search) {
            FakeWorker worker = new FakeWorker(behaviour);
            workers.add(worker);
            return worker.address();
        }
        FakeSearchWorker worker = new FakeSearchWorker(behaviour);
        workers.add(worker);
        searchWorkers.add(worker);
        return worker.address();
    }

    /** Changes the settings and the classes of the indices, as SIGHUP does. */
    void updateSettings(String settings, Map<String, Integer> indices) throws Exception {
        DeploymentSettings changed = TestDeploymentSettings.with(settings).withoutIdempotencyKeys();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            gatherer.updateSettings(changed.scheduler(), changed.classes());
            searchFront.updateSettings(changed, new OpenSearchConfig(null, indices, true, 8, 2, 300));
            done.countDown();
        });
        done.await();
    }

    int port() {
        return server.address().getPort();
    }

    HttpResponse<String> send(String method, String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
                .timeout(ANSWER_TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static JsonObject json(HttpResponse<String> response) {
        return JsonParser.parseString(response.body()).getAsJsonObject();
    }

    /** Queries the first {@code shards} shards with decreasing weights; the class is 0 to 2. */
    Answer ask(int number, int queryClass, int shards, String text, int timeoutMs) throws Exception {
        double remaining = 1;
        StringBuilder ranges = new StringBuilder();
        for (int s = 0; s < shards; s++) {
            double portion = s == shards - 1 ? remaining : remaining / 2;
            remaining -= portion;
            ranges.append(s == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(s)
                    .append(",\"portion\":")
                    .append(portion)
                    .append('}');
        }
        return search
                ? askSearch(queryClass, ranges.toString(), text, timeoutMs)
                : askPlatform(number, queryClass, ranges.toString(), text, timeoutMs);
    }

    private Answer askPlatform(int number, int queryClass, String ranges, String text, int timeoutMs) throws Exception {
        HttpResponse<String> response = send(
                "POST",
                "/api",
                "{\"ranges\":[" + ranges + "],\"predicate\":\"" + text + "\"}",
                "Request-Id",
                "q" + number,
                "Request-Timeout-Ms",
                Integer.toString(timeoutMs),
                "Idempotency-Key",
                "k" + number,
                "Request-Class",
                List.of("history-search", "payout-report", "balance-adjust").get(queryClass));
        Map<Integer, String> values = new LinkedHashMap<>();
        boolean complete = false;
        if (response.statusCode() == 200) {
            complete = json(response).get("total").getAsBoolean();
            json(response)
                    .getAsJsonArray("answers")
                    .forEach(answer -> values.put(
                            answer.getAsJsonObject().get("range").getAsInt(),
                            answer.getAsJsonObject().get("blob").getAsString()));
        }
        return new Answer(
                response.statusCode() == 503 ? "refused" : Integer.toString(response.statusCode()), complete, values);
    }

    private Answer askSearch(int queryClass, String ranges, String text, int timeoutMs) throws Exception {
        Map<Integer, String> values = new LinkedHashMap<>();
        String time = "timeout=" + timeoutMs + "ms";
        if (queryClass == 2) {
            HttpResponse<String> response =
                    send("POST", "/wallets/_update/1?routing=0&" + time, "{\"script\":{\"source\":\"" + text + "\"}}");
            if (response.statusCode() == 200) {
                values.put(0, json(response).get("blob").getAsString());
            }
            return new Answer(
                    response.statusCode() == 429 ? "refused" : Integer.toString(response.statusCode()),
                    response.statusCode() == 200,
                    values);
        }
        HttpResponse<String> response = send(
                "POST",
                (queryClass == 0 ? "/history" : "/payouts") + "/_search?size=100&" + time,
                "{\"query\":{\"query_string\":{\"query\":\"" + text + "\"}},\"ext\":{\"pepperdock\":{\"ranges\":["
                        + ranges + "]}}}");
        boolean complete = false;
        if (response.statusCode() == 200) {
            JsonObject shards = json(response).getAsJsonObject("_shards");
            complete =
                    shards.get("successful").getAsInt() == shards.get("total").getAsInt();
            json(response).getAsJsonObject("hits").getAsJsonArray("hits").forEach(hit -> {
                JsonObject source = hit.getAsJsonObject().getAsJsonObject("_source");
                values.put(source.get("range").getAsInt(), source.get("blob").getAsString());
            });
        }
        return new Answer(
                response.statusCode() == 429 ? "refused" : Integer.toString(response.statusCode()), complete, values);
    }

    /**
     * Waits until a condition holds. The condition must be bound to become true: only a failing test waits for the
     * limit of 30 s.
     */
    static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 3000 && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        if (!condition.getAsBoolean()) {
            throw new AssertionError("the awaited condition did not become true within 30 s");
        }
    }

    int contexts() {
        return searchWorkers.stream().mapToInt(b -> b.contexts.size()).sum();
    }

    @Override
    public void close() throws IOException {
        for (Closeable worker : workers) {
            worker.close();
        }
        loop.close();
    }
}
