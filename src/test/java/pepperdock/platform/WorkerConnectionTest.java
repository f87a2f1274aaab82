package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Query;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/** Frames and calls on one connection to a worker, in the orders and forms that are most likely to break it. */
class WorkerConnectionTest {

    private static final DeploymentSettings ONE_ATTEMPT = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
            .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));

    /** More than the kernel's buffers of both sides hold. */
    private static final int LARGE_BYTES = 24 << 20;

    private static final int SMALL_BUFFER = 1 << 18;
    private static final int LARGE_BUFFER = LARGE_BYTES + (1 << 20);

    /**
     * Acts as a worker that reads one call, writes these bytes and keeps the connection open; returns the final answer.
     */
    private static String outcomeAfter(byte[] written) throws Exception {
        try (OneWorkerFixture worker = new OneWorkerFixture(ONE_ATTEMPT, SMALL_BUFFER)) {
            worker.listWorkerAndSubmit();
            try (Socket connection = worker.server.accept()) {
                OneWorkerFixture.readFrame(connection);
                connection.getOutputStream().write(written);
                return worker.awaitOutcome();
            }
        }
    }

    /**
     * An invalid frame ends the attempt at once. The connection stays open in each case: an attempt that waited for the
     * connection to end, or for more bytes, would take the query's whole time. The first character is the frame's type,
     * and {@code ~} stands for a line feed.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "?q.0 good 1 -~v",
                "qq.0 fine 1 -~v",
                "qq.9 good 1 -~v",
                "qno line",
                "rcan't read it",
                "oq.0 good"
            })
    void anAttemptWithAnInvalidResultMayHaveRun(String frame) throws Exception {
        byte[] bytes = frame.replace("~", "\n").getBytes(StandardCharsets.US_ASCII);
        byte[] payload = Arrays.copyOfRange(bytes, 1, bytes.length);
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(FrameEncoder.encode((char) bytes[0], payload)));
    }

    /** Only the beginning of a frame arrives: an unknown id, a header that does not end, a value that is not UTF-8. */
    @Test
    void anInvalidResultIsRejectedBeforeItIsComplete() throws Exception {
        byte[] unknownId = OneWorkerFixture.result("q.9 good 1 -\n" + "x".repeat(5000));
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(Arrays.copyOf(unknownId, 30)));
        byte[] endlessHeader = OneWorkerFixture.result("x".repeat(5000));
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(Arrays.copyOf(endlessHeader, 3000)));
        byte[] notText = OneWorkerFixture.result("q.0 good 1 -\n\u00ff\u00fe");
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(notText));
    }

    /**
     * A valid result arrives with an unreadable load report, and is followed by a duplicate, or by bytes that are not a
     * frame.
     */
    @Test
    void aValidResultIsUsedDespiteAnInvalidLoadReportOrInvalidBytesAfterIt() throws Exception {
        byte[] valid = OneWorkerFixture.result("q.0 good 1 not a=report,qps=NaN\nv");
        byte[] twice = Arrays.copyOf(valid, valid.length * 2);
        System.arraycopy(valid, 0, twice, valid.length, valid.length);
        assertEquals("answered " + AttemptOutcome.OK, outcomeAfter(twice));
        assertEquals("answered " + AttemptOutcome.OK, outcomeAfter(Arrays.copyOf(valid, valid.length + 50)));
    }

    /** Returns the types and ids of the frames up to and including the next health check. */
    private static List<String> framesUpToHealthCheck(DataInputStream in) throws IOException {
        List<String> frames = new ArrayList<>();
        do {
            frames.add(OneWorkerFixture.typeAndId(in.readNBytes(in.readInt())));
        } while (!frames.get(frames.size() - 1).equals("o"));
        return frames;
    }

    /** Events while a call is pending, each of which is a reason not to send it. */
    enum Withdrawal {
        WORKER_DRAINS {
            @Override
            void apply(OneWorkerFixture worker, Query pending) {
                worker.gatherer.onEndpointList(
                        EndpointListKind.CHANGES, List.of(worker.endpoint(EndpointState.DRAINING)));
            }
        },
        WORKER_IS_REMOVED {
            @Override
            void apply(OneWorkerFixture worker, Query pending) {
                worker.gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of());
            }
        },
        WORKER_IS_BANNED {
            @Override
            void apply(OneWorkerFixture worker, Query pending) {
                worker.gatherer.setBannedEndpoints(Set.of("w"));
            }
        },
        CLIENT_LEAVES {
            @Override
            void apply(OneWorkerFixture worker, Query pending) {
                worker.gatherer.onClientGone(pending);
            }
        };

        abstract void apply(OneWorkerFixture worker, Query pending);
    }

    /**
     * A large call fills the kernel's buffers, and the scheduler sends a small one while the large one is stuck. The
     * small call must be kept pending and withdrawn: in the connection's own buffer it would be sent whatever happens
     * in the meantime.
     */
    @ParameterizedTest
    @EnumSource(Withdrawal.class)
    void aCallPendingBehindAnotherIsWithdrawn(Withdrawal withdrawal) throws Exception {
        try (OneWorkerFixture worker = new OneWorkerFixture(ONE_ATTEMPT, LARGE_BUFFER)) {
            worker.listWorker();
            worker.submit(OneWorkerFixture.request("big", OneWorkerFixture.KEYED_CLASS, 30, new byte[LARGE_BYTES]));
            try (Socket connection = worker.server.accept()) {
                DataInputStream in = new DataInputStream(new BufferedInputStream(connection.getInputStream()));
                in.mark(8);
                in.readInt();
                in.reset();
                BlockingQueue<Boolean> sent = new LinkedBlockingQueue<>();
                worker.loop.execute(() -> {
                    Query small = worker.gatherer.submit(
                            OneWorkerFixture.request("small", OneWorkerFixture.KEYED_CLASS), worker.recorder());
                    // This runs after the batch that sends the small call.
                    worker.loop.after(0.02, () -> {
                        sent.add(small.parts().get(0).isSent());
                        withdrawal.apply(worker, small);
                        worker.backend.checkHealth("w");
                    });
                });
                assertTrue(sent.take(), "the small call was not sent by the scheduler");
                List<String> frames = framesUpToHealthCheck(in);
                // A second health check is awaited, because a call that was still pending would be written after
                // everything before it had been written.
                worker.loop.execute(() -> worker.backend.checkHealth("w"));
                frames.addAll(framesUpToHealthCheck(in));
                assertEquals(List.of("mbig.0", "o", "o"), frames);
            }
        }
    }

    /**
     * A client reuses a request id after its first query has ended, while a result for the first query may still
     * arrive. The second query must not be answered with the value of the first: its call is sent on another
     * connection.
     */
    @Test
    void aReusedRequestIdIsSentOnAnotherConnection() throws Exception {
        try (OneWorkerFixture worker = new OneWorkerFixture(ONE_ATTEMPT, SMALL_BUFFER)) {
            worker.listWorker();
            Query first = worker.submit(
                    OneWorkerFixture.request("q", OneWorkerFixture.IDEMPOTENT_CLASS, 30, new byte[] {'a'}));
            try (Socket old = worker.server.accept()) {
                old.getInputStream().readNBytes(5);
                worker.loop.execute(() -> worker.gatherer.onClientGone(first));
                Query second = worker.submit(
                        OneWorkerFixture.request("q", OneWorkerFixture.IDEMPOTENT_CLASS, 30, new byte[] {'b'}));
                try (Socket fresh = worker.server.accept()) {
                    byte[] call = OneWorkerFixture.readFrame(fresh);
                    assertEquals('b', call[call.length - 1]);
                    old.getOutputStream().write(OneWorkerFixture.result("q.0 good 1 -\nold"));
                    fresh.getOutputStream().write(OneWorkerFixture.result("q.0 good 1 -\nnew"));
                    byte[] value = null;
                    while (value == null) {
                        value = worker.onLoop(second.parts().get(0)::value);
                    }
                    assertEquals("new", new String(value, StandardCharsets.US_ASCII));
                }
            }
        }
    }

    /**
     * The worker closes the connection while half of a frame has been written and another call is pending behind it;
     * neither of the calls ran.
     */
    @Test
    void callsNotWrittenWhenTheWorkerClosesNeverRan() throws Exception {
        try (OneWorkerFixture worker = new OneWorkerFixture(ONE_ATTEMPT, LARGE_BUFFER)) {
            worker.listWorker();
            Query big = worker.submit(
                    OneWorkerFixture.request("big", OneWorkerFixture.KEYED_CLASS, 30, new byte[LARGE_BYTES]));
            Query small;
            try (Socket connection = worker.server.accept()) {
                connection.getInputStream().readNBytes(5);
                small = worker.submit(OneWorkerFixture.request("small", OneWorkerFixture.KEYED_CLASS));
                while (!worker.onLoop(small.parts().get(0)::isSent)) {
                    Thread.onSpinWait();
                }
            }
            assertEquals(AttemptOutcome.CONNECT_FAILED, worker.awaitAttemptOutcome(big));
            assertEquals(AttemptOutcome.CONNECT_FAILED, worker.awaitAttemptOutcome(small));
        }
    }

    /**
     * Half of a result for a cancelled part has arrived when the connection has been idle for too long. Closing it ends
     * no attempt in flight, and the next call is sent on a new connection.
     */
    @Test
    void anIdleConnectionIsClosedDespiteAPartialLateResult() throws Exception {
        DeploymentSettings shortIdle = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS.replace(
                "\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20,\"ConnIdleS\":0.2"));
        try (OneWorkerFixture worker = new OneWorkerFixture(shortIdle, SMALL_BUFFER)) {
            worker.listWorker();
            Query cancelled = worker.submit(
                    OneWorkerFixture.request("left", OneWorkerFixture.IDEMPOTENT_CLASS, 600, new byte[] {'t'}));
            try (Socket connection = worker.server.accept()) {
                OneWorkerFixture.readFrame(connection);
                worker.loop.execute(() -> worker.gatherer.onClientGone(cancelled));
                assertEquals("nleft.0", OneWorkerFixture.typeAndId(OneWorkerFixture.readFrame(connection)));
                byte[] late = OneWorkerFixture.result("left.0 good 1 -\nvalue");
                connection.getOutputStream().write(Arrays.copyOf(late, 12));
                connection.setSoTimeout(30_000);
                assertClosed(connection);
                Query next = worker.submit(
                        OneWorkerFixture.request("next", OneWorkerFixture.IDEMPOTENT_CLASS, 600, new byte[] {'t'}));
                try (Socket fresh = worker.server.accept()) {
                    byte[] frameStart = fresh.getInputStream().readNBytes(13);
                    assertEquals("mnext.0 0", new String(frameStart, 4, 9, StandardCharsets.US_ASCII));
                    fresh.getOutputStream().write(OneWorkerFixture.result("next.0 good 1 -\nvalue"));
                    assertEquals(AttemptOutcome.OK, worker.awaitAttemptOutcome(next));
                }
            }
        }
    }

    /** Asserts that the other side has closed; a close with unread bytes arrives as a reset. */
    private static void assertClosed(Socket connection) throws IOException {
        try {
            assertEquals(-1, connection.getInputStream().read());
        } catch (SocketException e) {
            assertTrue(e.getMessage().contains("reset"), e::toString);
        }
    }

    /**
     * A worker sends a frame byte by byte and never ends it. The frame has a time limit that runs from its first byte:
     * if each byte counted as progress, it would block all frames behind it forever.
     */
    @Test
    void aFrameThatArrivesByteByByteTimesOut() throws Exception {
        DeploymentSettings shortTimeout = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":0.1"));
        try (OneWorkerFixture worker = new OneWorkerFixture(shortTimeout, SMALL_BUFFER)) {
            worker.listWorker();
            worker.submit(OneWorkerFixture.request("q", OneWorkerFixture.IDEMPOTENT_CLASS, 600, new byte[] {'t'}));
            try (Socket connection = worker.server.accept()) {
                connection.getInputStream().readNBytes(5);
                byte[] endless = OneWorkerFixture.result("q.0 good 1 -\n" + "x".repeat(60_000));
                connection.getOutputStream().write(Arrays.copyOf(endless, 40));
                assertTrue(failsWithin(connection, 3000), "connection still open after 3,000 single bytes");
            }
        }
    }

    /** Writes single bytes, 10 ms apart; returns whether a write failed because the other side has closed. */
    private static boolean failsWithin(Socket connection, int bytes) throws InterruptedException {
        for (int i = 0; i < bytes; i++) {
            Thread.sleep(10);
            try {
                connection.getOutputStream().write('x');
            } catch (IOException e) {
                return true;
            }
        }
        return false;
    }
}
