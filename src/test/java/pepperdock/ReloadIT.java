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
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.Sites;

/** The built jar and the signal itself: without a handler the JVM ends at SIGHUP, with status 129. */
class ReloadIT {

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

    @Test
    void sighupMovesTheWatchAndTheProgramGoesOn() throws Exception {
        Path config = folder.resolve("config.json");
        try (ServerSocket first = discovery(); ServerSocket second = discovery()) {
            Files.writeString(config, FILE.formatted(first.getLocalPort(), Sites.SETTINGS));
            ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-jar", Path.of("target", "pepperdock.jar").toString(), "serve");
            builder.environment().put("EDGE_CONFIG", config.toString());
            Process process = builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
            try {
                assertTrue(asked(first).startsWith("GET /api/targets?since=0&"));
                Files.writeString(config, FILE.formatted(second.getLocalPort(), Sites.SETTINGS));
                Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
                assertEquals(0, kill.waitFor());
                assertEquals("GET /api/targets HTTP/1.1", asked(second));
                assertTrue(process.isAlive(), () -> log());
            } finally {
                process.destroy();
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            }
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
