package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.platform.FakeWorker;
import pepperdock.platform.FakeWorkerBehaviour;

/**
 * Runs the built jar with few file descriptors: fewer than its configuration assumes, so that accepting connections
 * fails, and with idle clients that use up the configured limit. Guards against a process that ends because accept
 * fails, and against a log flooded with these failures.
 */
@Timeout(120)
class DescriptorsIT {

    @TempDir
    private Path folder;

    @Test
    void failedAcceptNeitherEndsTheProcessNorFloodsTheLog() throws Exception {
        List<String> command =
                List.of("/bin/sh", "-c", "ulimit -n 70 && exec '" + String.join("' '", JarProcess.SERVE_COMMAND) + "'");
        try (JarProcess jar = new JarProcess(
                Path.of("."),
                folder,
                command,
                "\"limits\":{\"sockets\":4096},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},",
                null)) {
            List<Socket> clients = new ArrayList<>();
            try {
                for (int i = 0; i < 120; i++) {
                    clients.add(jar.connect());
                }
                jar.awaitLogLine("accept failed");
            } finally {
                for (Socket client : clients) {
                    client.close();
                }
            }
            try (Socket client = jar.connect()) {
                JarProcess.assertReady(client);
            }
            // XNIO pauses accepting for some seconds. A line for each iteration of the selector would flood the log.
            assertTrue(
                    jar.log().lines().filter(l -> l.contains("accept failed")).count() < 50, jar::log);
        }
    }

    /** Socket limit in the configuration of the process: the smallest value that is accepted. */
    private static final int MAX_SOCKETS = 160;
    /** More connections than the socket limit and the backlog of the listening socket allow together. */
    private static final int IDLE_CLIENTS = 400;

    private long descriptorCount(JarProcess jar) throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(jar.process.pid()), "fd"))) {
            return descriptors.count();
        }
    }

    private static void signal(JarProcess jar, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(jar.process.pid()))
                        .start()
                        .waitFor());
    }

    /** Connects the idle clients while the process is stopped, so that it sees all connections at the same time. */
    private void connectIdleClients(JarProcess jar, List<Socket> clients) throws Exception {
        signal(jar, "STOP");
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            clients.add(jar.connect());
        }
        signal(jar, "CONT");
        try (Socket last = jar.connect()) {
            JarProcess.assertReady(last);
        }
    }

    /**
     * Starts a thread that answers the first request of a watch with {@code list} and leaves the next one unanswered.
     */
    private static void startDiscovery(ServerSocket server, String list) {
        Thread thread = new Thread(() -> {
            try {
                Socket socket = server.accept();
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                in.readLine();
            } catch (IOException e) {
                // The test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Idle clients use all descriptors that clients may use, while discovery is down and again while it comes back. The
     * watch and the connection to the worker still get their descriptors, and the process never holds more than its
     * limit.
     */
    @Test
    void queryIsServedAlthoughIdleClientsUseUpTheDescriptorsWhileDiscoveryIsDown() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            port = free.getLocalPort();
        }
        List<Socket> clients = new ArrayList<>();
        try (FakeWorker worker = new FakeWorker(new FakeWorkerBehaviour());
                JarProcess jar = new JarProcess(
                        Path.of("."),
                        folder,
                        JarProcess.SERVE_COMMAND,
                        "\"discovery\":\"127.0.0.1:" + port + "\",\"limits\":{\"sockets\":" + MAX_SOCKETS
                                + "},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},",
                        null)) {
            jar.awaitLogLine("endpoint list watch failed");
            AtomicLong maxHeld = new AtomicLong();
            Thread counter = new Thread(() -> {
                try {
                    while (jar.process.isAlive()) {
                        maxHeld.accumulateAndGet(descriptorCount(jar), Math::max);
                    }
                } catch (IOException | UncheckedIOException e) {
                    // The process has ended.
                }
            });
            counter.setDaemon(true);
            counter.start();
            connectIdleClients(jar, clients);
            try (ServerSocket discovery = new ServerSocket(port, 50, loopback)) {
                startDiscovery(
                        discovery,
                        "{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":\"w\",\"dial\":\"" + worker.address()
                                + "\",\"block\":0,\"health\":\"in_service\"}]}");
                connectIdleClients(jar, clients);
                String response = "";
                for (int i = 0; !response.startsWith("HTTP/1.1 200"); i++) {
                    assertTrue(jar.process.isAlive(), jar::log);
                    response = query(jar, i);
                }
                assertTrue(response.contains("\"total\":true"), response);
            }
            assertTrue(maxHeld.get() <= MAX_SOCKETS, () -> maxHeld + " descriptors held, limit " + MAX_SOCKETS);
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** Sends one query on a new connection and returns the response, which is an error until the list has arrived. */
    private static String query(JarProcess jar, int number) throws Exception {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        try (Socket client = jar.connect()) {
            client.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nConnection: close\r\nRequest-Id: q" + number
                                    + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: 6000\r\n"
                                    + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
