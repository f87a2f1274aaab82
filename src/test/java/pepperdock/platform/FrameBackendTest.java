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

/**
 * Checks how attempts end when their worker does not answer, as the protocol's table says, and which connection a call
 * uses.
 */
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
    void anAttemptOnARefusedConnectionNeverRan() throws Exception {
        worker.server.close();
        worker.listWorkerAndSubmit();
        assertEquals("rejected " + AttemptOutcome.CONNECT_FAILED, worker.awaitOutcome());
    }

    @Test
    void anAttemptResetAfterItsCompleteFrameMayHaveRun() throws Exception {
        worker.listWorkerAndSubmit();
        try (Socket connection = worker.server.accept()) {
            OneWorkerFixture.readFrame(connection);
        }
        assertEquals("failed " + AttemptOutcome.RESET, worker.awaitOutcome());
    }

    /**
     * The worker writes a frame of an impossible length. Only its connection is closed; the next call uses a new one.
     */
    @Test
    void aMalformedFrameClosesOnlyItsConnection() throws Exception {
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
     * The network path under a connection failed silently, and calls were still sent on it until all of them had timed
     * out. A connection with an overdue result must get no new calls; a new one is opened.
     */
    @Test
    void anUnresponsiveConnectionGetsNoNewCalls() throws Exception {
        DeploymentSettings shortTimeout = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":0.1"));
        try (OneWorkerFixture fixture = new OneWorkerFixture(shortTimeout, 1 << 16)) {
            fixture.listWorker();
            fixture.submit(OneWorkerFixture.request("first", OneWorkerFixture.KEYED_CLASS));
            try (Socket unresponsive = fixture.server.accept()) {
                unresponsive.getInputStream().readNBytes(5);
                Thread.sleep(200);
                fixture.submit(OneWorkerFixture.request("second", OneWorkerFixture.KEYED_CLASS));
                try (Socket next = fixture.server.accept()) {
                    byte[] frameStart = next.getInputStream().readNBytes(15);
                    assertEquals("msecond.0 0", new String(frameStart, 4, 11, StandardCharsets.US_ASCII));
                }
            }
        }
    }

    /**
     * A call is queued until its connection is established. When the worker begins to drain, it ends without having
     * run.
     */
    @Test
    void callsQueuedForAConnectionEndWhenTheWorkerDrains() throws Exception {
        worker.listWorkerAndSubmit(() -> worker.gatherer.onEndpointList(
                EndpointListKind.CHANGES, List.of(worker.endpoint(EndpointState.DRAINING))));
        assertEquals("rejected " + AttemptOutcome.NOT_SENT, worker.awaitOutcome());
    }

    /** A worker that is missing from a complete list has been removed, even if it still answers. */
    @Test
    void callsQueuedForAConnectionEndWhenACompleteListOmitsTheWorker() throws Exception {
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
     * A client disconnected, and the cancellation of the last part at a draining worker closed the worker's connection
     * while the list of connections was being iterated. The exception aborted the batch half way. This happened during
     * releases.
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
                // Skip the rest of the call and the cancellation, until the end of the stream.
            }
        }
    }
}
