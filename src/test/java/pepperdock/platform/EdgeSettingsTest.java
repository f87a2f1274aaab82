package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import pepperdock.config.Sites;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/** Settings at their edge, as another customer may have them: each serves, and keeps what it says. */
@Timeout(120)
class EdgeSettingsTest {

    private final StandIn does = new StandIn();

    private static JsonObject settings() {
        return JsonParser.parseString(Sites.SETTINGS
                        .replace("\"GoalTimeS\":1.5,\"DeadlineS\":3", "\"GoalTimeS\":5,\"DeadlineS\":30")
                        .replace("\"GoalTimeS\":2.5,\"DeadlineS\":6", "\"GoalTimeS\":5,\"DeadlineS\":30"))
                .getAsJsonObject();
    }

    private static JsonObject in(String part, Object... pairs) {
        JsonObject all = settings();
        JsonObject at = all.getAsJsonObject(part);
        for (int i = 0; i < pairs.length; i += 2) {
            at.add((String) pairs[i], JsonParser.parseString(String.valueOf(pairs[i + 1])));
        }
        return all;
    }

    private static JsonObject eachClass(Object... pairs) {
        JsonObject all = settings();
        all.getAsJsonArray("RequestClasses").forEach(c -> {
            for (int i = 0; i < pairs.length; i += 2) {
                c.getAsJsonObject().add((String) pairs[i], JsonParser.parseString(String.valueOf(pairs[i + 1])));
            }
        });
        return all;
    }

    private static JsonObject oneClass() {
        JsonObject all = settings();
        JsonArray one = new JsonArray();
        one.add(all.getAsJsonArray("RequestClasses").get(1));
        all.add("RequestClasses", one);
        return all;
    }

    static Stream<JsonObject> edges() {
        return Stream.of(
                oneClass(),
                in("FamilyInfo", "Slices", 1, "Cells", 1, "Span", 1),
                in("FamilyInfo", "Batch", 1),
                in("Limits", "Cancel", false),
                in("Limits", "RetryAfter", false),
                in("Limits", "MayDuplicate", false),
                in("Limits", "MaxAttempts", 1),
                in("Limits", "Multiplex", 1),
                in("Limits", "Multiplex", 3),
                eachClass("WindowS", 0),
                eachClass("GoalTimeS", 0.28, "DeadlineS", 0.28),
                eachClass("LateWorth", 0, "Worth", 0));
    }

    /** Asks for one part of each shard given, and reads the one answer. */
    private String ask(JsonObject settings, String name, String text, int shards, int ms) throws Exception {
        DeploymentSettings site = Sites.with(settings.toString());
        List<StandInWorker> workers = new ArrayList<>();
        try (Loop loop = new Loop(200, 1 << 18)) {
            List<WorkerEndpoint> hosts = new ArrayList<>();
            for (int cell = 0; cell < site.module().layout().cells(); cell++) {
                workers.add(new StandInWorker(does));
                hosts.add(new WorkerEndpoint(
                        "w" + cell, workers.get(cell).dial(), 0, 0, cell, EndpointState.HEALTHY, 1, 0));
            }
            WorkerPool pool = new WorkerPool(loop, site);
            Gatherer core = new Gatherer(site.module(), 3, loop, pool, () -> {});
            pool.start(core);
            HttpServer server = new HttpServer(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1 << 16,
                    () -> 8,
                    new Front(site, core, () -> true));
            loop.execute(() -> core.onEndpointList(EndpointListKind.CACHED, hosts));
            StringBuilder ranges = new StringBuilder();
            for (int s = 0; s < shards; s++) {
                ranges.append(s == 0 ? "" : ",").append("{\"range\":" + s + ",\"portion\":" + 1.0 / shards + '}');
            }
            String body = "{\"ranges\":[" + ranges + "],\"predicate\":\"" + text + "\"}";
            try (Socket s =
                    new Socket(server.address().getAddress(), server.address().getPort())) {
                s.getOutputStream()
                        .write(("POST /api HTTP/1.1\r\nRequest-Id: a\r\nIdempotency-Key: k\r\nRequest-Class: " + name
                                        + "\r\nRequest-Timeout-Ms: " + ms + "\r\nConnection: close\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
                return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        } finally {
            for (StandInWorker w : workers) {
                w.close();
            }
        }
    }

    @ParameterizedTest
    @MethodSource("edges")
    void eachEdgeServesEachOfItsClassesWhole(JsonObject settings) throws Exception {
        DeploymentSettings site = Sites.with(settings.toString());
        int shards = Math.min(4, site.module().layout().shards());
        for (int c = 0; c < site.classes().size(); c++) {
            double deadlineS = site.module().classes().get(c).deadlineS();
            String said = ask(settings, site.classes().get(c), "t" + c, shards, (int) (deadlineS * 1000));
            assertTrue(said.startsWith("HTTP/1.1 200"), settings + "\n" + said);
            JsonObject answer = JsonParser.parseString(said.substring(said.indexOf("\r\n\r\n")))
                    .getAsJsonObject();
            assertTrue(answer.get("total").getAsBoolean(), said);
            assertEquals(shards, answer.getAsJsonArray("answers").size());
            for (int s = 0; s < shards; s++) {
                assertEquals(1, does.times("t" + c, s), "sent once");
            }
        }
    }

    /** The window is over before the first answer can be back: what may have run is not sent again. */
    @Test
    void aWindowShorterThanTheWayThereAndBackAllowsNoRepeat() throws Exception {
        String said = ask(eachClass("WindowS", 0.001), "balance-adjust", "bad:*", 1, 3000);
        assertTrue(said.startsWith("HTTP/1.1 500"), said);
        assertEquals(1, does.times("bad:*", 0));
    }

    @Test
    void withinItsWindowAndAttemptsAKeyedPartIsRepeated() throws Exception {
        String said = ask(in("Limits", "MaxAttempts", 3), "balance-adjust", "bad:*", 1, 3000);
        assertTrue(said.startsWith("HTTP/1.1 500"), said);
        assertEquals(3, does.times("bad:*", 0));
    }

    @Test
    void noRetryAfterIsToldWhereTheSettingsHaveNone() throws Exception {
        String said = ask(in("Limits", "RetryAfter", false), "payout-report", "later:*", 1, 3000);
        assertTrue(said.startsWith("HTTP/1.1 503") && !said.contains("Retry-After"), said);
        said = ask(settings(), "payout-report", "later:*", 1, 3000);
        assertTrue(said.startsWith("HTTP/1.1 503") && said.contains("Retry-After: 1.000"), said);
    }
}
