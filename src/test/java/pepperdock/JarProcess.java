package pepperdock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pepperdock.config.TestDeploymentSettings;

/** A gatherer started from the built jar as a separate process; closing it terminates the process. */
final class JarProcess implements AutoCloseable {

    static final List<String> SERVE_COMMAND = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-jar",
            "target/pepperdock.jar",
            "serve");

    final Process process;
    private final Path log;

    /**
     * Writes a configuration and starts the process.
     *
     * @param extraKeys keys of the configuration besides name, address and settings, each followed by a comma
     * @param path search path of the process, null for that of this process
     */
    JarProcess(Path root, Path folder, List<String> command, String extraKeys, String path) throws IOException {
        configure(folder, extraKeys);
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        if (path != null) {
            builder.environment().put("PATH", path);
        }
        log = folder.resolve("log");
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    static void configure(Path folder, String extraKeys) throws IOException {
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\"," + extraKeys + "\"settings\":"
                        + TestDeploymentSettings.SETTINGS + "}");
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Waits for a line of the log that contains {@code text} and returns it. */
    String awaitLogLine(String text) throws InterruptedException {
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

    Socket connect() throws IOException, InterruptedException {
        String line = awaitLogLine(" serves on ");
        return new Socket(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip()));
    }

    /** Requests the readiness of the gatherer on this connection and checks that it is ready. */
    static void assertReady(Socket client) throws IOException {
        client.getOutputStream().write("GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("{}")) {
            int next = client.getInputStream().read();
            assertTrue(next >= 0, response.toString());
            response.append((char) next);
        }
        assertTrue(response.toString().startsWith("HTTP/1.1 200"), response.toString());
    }

    @Override
    public void close() {
        terminate();
    }

    /** Sends SIGTERM and waits until the process has ended. */
    void terminate() {
        process.destroy();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), this::log);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
