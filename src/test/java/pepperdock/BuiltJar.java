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

/** A gatherer started from what was built, as a process of its own; ended when closed. */
final class BuiltJar implements AutoCloseable {

    static final List<String> PLAIN = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-jar",
            "target/pepperdock.jar",
            "serve");

    final Process process;
    private final Path log;

    /** {@code also} is what the configuration has besides name, address and settings: keys with their commas. */
    BuiltJar(Path root, Path folder, List<String> command, String also, String path) throws IOException {
        configure(folder, also);
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        if (path != null) {
            builder.environment().put("PATH", path);
        }
        log = folder.resolve("log");
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    static void configure(Path folder, String also) throws IOException {
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\"," + also + "\"settings\":" + TestDeploymentSettings.SETTINGS
                        + "}");
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** The log's line that holds such text, once it is there. */
    String awaited(String text) throws InterruptedException {
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
        String line = awaited(" serves on ");
        return new Socket(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip()));
    }

    /** Asks on that connection whether the gatherer is ready, and has it say so. */
    static void ready(Socket client) throws IOException {
        client.getOutputStream().write("GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        StringBuilder said = new StringBuilder();
        while (!said.toString().endsWith("{}")) {
            int next = client.getInputStream().read();
            assertTrue(next >= 0, said.toString());
            said.append((char) next);
        }
        assertTrue(said.toString().startsWith("HTTP/1.1 200"), said.toString());
    }

    @Override
    public void close() {
        end();
    }

    /** SIGTERM, and its end. */
    void end() {
        process.destroy();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), this::log);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
