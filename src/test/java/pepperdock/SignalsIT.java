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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.Sites;

/** The built jar and the signals themselves: without a handler the JVM ends at SIGHUP, with status 129. */
@Timeout(120)
class SignalsIT {

    private static final String FILE = """
            {"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","settings":%s}""";

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

    private Process start(ServerSocket discovery) throws IOException {
        write(discovery);
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar", Path.of("target", "pepperdock.jar").toString(), "serve");
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        return builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
    }

    private void write(ServerSocket discovery) throws IOException {
        Files.writeString(folder.resolve("config.json"), FILE.formatted(discovery.getLocalPort(), Sites.SETTINGS));
    }

    private static void signal(String name, Process process) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    @Test
    void sighupMovesTheWatchAndTheProgramGoesOn() throws Exception {
        try (ServerSocket first = discovery(); ServerSocket second = discovery()) {
            Process process = start(first);
            try {
                assertTrue(asked(first).startsWith("GET /api/targets?since=0&"));
                write(second);
                signal("HUP", process);
                assertEquals("GET /api/targets HTTP/1.1", asked(second));
                assertTrue(process.isAlive(), this::log);
            } finally {
                process.destroy();
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            }
        }
    }

    /** Found on a day of restarts: closed at once, a client has nowhere to go while the next gatherer is starting. */
    @Test
    void afterSigtermAKeptConnectionIsServedOnAndTheEndIsLogged() throws Exception {
        try (ServerSocket discovery = discovery()) {
            Process process = start(discovery);
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port(process))) {
                ready(client);
                signal("TERM", process);
                awaited(process, "draining, 0 in hand");
                ready(client);
            } finally {
                process.destroy();
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            }
            assertEquals(0, process.exitValue());
            assertTrue(log().contains("drained, with nothing in hand"), this::log);
        }
    }

    private static void ready(Socket client) throws IOException {
        client.getOutputStream().write("GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        StringBuilder said = new StringBuilder();
        while (!said.toString().endsWith("{}")) {
            int next = client.getInputStream().read();
            assertTrue(next >= 0, said.toString());
            said.append((char) next);
        }
        assertTrue(said.toString().startsWith("HTTP/1.1 200"), said.toString());
    }

    private int port(Process process) throws Exception {
        String line = awaited(process, "serves on ");
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip());
    }

    /** The log's line that holds such text, once it is there. */
    private String awaited(Process process, String text) throws Exception {
        while (true) {
            for (String line : log().lines().toList()) {
                if (line.contains(text)) {
                    return line;
                }
            }
            assertTrue(process.isAlive(), this::log);
            Thread.sleep(10);
        }
    }

    private String log() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
