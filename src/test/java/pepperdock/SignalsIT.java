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

/** Sends real signals to the built jar. Without a handler, the JVM would end on SIGHUP with status 129. */
@Timeout(120)
class SignalsIT {

    @TempDir
    private Path folder;

    private static ServerSocket openServer() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(60_000);
        return server;
    }

    /** Accepts a connection and returns the first line that it sends. */
    private static String acceptRequestLine(ServerSocket server) throws IOException {
        try (Socket socket = server.accept()) {
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    private static String discoveryKey(ServerSocket discovery) {
        return "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\",";
    }

    private JarProcess start(ServerSocket discovery) throws IOException {
        return new JarProcess(Path.of("."), folder, JarProcess.SERVE_COMMAND, discoveryKey(discovery), null);
    }

    private static void signal(String name, Process process) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    @Test
    void sighupMovesTheWatchToTheNewAddressAndTheProcessContinues() throws Exception {
        try (ServerSocket first = openServer();
                ServerSocket second = openServer();
                JarProcess jar = start(first)) {
            assertTrue(acceptRequestLine(first).startsWith("GET /api/targets?since=0&"));
            JarProcess.configure(folder, discoveryKey(second));
            signal("HUP", jar.process);
            assertEquals("GET /api/targets HTTP/1.1", acceptRequestLine(second));
            assertTrue(jar.process.isAlive(), jar::log);
        }
    }

    /**
     * Returns the configuration key for a static list whose four workers all are {@code worker}, which answers no
     * calls.
     */
    private static String knownWorkers(ServerSocket worker) {
        StringBuilder hosts = new StringBuilder();
        for (int cell = 0; cell < 4; cell++) {
            hosts.append(cell == 0 ? "" : ",")
                    .append("{\"host\":\"w" + cell + "\",\"dial\":\"127.0.0.1:" + worker.getLocalPort()
                            + "\",\"block\":" + cell + ",\"health\":\"in_service\",\"born_ms\":0}");
        }
        return "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]},";
    }

    /** A query is in flight at a worker that hangs when SIGTERM arrives; a reload and a second SIGTERM follow. */
    @Test
    void queryInFlightAtSigtermIsAnsweredDespiteReloadAndSecondSigterm() throws Exception {
        try (ServerSocket worker = openServer();
                JarProcess jar =
                        new JarProcess(Path.of("."), folder, JarProcess.SERVE_COMMAND, knownWorkers(worker), null)) {
            try (Socket client = jar.connect();
                    Socket idle = jar.connect()) {
                String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
                client.getOutputStream()
                        .write(("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: payout-report\r\n"
                                        + "Request-Timeout-Ms: 900\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
                try (Socket workerConnection = worker.accept()) {
                    workerConnection.getInputStream().readNBytes(5);
                    signal("TERM", jar.process);
                    jar.awaitLogLine("draining, 1 queries in flight");
                    signal("HUP", jar.process);
                    signal("TERM", jar.process);
                    jar.awaitLogLine("configuration reloaded");
                    String status = new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                    assertTrue(status.matches("HTTP/1.1 50[34]"), status);
                    // A connection that was idle all the time is still served.
                    JarProcess.assertReady(idle);
                }
            }
            assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS));
            assertEquals(0, jar.process.exitValue());
            assertEquals(
                    1, jar.log().lines().filter(l -> l.contains("draining, ")).count(), jar::log);
            assertTrue(jar.log().contains("drained, no queries in flight"), jar::log);
        }
    }

    private static String queryRequest(String id) {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        return "POST /api HTTP/1.1\r\nRequest-Id: " + id
                + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: 400\r\n" + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /**
     * One client has sent half of a request at SIGTERM and sends the rest afterwards; another reads its reply after the
     * process ended.
     */
    @Test
    void halfSentRequestAtSigtermIsServedAndUnreadReplyOutlivesTheProcess() throws Exception {
        try (ServerSocket worker = openServer();
                JarProcess jar =
                        new JarProcess(Path.of("."), folder, JarProcess.SERVE_COMMAND, knownWorkers(worker), null);
                Socket half = jar.connect();
                Socket unread = jar.connect()) {
            byte[] request = queryRequest("half").getBytes(StandardCharsets.US_ASCII);
            half.getOutputStream().write(request, 0, 30);
            unread.getOutputStream().write(queryRequest("unread").getBytes(StandardCharsets.US_ASCII));
            try (Socket workerConnection = worker.accept()) {
                workerConnection.getInputStream().readNBytes(5);
                signal("TERM", jar.process);
                jar.awaitLogLine("draining, 1 queries in flight");
                half.getOutputStream().write(request, 30, request.length - 30);
                String status = new String(half.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                assertTrue(status.matches("HTTP/1.1 50[34]"), status);
                assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS));
            }
            assertEquals(0, jar.process.exitValue());
            String reply = new String(unread.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(reply.matches("(?s)HTTP/1.1 50[34].*\"}"), reply);
        }
    }

    /**
     * SIGTERM ends the process at any moment of its start: early on by the default handling of the JVM, and by the
     * program's own handler from a moment before the process reports that it is ready.
     */
    @Test
    void sigtermDuringStartEndsTheProcess() throws Exception {
        try (ServerSocket discovery = openServer();
                JarProcess jar = start(discovery)) {
            signal("TERM", jar.process);
            assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS), jar::log);
            assertTrue(
                    jar.process.exitValue() == 143 || jar.process.exitValue() == 0,
                    () -> "status " + jar.process.exitValue());
        }
        try (ServerSocket discovery = openServer();
                JarProcess jar = start(discovery)) {
            jar.awaitLogLine(" serves on ");
            signal("TERM", jar.process);
            assertTrue(jar.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS), jar::log);
            assertEquals(0, jar.process.exitValue());
            assertTrue(jar.log().contains("drained, no queries in flight"), jar::log);
        }
    }

    /**
     * Guards against a failure found during a day of restarts: if kept connections are closed at once on SIGTERM, their
     * clients have nowhere to connect to while the next gatherer is starting.
     */
    @Test
    void keptConnectionIsServedAfterSigtermAndTheEndIsLogged() throws Exception {
        try (ServerSocket discovery = openServer();
                JarProcess jar = start(discovery)) {
            try (Socket client = jar.connect()) {
                JarProcess.assertReady(client);
                signal("TERM", jar.process);
                jar.awaitLogLine("draining, 0 queries in flight");
                JarProcess.assertReady(client);
            }
            jar.terminate();
            assertEquals(0, jar.process.exitValue());
            assertTrue(jar.log().contains("drained, no queries in flight"), jar::log);
        }
    }

    /** SIGHUP during the start ended the process: the JVM's default, until the configuration could be reloaded. */
    @Test
    void sighupDuringStartDoesNotEndTheProcess() throws Exception {
        try (ServerSocket discovery = openServer();
                JarProcess jar = start(discovery)) {
            jar.awaitLogLine("XNIO version");
            while (!jar.log().contains(" serves on ") && jar.process.isAlive()) {
                signal("HUP", jar.process);
            }
            jar.awaitLogLine(" serves on ");
            jar.awaitLogLine("configuration reloaded");
        }
    }
}
