package pepperdock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

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
}
