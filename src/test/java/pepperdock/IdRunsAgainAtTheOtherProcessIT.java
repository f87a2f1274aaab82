package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.upgrade.DiscoveryStub;
import pepperdock.faultinjection.upgrade.GathererProcess;
import pepperdock.faultinjection.upgrade.WorkerStub;

/** Guards against an id that the old process of an upgrade has run and that runs again at the new one (issue 53). */
@Timeout(60)
class IdRunsAgainAtTheOtherProcessIT {

    @TempDir
    private Path folder;

    private static String query(int port) throws Exception {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"p\"}";
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(10_000);
            client.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: payout-report\r\n"
                                    + "Request-Timeout-Ms: 2000\r\nConnection: close\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            String response = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return response.lines().findFirst().orElse("");
        }
    }

    private static void awaitReady(GathererProcess process) throws Exception {
        while (!process.isReady()) {
            assertTrue(process.isAlive(), process.log());
            Thread.sleep(10);
        }
    }

    @Test
    void anIdRunsOnceInBothProcessesOfAnUpgrade() throws Exception {
        List<WorkerStub.Send> sends = Collections.synchronizedList(new ArrayList<>());
        int port = GathererProcess.freePort();
        Files.createDirectory(folder.resolve("state"));
        try (ChildProcessGuard guard = new ChildProcessGuard();
                DiscoveryStub discovery = new DiscoveryStub();
                WorkerStub worker = new WorkerStub("w0", sends::add)) {
            discovery.add("w0", worker.address(), 0);
            Files.writeString(
                    folder.resolve("config.json"),
                    "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                            + "\",\"known\":" + discovery.completeList() + ",\"settings\":"
                            + TestDeploymentSettings.SETTINGS + "}");
            GathererProcess oldProcess = new GathererProcess(guard, JarProcess.SERVE_COMMAND, folder, "old", false);
            awaitReady(oldProcess);
            assertEquals("HTTP/1.1 200 OK", query(port));
            GathererProcess newProcess = new GathererProcess(guard, JarProcess.SERVE_COMMAND, folder, "new", false);
            awaitReady(newProcess);
            oldProcess.signal("TERM");
            oldProcess.awaitEnd(10);
            String second = query(port);
            newProcess.signal("KILL");
            newProcess.awaitEnd(10);
            assertEquals(1, sends.size(), () -> "sends of the same id; the second answer was " + second);
        }
    }
}
