package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.platform.FakeWorker;
import pepperdock.platform.FakeWorkerBehaviour;

/** Tests upgrades and bans with real processes of the built jar that share one client address and one state folder. */
@Timeout(180)
class UpgradeIT {

    @TempDir
    private Path folder;

    private final FakeWorkerBehaviour behaviour = new FakeWorkerBehaviour();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final List<GathererProcess> startedProcesses = new ArrayList<>();
    private int port;

    /** One gatherer process, with its log and its operators' address. */
    private final class GathererProcess {
        final Process process;
        final Path log;

        GathererProcess(String name) throws IOException {
            log = folder.resolve(name + ".log");
            ProcessBuilder builder = new ProcessBuilder(JarProcess.SERVE_COMMAND);
            builder.environment()
                    .put("EDGE_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("EDGE_OPERATOR", "127.0.0.1:0");
            builder.environment().put("TMPDIR", folder.resolve("state").toString());
            process = builder.redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            startedProcesses.add(this);
        }

        String log() throws IOException {
            return Files.exists(log) ? Files.readString(log) : "";
        }

        String awaitLogLine(String text) throws Exception {
            while (true) {
                for (String line : log().lines().toList()) {
                    if (line.contains(text)) {
                        return line;
                    }
                }
                assertTrue(process.isAlive(), log());
                Thread.sleep(10);
            }
        }

        String call(String request) throws Exception {
            String line = awaitLogLine("operators are served on ");
            try (Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(),
                    Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip()))) {
                socket.setSoTimeout(30_000);
                socket.getOutputStream().write((request + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }

        void assertSucceeds(String request) throws Exception {
            String response = call(request);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }

        GathererProcess awaitReady() throws Exception {
            while (!call("GET /-/ready").startsWith("HTTP/1.1 200")) {
                Thread.sleep(10);
            }
            return this;
        }

        long metric(String name) throws Exception {
            return call("GET /-/metrics")
                    .lines()
                    .filter(l -> l.startsWith(name + '='))
                    .mapToLong(l -> Long.parseLong(l.substring(name.length() + 1)))
                    .findFirst()
                    .orElseThrow();
        }

        void signal(String name) throws Exception {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                            .start()
                            .waitFor());
        }

        void awaitEnd() throws Exception {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), log());
            assertEquals(0, process.exitValue(), log());
        }
    }

    @BeforeEach
    void startWorkers() throws Exception {
        Files.createDirectory(folder.resolve("state"));
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        StringBuilder hosts = new StringBuilder();
        for (int cell = 0; cell < 4; cell++) {
            workers.add(new FakeWorker(behaviour));
            hosts.append(cell == 0 ? "" : ",")
                    .append("{\"host\":\"w" + cell + "\",\"dial\":\""
                            + workers.get(cell).address() + "\",\"block\":" + cell
                            + ",\"health\":\"in_service\",\"born_ms\":0}");
        }
        configure(hosts.toString(), TestDeploymentSettings.SETTINGS);
    }

    private void configure(String hosts, String settings) throws IOException {
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
                        + hosts + "]},\"settings\":" + settings + "}");
    }

    @AfterEach
    void stopProcessesAndWorkers() throws Exception {
        for (GathererProcess started : startedProcesses) {
            started.process.destroyForcibly();
        }
        for (FakeWorker worker : workers) {
            worker.close();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(30_000);
        return socket;
    }

    /** Sends a query for range 0, which w0 and w1 hold, and returns the response. */
    private static String query(Socket client, String id, String predicate) throws IOException {
        sendQuery(client, id, predicate);
        return readResponse(client);
    }

    private static void sendQuery(Socket client, String id, String predicate) throws IOException {
        sendQuery(client, id, "payout-report", predicate);
    }

    private static void sendQuery(Socket client, String id, String queryClass, String predicate) throws IOException {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"" + predicate + "\"}";
        client.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: " + queryClass + "\r\n"
                                + "Request-Timeout-Ms: 2500\r\nIdempotency-Key: k" + id + "\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String readResponse(Socket client) throws IOException {
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("\r\n\r\n")) {
            int next = client.getInputStream().read();
            assertTrue(next >= 0, response.toString());
            response.append((char) next);
        }
        int length = response.toString()
                .lines()
                .filter(l -> l.startsWith("Content-Length: "))
                .mapToInt(l -> Integer.parseInt(l.substring(16)))
                .findFirst()
                .orElseThrow();
        response.append(new String(client.getInputStream().readNBytes(length), StandardCharsets.US_ASCII));
        return response.toString();
    }

    /** Performs two upgrades in a row, each with a query in flight at the old process and an idle connection to it. */
    @Test
    void upgradeLosesNoQueryAndKeepsTheBans() throws Exception {
        GathererProcess oldProcess = new GathererProcess("n0").awaitReady();
        oldProcess.assertSucceeds("POST /-/workers/w1/disable");
        oldProcess.assertSucceeds("POST /-/workers/w1/disable");
        for (int i = 1; i <= 2; i++) {
            try (Socket idle = connect();
                    Socket inFlight = connect()) {
                assertTrue(query(idle, "r" + i, "good").startsWith("HTTP/1.1 200"));
                GathererProcess newProcess = new GathererProcess("n" + i).awaitReady();
                assertTrue(
                        newProcess.log().contains("another process of this gatherer is alive, 1 workers disabled"),
                        newProcess.log());
                oldProcess.awaitLogLine("another process of this gatherer has begun");
                sendQuery(inFlight, "f" + i, "balance-adjust", "flying" + i);
                oldProcess.signal("TERM");
                oldProcess.awaitLogLine("no new connections here");
                assertTrue(readResponse(inFlight).startsWith("HTTP/1.1 200"));
                // An idle connection gets one more response and is closed, so that its client uses the new process.
                sendQuery(idle, "l" + i, "balance-adjust", "last" + i);
                String last = readResponse(idle);
                assertTrue(last.startsWith("HTTP/1.1 200"), last);
                for (int n = 0; n < 20; n++) {
                    try (Socket next = connect()) {
                        assertTrue(query(next, "n" + i + '-' + n, "good").startsWith("HTTP/1.1 200"));
                    }
                }
                oldProcess.awaitEnd();
                newProcess.awaitLogLine("the other process of this gatherer has ended");
                oldProcess = newProcess;
                // A query that must not be executed twice was sent exactly once, by one of the two processes.
                assertEquals(1, behaviour.calls("flying" + i, 0));
                assertEquals(1, behaviour.calls("last" + i, 0));
            }
        }
        assertEquals(1, oldProcess.metric("svc.skipped_workers"));
        assertEquals(4, oldProcess.metric("svc.known_workers"));
        assertEquals(0, oldProcess.metric("svc.in_progress"));
        assertEquals(oldProcess.metric("svc.passed.payout-report"), oldProcess.metric("svc.upstream_tries"));
        assertTrue(oldProcess.call("POST /-/workers/w9/disable").startsWith("HTTP/1.1 404"));
    }

    /** During an upgrade a ban at one process also applies at the other, until an operator enables the worker. */
    @Test
    void banDuringAnUpgradeAppliesToBothProcesses() throws Exception {
        GathererProcess oldProcess = new GathererProcess("n0").awaitReady();
        GathererProcess newProcess = new GathererProcess("n1").awaitReady();
        oldProcess.awaitLogLine("another process of this gatherer has begun");
        newProcess.assertSucceeds("POST /-/workers/w0/disable");
        oldProcess.assertSucceeds("POST /-/workers/w1/disable");
        while (oldProcess.metric("svc.skipped_workers") + newProcess.metric("svc.skipped_workers") < 4) {
            Thread.sleep(10);
        }
        try (Socket client = connect()) {
            String response = query(client, "a", "good");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
        }
        assertEquals(0, behaviour.calls("good", 0), "both workers that hold the range are banned");
        newProcess.assertSucceeds("POST /-/workers/w1/enable");
        while (oldProcess.metric("svc.skipped_workers") + newProcess.metric("svc.skipped_workers") > 2) {
            Thread.sleep(10);
        }
        try (Socket client = connect()) {
            assertTrue(query(client, "b", "good").startsWith("HTTP/1.1 200"));
        }
        assertEquals(1, behaviour.calls("good", 0));
    }

    /** A reload lists the banned worker, restarted, as cold and at another address; later it is enabled again. */
    @Test
    void banOutlastsRestartOfTheWorkerAndReloadUntilTheWorkerIsEnabled() throws Exception {
        GathererProcess gatherer = new GathererProcess("n0").awaitReady();
        gatherer.assertSucceeds("POST /-/workers/w0/disable");
        FakeWorkerBehaviour restartedBehaviour = new FakeWorkerBehaviour();
        FakeWorker restarted = new FakeWorker(restartedBehaviour);
        String oldAddress = workers.get(0).address();
        workers.add(restarted);
        String config = Files.readString(folder.resolve("config.json"));
        Files.writeString(
                folder.resolve("config.json"),
                config.replace(
                        oldAddress + "\",\"block\":0,\"health\":\"in_service\",\"born_ms\":0",
                        restarted.address() + "\",\"block\":0,\"health\":\"in_service\",\"born_ms\":"
                                + System.currentTimeMillis()));
        assertFalse(Files.readString(folder.resolve("config.json")).contains(oldAddress));
        gatherer.signal("HUP");
        while (gatherer.metric("svc.loads") < 1) {
            Thread.sleep(10);
        }
        for (int i = 0; i < 20; i++) {
            try (Socket client = connect()) {
                assertTrue(query(client, "b" + i, "good").startsWith("HTTP/1.1 200"));
            }
        }
        assertEquals(0, restartedBehaviour.calls("good", 0), "banned, although listed as in service");
        gatherer.assertSucceeds("POST /-/workers/w0/enable");
        for (int i = 0; restartedBehaviour.calls("good", 0) == 0; i++) {
            try (Socket client = connect()) {
                assertTrue(query(client, "a" + i, "good").startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Both processes reload settings that replace a class: each then accepts the new class and rejects the old one. */
    @Test
    void settingsChangedDuringAnUpgradeAreLoadedByBothProcesses() throws Exception {
        GathererProcess oldProcess = new GathererProcess("n0").awaitReady();
        GathererProcess newProcess = new GathererProcess("n1").awaitReady();
        String config = Files.readString(folder.resolve("config.json"));
        Files.writeString(
                folder.resolve("config.json"),
                config.replace("\"payout-report\"", "\"wallet-move\"")
                        .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1"));
        for (GathererProcess each : List.of(oldProcess, newProcess)) {
            each.signal("HUP");
            each.awaitLogLine("configuration reloaded");
            while (each.metric("svc.loads") < 1) {
                Thread.sleep(10);
            }
        }
        for (int i = 0; i < 20; i++) {
            try (Socket client = connect()) {
                sendQuery(client, "n" + i, "wallet-move", "good");
                assertTrue(readResponse(client).startsWith("HTTP/1.1 200"));
                sendQuery(client, "o" + i, "payout-report", "good");
                assertTrue(readResponse(client).startsWith("HTTP/1.1 400"));
            }
        }
        assertEquals(20, oldProcess.metric("svc.passed.wallet-move") + newProcess.metric("svc.passed.wallet-move"));
        try (Socket client = connect()) {
            sendQuery(client, "once", "wallet-move", "bad:*");
            assertTrue(readResponse(client).startsWith("HTTP/1.1 503"));
        }
        assertEquals(1, behaviour.calls("bad:*", 0), "one attempt");
        oldProcess.signal("TERM");
        oldProcess.awaitEnd();
        assertEquals(0, newProcess.metric("svc.load_errors"));
    }

    /** The new process is killed, or exits on an error in its configuration; the old one keeps serving as before. */
    @Test
    void newProcessThatIsKilledOrFailsToStartDoesNotAffectTheOldOne() throws Exception {
        GathererProcess oldProcess = new GathererProcess("n0").awaitReady();
        GathererProcess killed = new GathererProcess("n1").awaitReady();
        oldProcess.awaitLogLine("another process of this gatherer has begun");
        killed.process.destroyForcibly().waitFor();
        oldProcess.awaitLogLine("the other process of this gatherer has ended");
        String config = Files.readString(folder.resolve("config.json"));
        Files.writeString(folder.resolve("config.json"), config.replace("\"MaxAttempts\":4", "\"MaxAttempts\":0"));
        GathererProcess faulty = new GathererProcess("n2");
        assertEquals(2, faulty.process.waitFor());
        assertTrue(faulty.log().contains("settings.Limits.MaxAttempts"), faulty.log());
        oldProcess.signal("HUP");
        oldProcess.awaitLogLine("configuration not reloaded");
        try (Socket client = connect()) {
            assertTrue(query(client, "a", "good").startsWith("HTTP/1.1 200"));
            assertFalse(query(client, "b", "good").contains("Connection: close"));
        }
        assertEquals(0, oldProcess.metric("svc.loads"));
        assertEquals(1, oldProcess.metric("svc.load_errors"));
    }

    /** While the new process waits for an endpoint list, the old one must accept connections although told to end. */
    @Test
    void oldProcessToldToEndAcceptsConnectionsUntilTheNewOneServes() throws Exception {
        GathererProcess oldProcess = new GathererProcess("n0").awaitReady();
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String config = Files.readString(folder.resolve("config.json"));
            Files.writeString(
                    folder.resolve("config.json"),
                    config.replace(
                            "\"name\":", "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\",\"name\":"));
            GathererProcess newProcess = new GathererProcess("n1");
            try (Socket listRequest = discovery.accept()) {
                assertEquals('G', listRequest.getInputStream().read());
                oldProcess.awaitLogLine("another process of this gatherer has begun");
                oldProcess.signal("TERM");
                oldProcess.awaitLogLine("draining, 0 queries in flight");
                try (Socket client = connect()) {
                    assertTrue(query(client, "a", "good").startsWith("HTTP/1.1 200"));
                }
                newProcess.awaitReady();
            }
            assertFalse(oldProcess.log().contains("no new connections here"), oldProcess.log());
            oldProcess.awaitEnd();
        }
    }

    /** A ban takes effect at once, also for attempts that wait for a connection and retries about to be sent. */
    @Test
    void damagedBanFileDoesNotPreventTheStartAndDisabledWorkerReceivesNoRetries() throws Exception {
        Files.writeString(folder.resolve("state").resolve("bans.json"), "{\"version\":1,\"disab");
        GathererProcess gatherer = new GathererProcess("n0").awaitReady();
        gatherer.awaitLogLine("ban file is damaged, moved to ");
        gatherer.assertSucceeds("POST /-/workers/w0/disable");
        try (Socket client = connect()) {
            String response = query(client, "a", "bad:*");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
        }
        assertEquals(gatherer.metric("svc.upstream_tries"), behaviour.calls("bad:*", 0));
        gatherer.signal("TERM");
        gatherer.awaitEnd();
        GathererProcess next = new GathererProcess("n1").awaitReady();
        assertTrue(next.log().contains("no other process of this gatherer, 1 workers disabled"), next.log());
    }
}
