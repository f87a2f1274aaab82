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

/** Real processes of the built jar on one clients' address and one folder for their state: upgrades and bans. */
@Timeout(180)
class UpgradeIT {

    @TempDir
    private Path folder;

    private final FakeWorkerBehaviour behaviour = new FakeWorkerBehaviour();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final List<Gatherer> begun = new ArrayList<>();
    private int port;

    /** One process: its log, and where operators reach it. */
    private final class Gatherer {
        final Process process;
        final Path log;

        Gatherer(String name) throws IOException {
            log = folder.resolve(name + ".log");
            ProcessBuilder b = new ProcessBuilder(BuiltJar.PLAIN);
            b.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
            b.environment().put("EDGE_OPERATOR", "127.0.0.1:0");
            b.environment().put("TMPDIR", folder.resolve("state").toString());
            process = b.redirectErrorStream(true).redirectOutput(log.toFile()).start();
            begun.add(this);
        }

        String log() throws IOException {
            return Files.exists(log) ? Files.readString(log) : "";
        }

        String awaited(String text) throws Exception {
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
            String line = awaited("operators are served on ");
            try (Socket s = new Socket(
                    InetAddress.getLoopbackAddress(),
                    Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip()))) {
                s.setSoTimeout(30_000);
                s.getOutputStream().write((request + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            }
        }

        void yes(String request) throws Exception {
            String said = call(request);
            assertTrue(said.startsWith("HTTP/1.1 200"), said);
        }

        /** Until it says that it is ready. */
        Gatherer ready() throws Exception {
            while (!call("GET /-/ready").startsWith("HTTP/1.1 200")) {
                Thread.sleep(10);
            }
            return this;
        }

        long figure(String name) throws Exception {
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

        void ended() throws Exception {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), log());
            assertEquals(0, process.exitValue(), log());
        }
    }

    @BeforeEach
    void begin() throws Exception {
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
    void end() throws Exception {
        for (Gatherer g : begun) {
            g.process.destroyForcibly();
        }
        for (FakeWorker w : workers) {
            w.close();
        }
    }

    private Socket client() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(30_000);
        return s;
    }

    /** Asks for range 0, which w0 and w1 hold, and reads the answer. */
    private static String ask(Socket s, String id, String text) throws IOException {
        send(s, id, text);
        return answer(s);
    }

    private static void send(Socket s, String id, String text) throws IOException {
        send(s, id, "payout-report", text);
    }

    private static void send(Socket s, String id, String queryClass, String text) throws IOException {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"" + text + "\"}";
        s.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: " + queryClass + "\r\n"
                                + "Request-Timeout-Ms: 2500\r\nIdempotency-Key: k" + id + "\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String answer(Socket s) throws IOException {
        StringBuilder said = new StringBuilder();
        while (!said.toString().endsWith("\r\n\r\n")) {
            int next = s.getInputStream().read();
            assertTrue(next >= 0, said.toString());
            said.append((char) next);
        }
        int length = said.toString()
                .lines()
                .filter(l -> l.startsWith("Content-Length: "))
                .mapToInt(l -> Integer.parseInt(l.substring(16)))
                .findFirst()
                .orElseThrow();
        said.append(new String(s.getInputStream().readNBytes(length), StandardCharsets.US_ASCII));
        return said.toString();
    }

    /** Two in a row, each with a request in flight at the old process and a connection that rests there. */
    @Test
    void anUpgradeLosesNothingAndTheBansGoWithIt() throws Exception {
        Gatherer old = new Gatherer("n0").ready();
        old.yes("POST /-/workers/w1/disable");
        old.yes("POST /-/workers/w1/disable");
        for (int i = 1; i <= 2; i++) {
            try (Socket resting = client();
                    Socket flying = client()) {
                assertTrue(ask(resting, "r" + i, "good").startsWith("HTTP/1.1 200"));
                Gatherer now = new Gatherer("n" + i).ready();
                assertTrue(
                        now.log().contains("another process of this gatherer serves, 1 workers disabled"), now.log());
                old.awaited("another process of this gatherer has begun");
                send(flying, "f" + i, "balance-adjust", "flying" + i);
                old.signal("TERM");
                old.awaited("no new connections here");
                assertTrue(answer(flying).startsWith("HTTP/1.1 200"));
                // Whoever rests is served once more, and sent to the other.
                send(resting, "l" + i, "balance-adjust", "last" + i);
                String last = answer(resting);
                assertTrue(last.startsWith("HTTP/1.1 200"), last);
                for (int n = 0; n < 20; n++) {
                    try (Socket next = client()) {
                        assertTrue(ask(next, "n" + i + '-' + n, "good").startsWith("HTTP/1.1 200"));
                    }
                }
                old.ended();
                now.awaited("the other process of this gatherer has ended");
                old = now;
                // What must not run twice went out once, by one of the two processes.
                assertEquals(1, behaviour.calls("flying" + i, 0));
                assertEquals(1, behaviour.calls("last" + i, 0));
            }
        }
        assertEquals(1, old.figure("svc.skipped_workers"));
        assertEquals(4, old.figure("svc.known_workers"));
        assertEquals(0, old.figure("svc.in_progress"));
        assertEquals(old.figure("svc.passed.payout-report"), old.figure("svc.upstream_tries"));
        assertTrue(old.call("POST /-/workers/w9/disable").startsWith("HTTP/1.1 404"));
    }

    /** A ban at either process of an upgrade holds at the other; and none is used until the call back. */
    @Test
    void aBanDuringAnUpgradeHoldsAtBoth() throws Exception {
        Gatherer old = new Gatherer("n0").ready();
        Gatherer now = new Gatherer("n1").ready();
        old.awaited("another process of this gatherer has begun");
        now.yes("POST /-/workers/w0/disable");
        old.yes("POST /-/workers/w1/disable");
        while (old.figure("svc.skipped_workers") + now.figure("svc.skipped_workers") < 4) {
            Thread.sleep(10);
        }
        try (Socket c = client()) {
            String said = ask(c, "a", "good");
            assertTrue(said.startsWith("HTTP/1.1 503"), said);
        }
        assertEquals(0, behaviour.calls("good", 0), "both holders are out");
        now.yes("POST /-/workers/w1/enable");
        while (old.figure("svc.skipped_workers") + now.figure("svc.skipped_workers") > 2) {
            Thread.sleep(10);
        }
        try (Socket c = client()) {
            assertTrue(ask(c, "b", "good").startsWith("HTTP/1.1 200"));
        }
        assertEquals(1, behaviour.calls("good", 0));
    }

    /** The worker comes back under its id, at another address and cold, in a file that SIGHUP reads; then the call back comes. */
    @Test
    void aBanHoldsOverARestartOfTheWorkerAListAndSighupAndEndsWithTheCallBack() throws Exception {
        Gatherer only = new Gatherer("n0").ready();
        only.yes("POST /-/workers/w0/disable");
        FakeWorkerBehaviour again = new FakeWorkerBehaviour();
        FakeWorker restarted = new FakeWorker(again);
        String old = workers.get(0).address();
        workers.add(restarted);
        String whole = Files.readString(folder.resolve("config.json"));
        Files.writeString(
                folder.resolve("config.json"),
                whole.replace(
                        old + "\",\"block\":0,\"health\":\"in_service\",\"born_ms\":0",
                        restarted.address() + "\",\"block\":0,\"health\":\"in_service\",\"born_ms\":"
                                + System.currentTimeMillis()));
        assertFalse(Files.readString(folder.resolve("config.json")).contains(old));
        only.signal("HUP");
        while (only.figure("svc.loads") < 1) {
            Thread.sleep(10);
        }
        for (int i = 0; i < 20; i++) {
            try (Socket c = client()) {
                assertTrue(ask(c, "b" + i, "good").startsWith("HTTP/1.1 200"));
            }
        }
        assertEquals(0, again.calls("good", 0), "nothing to it, whatever the list says");
        only.yes("POST /-/workers/w0/enable");
        for (int i = 0; again.calls("good", 0) == 0; i++) {
            try (Socket c = client()) {
                assertTrue(ask(c, "a" + i, "good").startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Read by both while both serve, and by the one that is left: whoever is asked knows the new class, and not the old one. */
    @Test
    void settingsThatChangeDuringAnUpgradeAreTakenByBoth() throws Exception {
        Gatherer old = new Gatherer("n0").ready();
        Gatherer now = new Gatherer("n1").ready();
        String whole = Files.readString(folder.resolve("config.json"));
        Files.writeString(
                folder.resolve("config.json"),
                whole.replace("\"payout-report\"", "\"wallet-move\"")
                        .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1"));
        for (Gatherer g : List.of(old, now)) {
            g.signal("HUP");
            g.awaited("configuration reloaded");
            while (g.figure("svc.loads") < 1) {
                Thread.sleep(10);
            }
        }
        for (int i = 0; i < 20; i++) {
            try (Socket c = client()) {
                send(c, "n" + i, "wallet-move", "good");
                assertTrue(answer(c).startsWith("HTTP/1.1 200"));
                send(c, "o" + i, "payout-report", "good");
                assertTrue(answer(c).startsWith("HTTP/1.1 400"));
            }
        }
        assertEquals(20, old.figure("svc.passed.wallet-move") + now.figure("svc.passed.wallet-move"));
        try (Socket c = client()) {
            send(c, "once", "wallet-move", "bad:*");
            assertTrue(answer(c).startsWith("HTTP/1.1 503"));
        }
        assertEquals(1, behaviour.calls("bad:*", 0), "one attempt");
        old.signal("TERM");
        old.ended();
        assertEquals(0, now.figure("svc.load_errors"));
    }

    /** Killed, or never begun for a fault in its file: the old process serves on as though nothing had been. */
    @Test
    void aNewProcessThatDiesOrNeverBeginsHarmsNothing() throws Exception {
        Gatherer old = new Gatherer("n0").ready();
        Gatherer killed = new Gatherer("n1").ready();
        old.awaited("another process of this gatherer has begun");
        killed.process.destroyForcibly().waitFor();
        old.awaited("the other process of this gatherer has ended");
        String whole = Files.readString(folder.resolve("config.json"));
        Files.writeString(folder.resolve("config.json"), whole.replace("\"MaxAttempts\":4", "\"MaxAttempts\":0"));
        Gatherer faulty = new Gatherer("n2");
        assertEquals(2, faulty.process.waitFor());
        assertTrue(faulty.log().contains("settings.Limits.MaxAttempts"), faulty.log());
        old.signal("HUP");
        old.awaited("configuration not reloaded");
        try (Socket c = client()) {
            assertTrue(ask(c, "a", "good").startsWith("HTTP/1.1 200"));
            assertFalse(ask(c, "b", "good").contains("Connection: close"));
        }
        assertEquals(0, old.figure("svc.loads"));
        assertEquals(1, old.figure("svc.load_errors"));
    }

    /** The new process has not begun to serve: it waits for a list that does not come. Nobody may be left without either. */
    @Test
    void toldToEndBeforeTheNewOneServesTheOldOneTakesWhoComes() throws Exception {
        Gatherer old = new Gatherer("n0").ready();
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String whole = Files.readString(folder.resolve("config.json"));
            Files.writeString(
                    folder.resolve("config.json"),
                    whole.replace(
                            "\"name\":", "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\",\"name\":"));
            Gatherer now = new Gatherer("n1");
            try (Socket asks = discovery.accept()) {
                assertEquals('G', asks.getInputStream().read());
                old.awaited("another process of this gatherer has begun");
                old.signal("TERM");
                old.awaited("draining, 0 queries in flight");
                try (Socket c = client()) {
                    assertTrue(ask(c, "a", "good").startsWith("HTTP/1.1 200"));
                }
                now.ready();
            }
            assertFalse(old.log().contains("no new connections here"), old.log());
            old.ended();
        }
    }

    /** The ban waits for nothing: not for a dial, not for a repeat that is about to go. */
    @Test
    void aDamagedStateIsSurvivedAndADisabledWorkerIsNotEvenRetriedAt() throws Exception {
        Files.writeString(folder.resolve("state").resolve("bans.json"), "{\"version\":1,\"disab");
        Gatherer only = new Gatherer("n0").ready();
        only.awaited("ban file is damaged, moved to ");
        only.yes("POST /-/workers/w0/disable");
        try (Socket c = client()) {
            String said = ask(c, "a", "bad:*");
            assertTrue(said.startsWith("HTTP/1.1 503"), said);
        }
        assertEquals(only.figure("svc.upstream_tries"), behaviour.calls("bad:*", 0));
        only.signal("TERM");
        only.ended();
        Gatherer next = new Gatherer("n1").ready();
        assertTrue(next.log().contains("no other process of this gatherer, 1 workers disabled"), next.log());
    }
}
