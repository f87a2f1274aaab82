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
        try (ServerSocket first = discovery(); ServerSocket second = discovery(); BuiltJar jar = start(first)) {
            assertTrue(asked(first).startsWith("GET /api/targets?since=0&"));
            BuiltJar.configure(folder, at(second));
            signal("HUP", jar.process);
            assertEquals("GET /api/targets HTTP/1.1", asked(second));
            assertTrue(jar.process.isAlive(), jar::log);
        }
    }

    /** Found on a day of restarts: closed at once, a client has nowhere to go while the next gatherer is starting. */
    @Test
    void afterSigtermAKeptConnectionIsServedOnAndTheEndIsLogged() throws Exception {
        try (ServerSocket discovery = discovery(); BuiltJar jar = start(discovery)) {
            try (Socket client = jar.connect()) {
                BuiltJar.ready(client);
                signal("TERM", jar.process);
                jar.awaited("draining, 0 in hand");
                BuiltJar.ready(client);
            }
            jar.end();
            assertEquals(0, jar.process.exitValue());
            assertTrue(jar.log().contains("drained, with nothing in hand"), jar::log);
        }
    }
}
