package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.faultinjection.upgrade.WorkerStub;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/** A worker is told a deadline later than its client's, since the request had waited unread or behind another one. */
@Timeout(60)
class DeadlineOfWaitingRequestTest {

    private static final int TIMEOUT_MS = 2000;
    /** The deadline that a worker is told may be this much later than what the client has left. */
    private static final int SLACK_MS = 150;

    private final DeploymentSettings settings = TestDeploymentSettings.small();
    private final EventLoop loop = new EventLoop(100, 1 << 16);
    private final BlockingQueue<WorkerStub.Send> sends = new LinkedBlockingQueue<>();
    private final WorkerStub worker = new WorkerStub("w2", sends::add);
    /** Accepts connections and never answers. */
    private final ServerSocket silentWorker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final FrameBackend backend = new FrameBackend(loop, settings);
    private final Gatherer core = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
    private final HttpServer server;

    DeadlineOfWaitingRequestTest() throws IOException {
        backend.start(core);
        server = PlatformFixtures.listen(loop, 1 << 16, 10, new PlatformFront(settings, core, () -> true));
        loop.execute(() -> core.onEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        PlatformFixtures.endpoint("w0", 0, "127.0.0.1:" + silentWorker.getLocalPort()),
                        PlatformFixtures.endpoint("w2", 2, worker.address()))));
    }

    @AfterEach
    void close() throws IOException {
        loop.close();
        worker.close();
        silentWorker.close();
    }

    /** Sends a query for a range; range 0 is held by the silent worker, range 2 by the other one. */
    private static void send(Socket client, String id, int range, int timeoutMs) throws IOException {
        String body = PlatformFixtures.ONE_PART_BODY.replace("\"range\":0", "\"range\":" + range);
        client.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: payout-report\r\n"
                                + "Request-Timeout-Ms: " + timeoutMs + "\r\nContent-Length: " + body.length()
                                + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Waits for the send of a query that was sent after {@code sentAtNanos}, and checks its deadline. */
    private void assertDeadlineWithinClients(long sentAtNanos, int waitedAtLeastMs) throws Exception {
        WorkerStub.Send send = sends.poll(30, TimeUnit.SECONDS);
        long waitedMs = (System.nanoTime() - sentAtNanos) / 1_000_000;
        assertTrue(waitedMs >= waitedAtLeastMs, "waited for " + waitedMs + " ms only");
        // The worker reports a send some milliseconds after it, so that the bound is a little lower than it has to be.
        assertTrue(
                send.deadlineMs() <= TIMEOUT_MS - waitedAtLeastMs + SLACK_MS,
                send.deadlineMs() + " ms after the client has waited for " + waitedAtLeastMs + " of " + TIMEOUT_MS);
        assertTrue(send.deadlineMs() > 0, "some time is left");
    }

    @Test
    void requestThatWasUnreadWhileTheLoopStoodStill() throws Exception {
        try (Socket client = PlatformFixtures.connect(server)) {
            // The stall detector starts with the server, and the connection is accepted.
            Thread.sleep(300);
            loop.execute(() -> sleep(800));
            Thread.sleep(50);
            long sentAtNanos = System.nanoTime();
            send(client, "a", 2, TIMEOUT_MS);
            assertDeadlineWithinClients(sentAtNanos, 700);
        }
    }

    @Test
    void requestBehindAnotherOnItsConnection() throws Exception {
        try (Socket client = PlatformFixtures.connect(server)) {
            long sentAtNanos = System.nanoTime();
            send(client, "slow", 0, 900);
            send(client, "behind", 2, TIMEOUT_MS);
            assertDeadlineWithinClients(sentAtNanos, 800);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
