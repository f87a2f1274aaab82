package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.Sites;
import pepperdock.core.Gatherer;
import pepperdock.core.Part;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.core.QueryRequest.RequestedPart;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.Loop;

/** How an attempt ends when its worker does not answer it: by the protocol's table. */
class WorkerPoolTest {

    private final DeploymentSettings site = Sites.with(Sites.SETTINGS
            .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));
    private final Loop loop = new Loop(100, 1 << 16);
    private final WorkerPool pool = new WorkerPool(loop, site);
    private final Gatherer core = new Gatherer(site.module(), 3, loop, pool, () -> {});
    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    WorkerPoolTest() throws IOException {
        pool.start(core);
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        loop.close();
    }

    private WorkerEndpoint host(EndpointState readiness) {
        return new WorkerEndpoint("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, readiness, 1, 0);
    }

    /** Asks for one part that only this worker holds, once; its final answer says how the attempt ended. */
    private void ask(int queryClass) {
        ask(queryClass, () -> {});
    }

    private void ask(int queryClass, Runnable next) {
        loop.execute(() -> {
            core.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY)));
            core.submit(
                    new QueryRequest(
                            "q", queryClass, "k", 30, List.of(new RequestedPart(0, 1)), new byte[] {'t'}, null),
                    new QueryListener() {
                        @Override
                        public void onAnswer(Query q, boolean whole) {
                            told("answered", q);
                        }

                        @Override
                        public void onRejected(Query q, double pauseS) {
                            told("refused", q);
                        }

                        @Override
                        public void onFailed(Query q, boolean overdue) {
                            told("failed", q);
                        }

                        private void told(String how, Query q) {
                            Part p = q.parts().get(0);
                            ended.add(how + ' ' + p.lastOutcome());
                        }
                    });
            // Runs right after the batch that sends, and before the loop can tell that the connection is up.
            loop.execute(next);
        });
    }

    private String ending() throws InterruptedException {
        String told = ended.poll(30, TimeUnit.SECONDS);
        assertTrue(told != null, "no final answer");
        return told;
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        server.close();
        ask(2);
        assertEquals("refused " + AttemptOutcome.CONNECT_FAILED, ending());
    }

    @Test
    void aBreakAfterTheWholeFrameMayHaveRun() throws Exception {
        ask(2);
        try (Socket s = server.accept()) {
            byte[] head = s.getInputStream().readNBytes(4);
            s.getInputStream().readNBytes(head[3]);
        }
        assertEquals("failed " + AttemptOutcome.RESET, ending());
    }

    @Test
    void aBadFrameEndsItsConnectionOnly() throws Exception {
        ask(2);
        try (Socket s = server.accept()) {
            s.getInputStream().readNBytes(5);
            s.getOutputStream().write(new byte[] {-1, -1, -1, -1, 0});
            assertEquals("failed " + AttemptOutcome.RESET, ending());
        }
        ask(2);
        try (Socket s = server.accept()) {
            byte[] head = s.getInputStream().readNBytes(4);
            s.getInputStream().readNBytes(head[3]);
            s.getOutputStream()
                    .write(pepperdock.codec.frame.Frames.frame(
                            'q', "q.0 good 1 -\nv".getBytes(StandardCharsets.UTF_8)));
            assertEquals("answered " + AttemptOutcome.OK, ending());
        }
    }

    private static byte[] result(String rest) {
        return pepperdock.codec.frame.Frames.frame('q', rest.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The worker's side of one query: takes its call, says this, and keeps the connection open. */
    private String endingAfter(byte[] said) throws Exception {
        ask(2);
        try (Socket s = server.accept()) {
            byte[] head = s.getInputStream().readNBytes(4);
            s.getInputStream().readNBytes(head[3]);
            s.getOutputStream().write(said);
            return ending();
        }
    }

    /** The connection stays open in each case: waiting for it to end, or for the rest, would take the query's whole time. */
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
    void aSpoiltAnswerIsAnAttemptThatMayHaveRun(String said) throws Exception {
        byte[] bytes = said.replace("~", "\n").getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        assertEquals(
                "failed " + AttemptOutcome.RESET,
                endingAfter(pepperdock.codec.frame.Frames.frame(
                        (char) bytes[0], java.util.Arrays.copyOfRange(bytes, 1, bytes.length))));
    }

    @Test
    void aSpoiltAnswerIsKnownBeforeItEnds() throws Exception {
        byte[] unknown = result("q.9 good 1 -\n" + "x".repeat(5000));
        assertEquals("failed " + AttemptOutcome.RESET, endingAfter(java.util.Arrays.copyOf(unknown, 30)));
        byte[] endless = result("x".repeat(5000));
        assertEquals("failed " + AttemptOutcome.RESET, endingAfter(java.util.Arrays.copyOf(endless, 3000)));
        assertEquals("failed " + AttemptOutcome.RESET, endingAfter(result("q.0 good 1 -\n\u00ff\u00fe")));
    }

    @Test
    void aGoodAnswerStaysGoodWhateverFollowsItAndWhateverItsReport() throws Exception {
        byte[] good = result("q.0 good 1 not a=report,qps=NaN\nv");
        byte[] twice = java.util.Arrays.copyOf(good, good.length * 2);
        System.arraycopy(good, 0, twice, good.length, good.length);
        assertEquals("answered " + AttemptOutcome.OK, endingAfter(twice));
        assertEquals("answered " + AttemptOutcome.OK, endingAfter(java.util.Arrays.copyOf(good, good.length + 50)));
    }

    private static final QueryListener NOBODY = new QueryListener() {
        @Override
        public void onAnswer(Query q, boolean whole) {}

        @Override
        public void onRejected(Query q, double pauseS) {}

        @Override
        public void onFailed(Query q, boolean overdue) {}
    };

    /** Found on a recorded day: calls went on into a connection that had gone silent, until all in it had timed out. */
    @Test
    void aConnectionThatOwesAnAnswerGetsNoNewCalls() throws Exception {
        DeploymentSettings quick = Sites.with(Sites.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":0.1"));
        server.setSoTimeout(30_000);
        try (Loop own = new Loop(100, 1 << 16)) {
            WorkerPool workers = new WorkerPool(own, quick);
            Gatherer gatherer = new Gatherer(quick.module(), 3, own, workers, () -> {});
            workers.start(gatherer);
            own.execute(() -> gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY))));
            java.util.function.Consumer<String> take = id -> own.execute(() -> gatherer.submit(
                    new QueryRequest(id, 2, "k", 30, List.of(new RequestedPart(0, 1)), new byte[] {'t'}, null),
                    NOBODY));
            take.accept("first");
            try (Socket silent = server.accept()) {
                silent.getInputStream().readNBytes(5);
                Thread.sleep(200);
                take.accept("second");
                try (Socket next = server.accept()) {
                    byte[] frame = next.getInputStream().readNBytes(15);
                    assertEquals("msecond.0 0", new String(frame, 4, 11, java.nio.charset.StandardCharsets.US_ASCII));
                }
            }
        }
    }

    /** Parts behind a connect that is still coming up: told that the worker drains, they end without having run. */
    @Test
    void partsQueuedBehindAConnectEndWhenTheWorkerDrains() throws Exception {
        ask(2, () -> core.onEndpointList(EndpointListKind.CHANGES, List.of(host(EndpointState.DRAINING))));
        assertEquals("refused " + AttemptOutcome.NOT_SENT, ending());
    }

    /** What a whole list does not name is gone, also where it still answers. */
    @Test
    void partsQueuedBehindAConnectEndWhenAWholeListLeavesTheWorkerOut() throws Exception {
        ask(2, () -> core.onEndpointList(EndpointListKind.COMPLETE, List.of()));
        assertEquals("refused " + AttemptOutcome.NOT_SENT, ending());
    }

    /** The same where it is taken out by hand. */
    @Test
    void partsQueuedBehindAConnectEndWhenTheWorkerIsTakenOutByHand() throws Exception {
        ask(2, () -> core.setBannedEndpoints(java.util.Set.of("w")));
        assertEquals("refused " + AttemptOutcome.NOT_SENT, ending());
    }

    private static final int BIG = 24 << 20;

    /** The letter and the id of each frame up to and including the next answer-me of a probe. */
    private static List<String> framesToProbe(java.io.DataInputStream in) throws IOException {
        List<String> got = new java.util.ArrayList<>();
        do {
            byte[] frame = in.readNBytes(in.readInt());
            got.add(new String(frame, 0, Math.min(frame.length, 16), java.nio.charset.StandardCharsets.US_ASCII)
                    .split(" ")[0]);
        } while (!got.get(got.size() - 1).equals("o"));
        return got;
    }

    /**
     * A call behind one that the worker's machine does not take: decided on, and not begun. What comes meanwhile decides
     * whether it goes. Found by reading: in the connection's buffer it would have gone whatever came.
     */
    @ParameterizedTest
    @ValueSource(strings = {"drains", "gone", "banned", "left"})
    void aCallThatWaitsForRoomOnAConnectionIsTakenBack(String what) throws Exception {
        server.setSoTimeout(30_000);
        try (Loop own = new Loop(100, BIG + (1 << 20))) {
            WorkerPool workers = new WorkerPool(own, site);
            Gatherer gatherer = new Gatherer(site.module(), 3, own, workers, () -> {});
            workers.start(gatherer);
            java.util.function.BiFunction<String, byte[], QueryRequest> ask =
                    (id, text) -> new QueryRequest(id, 2, "k", 30, List.of(new RequestedPart(0, 1)), text, null);
            own.execute(() -> {
                gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY)));
                gatherer.submit(ask.apply("big", new byte[BIG]), NOBODY);
            });
            try (Socket s = server.accept()) {
                java.io.DataInputStream in =
                        new java.io.DataInputStream(new java.io.BufferedInputStream(s.getInputStream()));
                in.mark(8);
                in.readInt();
                in.reset();
                BlockingQueue<Integer> sent = new LinkedBlockingQueue<>();
                own.execute(() -> {
                    Query small = gatherer.submit(ask.apply("small", new byte[] {'t'}), NOBODY);
                    // Behind the batch that sends it.
                    own.after(0.02, () -> {
                        sent.add(small.parts().get(0).isSent() ? 1 : 0);
                        switch (what) {
                            case "drains" ->
                                gatherer.onEndpointList(
                                        EndpointListKind.CHANGES, List.of(host(EndpointState.DRAINING)));
                            case "banned" -> gatherer.setBannedEndpoints(java.util.Set.of("w"));
                            case "gone" -> gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of());
                            default -> gatherer.onClientGone(small);
                        }
                        workers.checkHealth("w");
                    });
                });
                assertEquals(1, sent.take(), "it was decided on");
                List<String> got = framesToProbe(in);
                // Once more: what waited for room would have come with all before it gone.
                own.execute(() -> workers.checkHealth("w"));
                got.addAll(framesToProbe(in));
                assertEquals(List.of("mbig.0", "o", "o"), got);
            }
        }
    }

    /** Its answer could be the old one's: found by reading, one client would have been served what was made for the other. */
    @Test
    void anIdThatIsUsedAgainGoesOnAConnectionThatOwesItNothing() throws Exception {
        server.setSoTimeout(30_000);
        BlockingQueue<Query> taken = new LinkedBlockingQueue<>();
        java.util.function.Consumer<byte[]> take = text -> loop.execute(() -> taken.add(
                core.submit(new QueryRequest("q", 0, "", 30, List.of(new RequestedPart(0, 1)), text, null), NOBODY)));
        loop.execute(() -> core.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY))));
        take.accept(new byte[] {'a'});
        try (Socket old = server.accept()) {
            old.getInputStream().readNBytes(5);
            Query first = taken.take();
            loop.execute(() -> core.onClientGone(first));
            take.accept(new byte[] {'b'});
            try (Socket anew = server.accept()) {
                byte[] head = anew.getInputStream().readNBytes(5);
                assertEquals('b', anew.getInputStream().readNBytes(head[3] - 1)[head[3] - 2]);
                // The late answer, first seen to be read: a probe of ours that follows it on that connection is no
                // matter.
                old.getOutputStream().write(result("q.0 good 1 -\nold"));
                anew.getOutputStream().write(result("q.0 good 1 -\nnew"));
                Query second = taken.take();
                byte[] value = null;
                while (value == null) {
                    BlockingQueue<java.util.Optional<byte[]>> is = new LinkedBlockingQueue<>();
                    loop.execute(() -> is.add(
                            java.util.Optional.ofNullable(second.parts().get(0).value())));
                    value = is.take().orElse(null);
                }
                assertEquals("new", new String(value, java.nio.charset.StandardCharsets.US_ASCII));
            }
        }
    }

    /** The worker's close against our frame: half of it written, and a call queued behind it; neither ever ran. */
    @Test
    void aCloseBeforeTheFramesLastByteNeverRanNorDidWhatWasQueuedBehindIt() throws Exception {
        server.setSoTimeout(30_000);
        try (Loop own = new Loop(100, BIG + (1 << 20))) {
            WorkerPool workers = new WorkerPool(own, site);
            Gatherer gatherer = new Gatherer(site.module(), 3, own, workers, () -> {});
            workers.start(gatherer);
            BlockingQueue<Query> taken = new LinkedBlockingQueue<>();
            java.util.function.Consumer<byte[]> take = text -> own.execute(() -> taken.add(gatherer.submit(
                    new QueryRequest("q" + text.length, 2, "k", 30, List.of(new RequestedPart(0, 1)), text, null),
                    NOBODY)));
            own.execute(() -> gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY))));
            take.accept(new byte[BIG]);
            Query big = taken.take();
            Query small;
            try (Socket s = server.accept()) {
                s.getInputStream().readNBytes(5);
                take.accept(new byte[] {'t'});
                small = taken.take();
                while (!sent(own, small)) {
                    Thread.onSpinWait();
                }
            }
            assertEquals(AttemptOutcome.CONNECT_FAILED, outcome(own, big));
            assertEquals(AttemptOutcome.CONNECT_FAILED, outcome(own, small));
        }
    }

    private static <T> T on(Loop loop, java.util.function.Supplier<T> look) throws InterruptedException {
        BlockingQueue<java.util.Optional<T>> seen = new LinkedBlockingQueue<>();
        loop.execute(() -> seen.add(java.util.Optional.ofNullable(look.get())));
        return seen.take().orElse(null);
    }

    private static boolean sent(Loop loop, Query q) throws InterruptedException {
        return on(loop, q.parts().get(0)::isSent);
    }

    private static AttemptOutcome outcome(Loop loop, Query q) throws InterruptedException {
        AttemptOutcome last = null;
        while (last == null) {
            last = on(loop, q.parts().get(0)::lastOutcome);
        }
        return last;
    }

    /** Our idle close against half a late line: it ends nothing that is in hand, and the next call goes on a new connection. */
    @Test
    void anIdleCloseOverHalfALateLineHarmsNothing() throws Exception {
        DeploymentSettings quick =
                Sites.with(Sites.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20,\"ConnIdleS\":0.2"));
        server.setSoTimeout(30_000);
        try (Loop own = new Loop(100, 1 << 18)) {
            WorkerPool workers = new WorkerPool(own, quick);
            Gatherer gatherer = new Gatherer(quick.module(), 3, own, workers, () -> {});
            workers.start(gatherer);
            BlockingQueue<Query> taken = new LinkedBlockingQueue<>();
            java.util.function.Consumer<String> take = id -> own.execute(() -> taken.add(gatherer.submit(
                    new QueryRequest(id, 0, "", 600, List.of(new RequestedPart(0, 1)), new byte[] {'t'}, null),
                    NOBODY)));
            own.execute(() -> gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY))));
            take.accept("left");
            try (Socket s = server.accept()) {
                byte[] head = s.getInputStream().readNBytes(4);
                s.getInputStream().readNBytes(head[3]);
                Query left = taken.take();
                own.execute(() -> gatherer.onClientGone(left));
                byte[] give = s.getInputStream().readNBytes(4);
                assertEquals(
                        "nleft.0",
                        new String(s.getInputStream().readNBytes(give[3]), java.nio.charset.StandardCharsets.US_ASCII));
                s.getOutputStream().write(java.util.Arrays.copyOf(result("left.0 good 1 -\nvalue"), 12));
                s.setSoTimeout(30_000);
                try {
                    assertEquals(-1, s.getInputStream().read());
                } catch (java.net.SocketException e) {
                    // A close over bytes that were not read yet is a reset; what it could take with it has been read
                    // above.
                    assertTrue(e.getMessage().contains("reset"), e::toString);
                }
                take.accept("next");
                try (Socket next = server.accept()) {
                    byte[] frame = next.getInputStream().readNBytes(13);
                    assertEquals("mnext.0 0", new String(frame, 4, 9, java.nio.charset.StandardCharsets.US_ASCII));
                    next.getOutputStream().write(result("next.0 good 1 -\nvalue"));
                    assertEquals(AttemptOutcome.OK, outcome(own, taken.take()));
                }
            }
        }
    }

    /** A byte now and then: as long as that counted as going on, a frame that never ends held up all behind it. */
    @Test
    void aFrameThatGoesOnByBytesAndNeverEndsIsGivenUp() throws Exception {
        DeploymentSettings quick = Sites.with(Sites.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":0.1"));
        server.setSoTimeout(30_000);
        try (Loop own = new Loop(100, 1 << 18)) {
            WorkerPool workers = new WorkerPool(own, quick);
            Gatherer gatherer = new Gatherer(quick.module(), 3, own, workers, () -> {});
            workers.start(gatherer);
            own.execute(() -> {
                gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY)));
                gatherer.submit(
                        new QueryRequest("q", 0, "", 600, List.of(new RequestedPart(0, 1)), new byte[] {'t'}, null),
                        NOBODY);
            });
            try (Socket s = server.accept()) {
                s.getInputStream().readNBytes(5);
                s.getOutputStream().write(java.util.Arrays.copyOf(result("q.0 good 1 -\n" + "x".repeat(60_000)), 40));
                boolean given = false;
                for (int i = 0; i < 3000 && !given; i++) {
                    Thread.sleep(10);
                    try {
                        s.getOutputStream().write('x');
                    } catch (IOException e) {
                        given = true;
                    }
                }
                assertTrue(given, "still waited for after 3,000 bytes one by one");
            }
        }
    }

    /** Seen on days of releases: the give-up closed the draining worker's connection while the list of them was walked. */
    @Test
    void aClientThatLeavesADrainingWorkersLastPartHarmsNothing() throws Exception {
        java.util.concurrent.CompletableFuture<Query> taken = new java.util.concurrent.CompletableFuture<>();
        loop.execute(() -> {
            core.onEndpointList(EndpointListKind.COMPLETE, List.of(host(EndpointState.HEALTHY)));
            taken.complete(core.submit(
                    new QueryRequest("q", 0, "", 30, List.of(new RequestedPart(0, 1)), new byte[] {'t'}, null),
                    NOBODY));
        });
        server.setSoTimeout(30_000);
        try (Socket s = server.accept()) {
            s.getInputStream().readNBytes(5);
            java.util.concurrent.CompletableFuture<Throwable> thrown = new java.util.concurrent.CompletableFuture<>();
            loop.execute(() -> {
                core.onEndpointList(EndpointListKind.CHANGES, List.of(host(EndpointState.DRAINING)));
                try {
                    core.onClientGone(taken.join());
                    thrown.complete(null);
                } catch (RuntimeException e) {
                    thrown.complete(e);
                }
            });
            org.junit.jupiter.api.Assertions.assertNull(thrown.get(30, TimeUnit.SECONDS));
            s.setSoTimeout(30_000);
            while (s.getInputStream().read() >= 0) {
                // The give-up, then the end.
            }
        }
    }
}
