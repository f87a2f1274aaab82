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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.upgrade.DiscoveryStub;
import pepperdock.faultinjection.upgrade.DiscoveryStub.Fault;
import pepperdock.faultinjection.upgrade.GathererProcess;
import pepperdock.faultinjection.upgrade.WorkerStub;

/** A worker that the old process was told to drain got new work from the new one, whose own polls failed (issue 49). */
@Timeout(60)
class DrainedWorkerUsedAfterUpgradeIT {

    /** News count as told 2 s after the new process is ready; the grace of a drain and the slack of sockets follow. */
    private static final long TOLD_AND_GRACE_MS = 2550;

    @TempDir
    private Path folder;

    private final List<WorkerStub.Send> sends = Collections.synchronizedList(new ArrayList<>());
    private final List<WorkerStub> workers = new ArrayList<>();
    private final List<GathererProcess> processes = new ArrayList<>();
    private DiscoveryStub discovery;
    private ChildProcessGuard guard;
    private int port;

    @BeforeEach
    void configure() throws Exception {
        discovery = new DiscoveryStub();
        guard = new ChildProcessGuard();
        port = GathererProcess.freePort();
        for (int cell = 0; cell < 4; cell++) {
            workers.add(new WorkerStub("w" + cell, sends::add));
            discovery.add("w" + cell, workers.get(cell).address(), cell);
        }
        Files.createDirectory(folder.resolve("state"));
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                        + "\",\"known\":" + discovery.completeList() + ",\"settings\":"
                        + TestDeploymentSettings.SETTINGS + "}");
    }

    @AfterEach
    void close() throws Exception {
        for (GathererProcess process : processes) {
            process.signal("KILL");
            process.awaitEnd(10);
        }
        guard.close();
        discovery.close();
        for (WorkerStub worker : workers) {
            worker.close();
        }
    }

    private GathererProcess start() throws Exception {
        GathererProcess process =
                new GathererProcess(guard, JarProcess.SERVE_COMMAND, folder, "p" + processes.size(), false);
        processes.add(process);
        return process;
    }

    private static void awaitReady(GathererProcess process) throws Exception {
        while (!process.isReady()) {
            assertTrue(process.isAlive(), process.log());
            Thread.sleep(10);
        }
    }

    /** Sends a query for range 0, which w0 and w1 hold, and returns the status line of its response. */
    private String query(int number) throws Exception {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"p\"}";
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(10_000);
            client.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nRequest-Id: q" + number + "\r\nRequest-Class: payout-report\r\n"
                                    + "Request-Timeout-Ms: 2000\r\nConnection: close\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            String response = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return response.lines().findFirst().orElse("");
        }
    }

    @ParameterizedTest
    @CsvSource({"HANG,TERM", "RESET,TERM", "ERROR,TERM", "SLOW,TERM", "HANG,KILL", "ERROR,KILL"})
    void newProcessKnowsTheDrainsThatTheOldOneWasToldOf(Fault fault, String signalToOldProcess) throws Exception {
        GathererProcess oldProcess = start();
        awaitReady(oldProcess);
        Thread.sleep(300);
        discovery.setFault(fault);
        discovery.change("w0", "terminating");
        Thread.sleep(500);
        GathererProcess newProcess = start();
        if (signalToOldProcess.equals("KILL")) {
            Thread.sleep(200);
            oldProcess.signal("KILL");
        }
        awaitReady(newProcess);
        oldProcess.signal("TERM");
        Thread.sleep(TOLD_AND_GRACE_MS);
        assertTrue(discovery.changes().get(0).writtenAtS() > 0, "the old process was told of the drain");
        sends.clear();
        for (int i = 0; i < 12; i++) {
            assertEquals("HTTP/1.1 200 OK", query(i), newProcess.log());
        }
        assertEquals(
                0,
                sends.stream().filter(send -> send.worker().equals("w0")).count(),
                () -> "parts sent to the drained worker, of " + sends);
    }
}
