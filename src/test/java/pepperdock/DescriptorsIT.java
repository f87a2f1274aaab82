package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.Sites;

/**
 * The built jar where the system allows fewer descriptors than the configuration says: accept is refused. Guards against an
 * end of the program, and against a log full of it.
 */
@Timeout(120)
class DescriptorsIT {

    private static final int ALLOWED = 70;
    private static final int CLIENTS = 120;

    @TempDir
    private Path folder;

    @Test
    void aRefusedAcceptNeitherEndsTheProgramNorFillsTheLog() throws Exception {
        Files.writeString(folder.resolve("config.json"), "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\","
                + "\"limits\":{\"sockets\":4096},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\"settings\":"
                + Sites.SETTINGS + "}");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + ALLOWED + " && exec '"
                + Path.of(System.getProperty("java.home"), "bin", "java") + "' -jar target/pepperdock.jar serve");
        builder.environment().put("EDGE_CONFIG", folder.resolve("config.json").toString());
        Path log = folder.resolve("log");
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        List<Socket> clients = new ArrayList<>();
        try {
            int port = port(process, log);
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            while (!Files.readString(log).contains("accept failed")) {
                assertTrue(process.isAlive(), Files.readString(log));
                Thread.sleep(10);
            }
            for (Socket s : clients) {
                s.close();
            }
            assertEquals("HTTP/1.1 200", ready(port));
            // XNIO pauses accepting for some seconds: told at each turn of the selector, it would fill the log.
            assertTrue(Files.readString(log).lines().filter(l -> l.contains("accept failed")).count() < 50);
        } finally {
            for (Socket s : clients) {
                s.close();
            }
            process.destroy();
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        }
    }

    private static int port(Process process, Path log) throws Exception {
        while (true) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains(" serves on ")) {
                    return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip());
                }
            }
            assertTrue(process.isAlive(), Files.readString(log));
            Thread.sleep(10);
        }
    }

    private static String ready(int port) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.getOutputStream().write("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }
}
