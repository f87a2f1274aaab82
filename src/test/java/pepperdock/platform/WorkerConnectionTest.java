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

/** Frames and calls on one connection to a worker, each in the order or the form that is hardest. */
class WorkerConnectionTest {

    private static final DeploymentSettings ONE_ATTEMPT = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
            .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));

    /** More than the kernel's buffers of both sides take. */
    private static final int LARGE_BYTES = 24 << 20;

    private static final int SMALL_BUFFER = 1 << 18;
    private static final int LARGE_BUFFER = LARGE_BYTES + (1 << 20);

    /** Plays a worker that reads one call, writes these bytes and keeps the connection open; returns the final answer. */
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
     * The connection stays open in each case: an attempt that waited for it to end, or for more bytes, would take the query's
     * whole time. The frame's type comes first, and {@code ~} is a line feed.
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

    /** Only a beginning of the frame arrives: an unknown id, a header that does not end, a value that is not UTF-8. */
    @Test
    void anInvalidResultIsRejectedBeforeItIsComplete() throws Exception {
        byte[] unknownId = OneWorkerFixture.result("q.9 good 1 -\n" + "x".repeat(5000));
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(Arrays.copyOf(unknownId, 30)));
        byte[] endlessHeader = OneWorkerFixture.result("x".repeat(5000));
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(Arrays.copyOf(endlessHeader, 3000)));
        byte[] notText = OneWorkerFixture.result("q.0 good 1 -\n\u00ff\u00fe");
        assertEquals("failed " + AttemptOutcome.RESET, outcomeAfter(notText));
    }

    /** A valid result comes with an unreadable load report, and is followed by a duplicate, or by bytes that are no frame. */
    @Test
    void aValidResultStandsWhateverFollowsItAndWhateverItsLoadReport() throws Exception {
        byte[] valid = OneWorkerFixture.result("q.0 good 1 not a=report,qps=NaN\nv");
        byte[] twice = Arrays.copyOf(valid, valid.length * 2);
        System.arraycopy(valid, 0, twice, valid.length, valid.length);
        assertEquals("answered " + AttemptOutcome.OK, outcomeAfter(twice));
        assertEquals("answered " + AttemptOutcome.OK, outcomeAfter(Arrays.copyOf(valid, valid.length + 50)));
    }

    /** The types and ids of the frames up to and including the next health check. */
    private static List<String> framesUpToHealthCheck(DataInputStream in) throws IOException {
        List<String> frames = new ArrayList<>();
        do {
            frames.add(OneWorkerFixture.typeAndId(in.readNBytes(in.readInt())));
        } while (!frames.get(frames.size() - 1).equals("o"));
        return frames;
    }

    /** What happens while a call is pending: each is a reason not to send it. */
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
     * A large call fills the kernel's buffers, and a small one is decided on while it is stuck. Found by reading: in the
     * connection's own buffer the small call would have been sent whatever came meanwhile. It is kept pending, and withdrawn.
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
                    // After the batch that decides on it.
                    worker.loop.after(0.02, () -> {
                        sent.add(small.parts().get(0).isSent());
                        withdrawal.apply(worker, small);
                        worker.pool.checkHealth("w");
                    });
                });
                assertTrue(sent.take(), "it was decided on");
                List<String> frames = framesUpToHealthCheck(in);
                // Once more: a call that was still pending would have been written when all before it was gone.
                worker.loop.execute(() -> worker.pool.checkHealth("w"));
                frames.addAll(framesUpToHealthCheck(in));
                assertEquals(List.of("mbig.0", "o", "o"), frames);
            }
        }
    }

    /**
     * A client uses a request id again once its first query is over, while a result for the first may still come. Found by
     * reading: the second query would have been served the first one's value. Its call goes on another connection.
     */
    @Test
    void anIdThatIsUsedAgainGoesOnAConnectionWithoutResultsDueForIt() throws Exception {
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

    /** The worker closes while half of a frame is written and another call is pending behind it; neither ever ran. */
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
     * A result for a cancelled part has half arrived when the connection has been idle for too long. Closing it ends nothing
     * that is in flight, and the next call goes on a new connection.
     */
    @Test
    void anIdleConnectionIsClosedWithHalfALateResult() throws Exception {
        DeploymentSettings shortIdle = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS.replace(
                "\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20,\"ConnIdleS\":0.2"));
        try (OneWorkerFixture worker = new OneWorkerFixture(shortIdle, SMALL_BUFFER)) {
            worker.listWorker();
            Query left = worker.submit(
                    OneWorkerFixture.request("left", OneWorkerFixture.IDEMPOTENT_CLASS, 600, new byte[] {'t'}));
            try (Socket connection = worker.server.accept()) {
                OneWorkerFixture.readFrame(connection);
                worker.loop.execute(() -> worker.gatherer.onClientGone(left));
                assertEquals("nleft.0", OneWorkerFixture.typeAndId(OneWorkerFixture.readFrame(connection)));
                byte[] late = OneWorkerFixture.result("left.0 good 1 -\nvalue");
                connection.getOutputStream().write(Arrays.copyOf(late, 12));
                connection.setSoTimeout(30_000);
                assertClosed(connection);
                Query next = worker.submit(
                        OneWorkerFixture.request("next", OneWorkerFixture.IDEMPOTENT_CLASS, 600, new byte[] {'t'}));
                try (Socket fresh = worker.server.accept()) {
                    byte[] begun = fresh.getInputStream().readNBytes(13);
                    assertEquals("mnext.0 0", new String(begun, 4, 9, StandardCharsets.US_ASCII));
                    fresh.getOutputStream().write(OneWorkerFixture.result("next.0 good 1 -\nvalue"));
                    assertEquals(AttemptOutcome.OK, worker.awaitAttemptOutcome(next));
                }
            }
        }
    }

    /** The other side has closed; a close with unread bytes arrives as a reset. */
    private static void assertClosed(Socket connection) throws IOException {
        try {
            assertEquals(-1, connection.getInputStream().read());
        } catch (SocketException e) {
            assertTrue(e.getMessage().contains("reset"), e::toString);
        }
    }

    /**
     * A worker sends a frame byte by byte and never ends it. While each byte counted as progress, the frame blocked all behind
     * it for ever; now it has a time limit from its first byte.
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
                assertTrue(failsWithin(connection, 3000), "still waited for after 3,000 bytes one by one");
            }
        }
    }

    /** Writes single bytes, 10 ms apart; returns whether a write failed as the other side has closed. */
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
