package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The built jar and the signals themselves: without a handler the JVM ends at SIGHUP, with status 129. */
@Timeout(120)
class SignalsIT {

    @TempDir
    private Path folder;

    private static ServerSocket discovery() throws IOException {
        ServerSocket s = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        s.setSoTimeout(60_000);
        return s;
    }

    private static String asked(ServerSocket at) throws IOException {
        try (Socket s = at.accept()) {
            return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
        }
    }

    private static String at(ServerSocket discovery) {
        return "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\",";
    }

    private BuiltJar start(ServerSocket discovery) throws IOException {
        return new BuiltJar(Path.of("."), folder, BuiltJar.PLAIN, at(discovery), null);
    }

    private static void signal(String name, Process process) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    @Test
    void sighupMovesTheWatchAndTheProgramGoesOn() throws Exception {
        try (ServerSocket first = discovery();
                ServerSocket second = discovery();
                BuiltJar jar = start(first)) {
            assertTrue(asked(first).startsWith("GET /api/targets?since=0&"));
            BuiltJar.configure(folder, at(second));
            signal("HUP", jar.process);
            assertEquals("GET /api/targets HTTP/1.1", asked(second));
            assertTrue(jar.process.isAlive(), jar::log);
        }
    }

    /** A worker that takes calls and answers none, listed in the file itself. */
    private static String hangs(ServerSocket worker) {
        StringBuilder hosts = new StringBuilder();
        for (int cell = 0; cell < 4; cell++) {
            hosts.append(cell == 0 ? "" : ",")
                    .append("{\"host\":\"w" + cell + "\",\"dial\":\"127.0.0.1:" + worker.getLocalPort()
                            + "\",\"block\":" + cell + ",\"health\":\"in_service\",\"born_ms\":0}");
        }
        return "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]},";
    }

    /** In flight at a worker that hangs; a second signal and a reload come on top of the first. */
    @Test
    void whatIsInHandAtSigtermIsAnsweredWhateverElseComes() throws Exception {
        try (ServerSocket worker = discovery();
                BuiltJar jar = new BuiltJar(Path.of("."), folder, BuiltJar.PLAIN, hangs(worker), null)) {
            try (Socket client = jar.connect();
                    Socket resting = jar.connect()) {
                String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
                client.getOutputStream()
                        .write(("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: payout-report\r\n"
                                        + "Request-Timeout-Ms: 900\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
                try (Socket taken = worker.accept()) {
                    taken.getInputStream().readNBytes(5);
                    signal("TERM", jar.process);
                    jar.awaited("draining, 1 queries in flight");
                    signal("HUP", jar.process);
                    signal("TERM", jar.process);
                    jar.awaited("configuration reloaded");
                    String said = new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                    assertTrue(said.matches("HTTP/1.1 50[34]"), said);
                    // A connection that rested all the while is served on.
                    BuiltJar.ready(resting);
                }
            }
            assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS));
            assertEquals(0, jar.process.exitValue());
            assertEquals(
                    1, jar.log().lines().filter(l -> l.contains("draining, ")).count(), jar::log);
            assertTrue(jar.log().contains("drained, no queries in flight"), jar::log);
        }
    }

    private static String request(String id) {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        return "POST /api HTTP/1.1\r\nRequest-Id: " + id
                + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: 400\r\n" + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /** Half a request at the signal, its rest after; and a reply that is read only once the program has ended. */
    @Test
    void halfARequestAtSigtermIsServedAndAReplyOutlivesTheProgram() throws Exception {
        try (ServerSocket worker = discovery();
                BuiltJar jar = new BuiltJar(Path.of("."), folder, BuiltJar.PLAIN, hangs(worker), null);
                Socket half = jar.connect();
                Socket unread = jar.connect()) {
            byte[] whole = request("half").getBytes(StandardCharsets.US_ASCII);
            half.getOutputStream().write(whole, 0, 30);
            unread.getOutputStream().write(request("unread").getBytes(StandardCharsets.US_ASCII));
            try (Socket taken = worker.accept()) {
                taken.getInputStream().readNBytes(5);
                signal("TERM", jar.process);
                jar.awaited("draining, 1 queries in flight");
                half.getOutputStream().write(whole, 30, whole.length - 30);
                String said = new String(half.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                assertTrue(said.matches("HTTP/1.1 50[34]"), said);
                assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS));
            }
            assertEquals(0, jar.process.exitValue());
            String kept = new String(unread.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(kept.matches("(?s)HTTP/1.1 50[34].*\"}"), kept);
        }
    }

    /** At any moment of the start it ends: by the JVM's own handling at first, by ours from before it says that it is ready. */
    @Test
    void aStartThatIsInterruptedEnds() throws Exception {
        try (ServerSocket discovery = discovery();
                BuiltJar jar = start(discovery)) {
            signal("TERM", jar.process);
            assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS), jar::log);
            assertTrue(
                    jar.process.exitValue() == 143 || jar.process.exitValue() == 0,
                    () -> "status " + jar.process.exitValue());
        }
        try (ServerSocket discovery = discovery();
                BuiltJar jar = start(discovery)) {
            jar.awaited(" serves on ");
            signal("TERM", jar.process);
            assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS), jar::log);
            assertEquals(0, jar.process.exitValue());
            assertTrue(jar.log().contains("drained, no queries in flight"), jar::log);
        }
    }

    /** Found on a day of restarts: closed at once, a client has nowhere to go while the next gatherer is starting. */
    @Test
    void afterSigtermAKeptConnectionIsServedOnAndTheEndIsLogged() throws Exception {
        try (ServerSocket discovery = discovery();
                BuiltJar jar = start(discovery)) {
            try (Socket client = jar.connect()) {
                BuiltJar.ready(client);
                signal("TERM", jar.process);
                jar.awaited("draining, 0 queries in flight");
                BuiltJar.ready(client);
            }
            jar.end();
            assertEquals(0, jar.process.exitValue());
            assertTrue(jar.log().contains("drained, no queries in flight"), jar::log);
        }
    }
}
