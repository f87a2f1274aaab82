package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Settings at the limits of their ranges, as other deployments may use: queries are served and the settings are obeyed.
 */
@Timeout(120)
class BoundarySettingsTest {

    private final FakeWorkerBehaviour behaviour = new FakeWorkerBehaviour();

    private static JsonObject settings() {
        return JsonParser.parseString(TestDeploymentSettings.SETTINGS
                        .replace("\"GoalTimeS\":1.5,\"DeadlineS\":3", "\"GoalTimeS\":5,\"DeadlineS\":30")
                        .replace("\"GoalTimeS\":2.5,\"DeadlineS\":6", "\"GoalTimeS\":5,\"DeadlineS\":30"))
                .getAsJsonObject();
    }

    private static JsonObject withChangedSettings(String section, Object... namesAndValues) {
        JsonObject all = settings();
        JsonObject changed = all.getAsJsonObject(section);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            changed.add((String) namesAndValues[i], JsonParser.parseString(String.valueOf(namesAndValues[i + 1])));
        }
        return all;
    }

    private static JsonObject withEachClass(Object... namesAndValues) {
        JsonObject all = settings();
        all.getAsJsonArray("RequestClasses").forEach(c -> {
            for (int i = 0; i < namesAndValues.length; i += 2) {
                c.getAsJsonObject()
                        .add((String) namesAndValues[i], JsonParser.parseString(String.valueOf(namesAndValues[i + 1])));
            }
        });
        return all;
    }

    private static JsonObject withOneClass() {
        JsonObject all = settings();
        JsonArray one = new JsonArray();
        one.add(all.getAsJsonArray("RequestClasses").get(1));
        all.add("RequestClasses", one);
        return all;
    }

    static Stream<JsonObject> settingsAtTheirLimits() {
        return Stream.of(
                withOneClass(),
                withChangedSettings("FamilyInfo", "Slices", 1, "Cells", 1, "Span", 1),
                withChangedSettings("FamilyInfo", "Batch", 1),
                withChangedSettings("Limits", "Cancel", false),
                withChangedSettings("Limits", "RetryAfter", false),
                withChangedSettings("Limits", "MayDuplicate", false),
                withChangedSettings("Limits", "MaxAttempts", 1),
                withChangedSettings("Limits", "Multiplex", 1),
                withChangedSettings("Limits", "Multiplex", 3),
                withEachClass("WindowS", 0),
                withEachClass("GoalTimeS", 0.28, "DeadlineS", 0.28),
                withEachClass("LateWorth", 0, "Worth", 0));
    }

    /** Sends a query for the first shards to a gatherer with these settings and returns the answer. */
    private String sendQuery(JsonObject settings, String queryClass, String text, int shards, int timeoutMs)
            throws Exception {
        DeploymentSettings deployment = TestDeploymentSettings.with(settings.toString());
        List<FakeWorker> workers = new ArrayList<>();
        try (EventLoop loop = new EventLoop(200, 1 << 18)) {
            List<WorkerEndpoint> endpoints = new ArrayList<>();
            for (int cell = 0; cell < deployment.scheduler().layout().cells(); cell++) {
                workers.add(new FakeWorker(behaviour));
                endpoints.add(PlatformFixtures.endpoint(
                        "w" + cell, cell, workers.get(cell).address()));
            }
            FrameBackend backend = new FrameBackend(loop, deployment);
            Gatherer core = new Gatherer(deployment.scheduler(), 3, loop, backend, () -> {});
            backend.start(core);
            HttpServer server =
                    PlatformFixtures.listen(loop, 1 << 16, 8, new PlatformFront(deployment, core, () -> true));
            loop.execute(() -> core.onEndpointList(EndpointListKind.CACHED, endpoints));
            StringBuilder ranges = new StringBuilder();
            for (int shard = 0; shard < shards; shard++) {
                ranges.append(shard == 0 ? "" : ",")
                        .append("{\"range\":" + shard + ",\"portion\":" + 1.0 / shards + '}');
            }
            String body = "{\"ranges\":[" + ranges + "],\"predicate\":\"" + text + "\"}";
            String head = "POST /api HTTP/1.1\r\nRequest-Id: a\r\nIdempotency-Key: k\r\nRequest-Class: " + queryClass
                    + "\r\nRequest-Timeout-Ms: " + timeoutMs
                    + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n";
            try (Socket client = PlatformFixtures.connect(server)) {
                client.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
                return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        } finally {
            for (FakeWorker worker : workers) {
                worker.close();
            }
        }
    }

    @ParameterizedTest
    @MethodSource("settingsAtTheirLimits")
    void everyClassIsServedCompletely(JsonObject settings) throws Exception {
        DeploymentSettings deployment = TestDeploymentSettings.with(settings.toString());
        int shards = Math.min(4, deployment.scheduler().layout().shards());
        for (int c = 0; c < deployment.classes().size(); c++) {
            double deadlineS = deployment.scheduler().classes().get(c).deadlineS();
            String answer = sendQuery(settings, deployment.classes().get(c), "t" + c, shards, (int) (deadlineS * 1000));
            assertTrue(answer.startsWith("HTTP/1.1 200"), settings + "\n" + answer);
            JsonObject body = JsonParser.parseString(answer.substring(answer.indexOf("\r\n\r\n")))
                    .getAsJsonObject();
            assertTrue(body.get("total").getAsBoolean(), answer);
            assertEquals(shards, body.getAsJsonArray("answers").size());
            for (int shard = 0; shard < shards; shard++) {
                assertEquals(1, behaviour.calls("t" + c, shard), "number of calls for the shard");
            }
        }
    }

    /** The idempotency window ends before the first answer can arrive. A part that may have run is not retried then. */
    @Test
    void aWindowShorterThanARoundTripAllowsNoRetry() throws Exception {
        String answer = sendQuery(withEachClass("WindowS", 0.001), "balance-adjust", "bad:*", 1, 3000);
        assertTrue(answer.startsWith("HTTP/1.1 500"), answer);
        assertEquals(1, behaviour.calls("bad:*", 0));
    }

    @Test
    void aKeyedPartIsRetriedUpToMaxAttemptsWithinItsWindow() throws Exception {
        String answer = sendQuery(withChangedSettings("Limits", "MaxAttempts", 3), "balance-adjust", "bad:*", 1, 3000);
        assertTrue(answer.startsWith("HTTP/1.1 500"), answer);
        assertEquals(3, behaviour.calls("bad:*", 0));
    }

    @Test
    void retryAfterIsSentOnlyIfTheSettingsAllowIt() throws Exception {
        String answer =
                sendQuery(withChangedSettings("Limits", "RetryAfter", false), "payout-report", "later:*", 1, 3000);
        assertTrue(answer.startsWith("HTTP/1.1 503") && !answer.contains("Retry-After"), answer);
        answer = sendQuery(settings(), "payout-report", "later:*", 1, 3000);
        assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 1.000"), answer);
    }
}
