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
 * The built jar where the system allows fewer descriptors than the configuration says: accept is refused. Guards against an
 * end of the program, and against a log full of it.
 */
@Timeout(120)
class DescriptorsIT {

    @TempDir
    private Path folder;

    @Test
    void aRefusedAcceptNeitherEndsTheProgramNorFillsTheLog() throws Exception {
        List<String> few =
                List.of("/bin/sh", "-c", "ulimit -n 70 && exec '" + String.join("' '", BuiltJar.PLAIN) + "'");
        try (BuiltJar jar = new BuiltJar(
                Path.of("."),
                folder,
                few,
                "\"limits\":{\"sockets\":4096},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},",
                null)) {
            List<Socket> clients = new ArrayList<>();
            try {
                for (int i = 0; i < 120; i++) {
                    clients.add(jar.connect());
                }
                jar.awaited("accept failed");
            } finally {
                for (Socket s : clients) {
                    s.close();
                }
            }
            try (Socket client = jar.connect()) {
                BuiltJar.ready(client);
            }
            // XNIO pauses accepting for some seconds: told at each turn of the selector, it would fill the log.
            assertTrue(
                    jar.log().lines().filter(l -> l.contains("accept failed")).count() < 50, jar::log);
        }
    }

    /** What the process may hold, by its configuration; the least that is taken. */
    private static final int SOCKETS = 160;
    /** More than the queue of its listening socket would hold beside all that it may. */
    private static final int IDLE_CLIENTS = 400;

    private long descriptors(BuiltJar jar) throws IOException {
        try (Stream<Path> held = Files.list(Path.of("/proc", Long.toString(jar.process.pid()), "fd"))) {
            return held.count();
        }
    }

    private static void signal(BuiltJar jar, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(jar.process.pid()))
                        .start()
                        .waitFor());
    }

    /** Idle clients who all come at once, to a process that can't look at them before the last has come. */
    private void fill(BuiltJar jar, List<Socket> clients) throws Exception {
        signal(jar, "STOP");
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            clients.add(jar.connect());
        }
        signal(jar, "CONT");
        try (Socket last = jar.connect()) {
            BuiltJar.ready(last);
        }
    }

    /** Answers the one call that a watch makes, and lets the next one wait. */
    private static void discovery(ServerSocket at, String list) {
        Thread t = new Thread(() -> {
            try {
                Socket s = at.accept();
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                s.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
                in.readLine();
            } catch (IOException e) {
                // The test has ended.
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /**
     * Idle clients take all that clients may, while discovery is down and again while it comes back; the watch and the way to
     * the worker get their descriptors, and the process never holds more than it may.
     */
    @Test
    void aQueryIsServedThoughIdleClientsFillTheDescriptorsWhileDiscoveryIsDown() throws Exception {
        InetAddress here = InetAddress.getLoopbackAddress();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) {
            port = free.getLocalPort();
        }
        List<Socket> clients = new ArrayList<>();
        try (FakeWorker worker = new FakeWorker(new FakeWorkerBehaviour());
                BuiltJar jar = new BuiltJar(
                        Path.of("."),
                        folder,
                        BuiltJar.PLAIN,
                        "\"discovery\":\"127.0.0.1:" + port + "\",\"limits\":{\"sockets\":" + SOCKETS
                                + "},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},",
                        null)) {
            jar.awaited("endpoint list watch failed");
            AtomicLong most = new AtomicLong();
            Thread counts = new Thread(() -> {
                try {
                    while (jar.process.isAlive()) {
                        most.accumulateAndGet(descriptors(jar), Math::max);
                    }
                } catch (IOException | UncheckedIOException e) {
                    // The process has ended.
                }
            });
            counts.setDaemon(true);
            counts.start();
            fill(jar, clients);
            try (ServerSocket back = new ServerSocket(port, 50, here)) {
                discovery(
                        back,
                        "{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":\"w\",\"dial\":\"" + worker.address()
                                + "\",\"block\":0,\"health\":\"in_service\"}]}");
                fill(jar, clients);
                String answer = "";
                for (int i = 0; !answer.startsWith("HTTP/1.1 200"); i++) {
                    assertTrue(jar.process.isAlive(), jar::log);
                    answer = ask(jar, i);
                }
                assertTrue(answer.contains("\"total\":true"), answer);
            }
            assertTrue(most.get() <= SOCKETS, () -> most + " descriptors held, of " + SOCKETS);
        } finally {
            for (Socket s : clients) {
                s.close();
            }
        }
    }

    /** One query on a connection of its own; refused until the list has come. */
    private static String ask(BuiltJar jar, int no) throws Exception {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        try (Socket client = jar.connect()) {
            client.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nConnection: close\r\nRequest-Id: q" + no
                                    + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: 6000\r\n"
                                    + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
