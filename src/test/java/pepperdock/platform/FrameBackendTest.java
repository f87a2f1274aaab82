package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Query;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/** How attempts end when their worker does not answer them, by the protocol's table; which connection a call takes. */
class FrameBackendTest {

    private static final DeploymentSettings ONE_ATTEMPT = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
            .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));

    private final OneWorkerFixture worker = new OneWorkerFixture(ONE_ATTEMPT, 1 << 16);

    FrameBackendTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        worker.close();
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        worker.server.close();
        worker.listWorkerAndSubmit();
        assertEquals("rejected " + AttemptOutcome.CONNECT_FAILED, worker.awaitOutcome());
    }

    @Test
    void aResetAfterTheCompleteFrameMayHaveRun() throws Exception {
        worker.listWorkerAndSubmit();
        try (Socket connection = worker.server.accept()) {
            OneWorkerFixture.readFrame(connection);
        }
        assertEquals("failed " + AttemptOutcome.RESET, worker.awaitOutcome());
    }

    /** The worker writes a frame of an impossible length. Its connection is closed; the next call goes on a new one. */
    @Test
    void aMalformedFrameEndsItsConnectionOnly() throws Exception {
        worker.listWorkerAndSubmit();
        try (Socket connection = worker.server.accept()) {
            connection.getInputStream().readNBytes(5);
            connection.getOutputStream().write(new byte[] {-1, -1, -1, -1, 0});
            assertEquals("failed " + AttemptOutcome.RESET, worker.awaitOutcome());
        }
        worker.listWorkerAndSubmit();
        try (Socket connection = worker.server.accept()) {
            OneWorkerFixture.readFrame(connection);
            connection.getOutputStream().write(OneWorkerFixture.result("q.0 good 1 -\nv"));
            assertEquals("answered " + AttemptOutcome.OK, worker.awaitOutcome());
        }
    }

    /**
     * Found on a recorded day: the network path under a connection failed silently, and calls were still sent on it until all
     * of them had timed out. A connection with an overdue result gets no new calls; a new one is opened.
     */
    @Test
    void anUnresponsiveConnectionGetsNoNewCalls() throws Exception {
        DeploymentSettings shortTimeout = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":0.1"));
        try (OneWorkerFixture own = new OneWorkerFixture(shortTimeout, 1 << 16)) {
            own.listWorker();
            own.submit(OneWorkerFixture.request("first", OneWorkerFixture.KEYED_CLASS));
            try (Socket unresponsive = own.server.accept()) {
                unresponsive.getInputStream().readNBytes(5);
                Thread.sleep(200);
                own.submit(OneWorkerFixture.request("second", OneWorkerFixture.KEYED_CLASS));
                try (Socket next = own.server.accept()) {
                    byte[] begun = next.getInputStream().readNBytes(15);
                    assertEquals("msecond.0 0", new String(begun, 4, 11, StandardCharsets.US_ASCII));
                }
            }
        }
    }

    /** A call is queued until its connection is established. When the worker begins to drain, it ends without having run. */
    @Test
    void callsQueuedForAConnectionEndWhenTheWorkerDrains() throws Exception {
        worker.listWorkerAndSubmit(() -> worker.gatherer.onEndpointList(
                EndpointListKind.CHANGES, List.of(worker.endpoint(EndpointState.DRAINING))));
        assertEquals("rejected " + AttemptOutcome.NOT_SENT, worker.awaitOutcome());
    }

    /** A worker that a complete list does not name has been removed, even if it still answers. */
    @Test
    void callsQueuedForAConnectionEndWhenACompleteListLeavesTheWorkerOut() throws Exception {
        worker.listWorkerAndSubmit(() -> worker.gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of()));
        assertEquals("rejected " + AttemptOutcome.NOT_SENT, worker.awaitOutcome());
    }

    /** An operator bans the worker while a call is queued for a connection to it. */
    @Test
    void callsQueuedForAConnectionEndWhenTheWorkerIsBanned() throws Exception {
        worker.listWorkerAndSubmit(() -> worker.gatherer.setBannedEndpoints(Set.of("w")));
        assertEquals("rejected " + AttemptOutcome.NOT_SENT, worker.awaitOutcome());
    }

    /**
     * Seen on days of releases: a client left, and the cancellation of the last part at a draining worker closed the worker's
     * connection while the list of connections was being iterated. The exception ended the batch half way.
     */
    @Test
    void cancellingTheLastPartAtADrainingWorkerClosesItsConnection() throws Exception {
        worker.listWorker();
        Query query = worker.submit(OneWorkerFixture.request("q", OneWorkerFixture.IDEMPOTENT_CLASS));
        try (Socket connection = worker.server.accept()) {
            connection.getInputStream().readNBytes(5);
            CompletableFuture<Throwable> thrown = new CompletableFuture<>();
            worker.loop.execute(() -> {
                worker.gatherer.onEndpointList(
                        EndpointListKind.CHANGES, List.of(worker.endpoint(EndpointState.DRAINING)));
                try {
                    worker.gatherer.onClientGone(query);
                    thrown.complete(null);
                } catch (RuntimeException e) {
                    thrown.complete(e);
                }
            });
            assertNull(thrown.get(30, TimeUnit.SECONDS));
            connection.setSoTimeout(30_000);
            while (connection.getInputStream().read() >= 0) {
                // The rest of the call, the cancellation, then the end.
            }
        }
    }
}
