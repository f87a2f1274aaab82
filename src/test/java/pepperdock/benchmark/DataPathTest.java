package pepperdock.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.cli.Cli;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.core.StaticEndpointList;
import pepperdock.core.WorkerEndpoint;
import pepperdock.platform.ForwardingBackend;
import pepperdock.platform.FrameBackend;
import pepperdock.platform.PlatformFixtures;
import pepperdock.platform.PlatformFront;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpResponseSender;
import pepperdock.transport.HttpServer;

/**
 * The measuring ground's short form: what it counts is right, on the classes that serve, in this process. Judges states and
 * counts; the aim and the deadline are far beyond what any machine takes, so that none of it hangs on time.
 */
class DataPathTest {

    private static final Deployment PATIENT = new Deployment(40, 3, 0.001, false, 60, 120);
    private static final double QUERIES_PER_SECOND = 200;
    private static final double LOAD_S = 0.2;
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    /** What is put between the core and the workers' connections. */
    private interface BackendFault extends BiFunction<Backend, Gatherer[], Backend> {}

    private static Backend noBackendFault(Backend pool, Gatherer[] core) {
        return pool;
    }

    /** Plays a load through a gatherer on loopback, with a fault on each side; returns what is found. */
    private static Tally play(int fanOut, BackendFault behind, UnaryOperator<HttpRequestHandler> before)
            throws Exception {
        Tally tally = new Tally();
        try (EmulatedWorkers workers = EmulatedWorkers.open(PATIENT.workers(), Behaviour.even(1), tally::received);
                EventLoop loop = new EventLoop(1000, 1 << 18)) {
            LoadGenerator.Outcome ends;
            try (LoadGenerator load =
                    new LoadGenerator(serve(loop, workers.block(), behind, before), PATIENT, fanOut, "q", tally, 1)) {
                long now = System.nanoTime();
                ends = load.run(QUERIES_PER_SECOND, now, now, now + (long) (LOAD_S * 1e9));
            }
            assertNull(workers.failure());
            assertEquals(ends.asked(), tally.queries());
            assertTrue(ends.asked() > 20, "the load is too small to tell anything: " + ends.asked());
        }
        return tally;
    }

    private static InetSocketAddress serve(
            EventLoop loop, int block, BackendFault behind, UnaryOperator<HttpRequestHandler> before) throws Exception {
        List<WorkerEndpoint> hosts = PATIENT.hosts(block);
        FrameBackend pool = new FrameBackend(loop, PATIENT.site());
        Gatherer[] core = new Gatherer[1];
        StaticEndpointList list = new StaticEndpointList(loop, hosts);
        core[0] = new Gatherer(PATIENT.site().scheduler(), 1, loop, behind.apply(pool, core), list);
        pool.start(core[0]);
        list.start(core[0]);
        HttpServer server = PlatformFixtures.listen(
                loop, 1 << 16, 500, before.apply(new PlatformFront(PATIENT.site(), core[0], () -> true)));
        CompletableFuture<Void> listed = new CompletableFuture<>();
        loop.execute(() -> {
            core[0].onEndpointList(EndpointListKind.CACHED, hosts);
            listed.complete(null);
        });
        listed.get();
        return server.address();
    }

    @Test
    void eachQueryHasOneWholeAnswerAndEachPartGoesToOneWorkerOnce() throws Exception {
        for (int fanOut : List.of(1, 10, PATIENT.workers())) {
            assertEquals(
                    List.of(),
                    play(fanOut, DataPathTest::noBackendFault, front -> front).findings());
        }
    }

    @Test
    void aCallThatIsWrittenTwiceIsFound() throws Exception {
        List<String> found = play(
                        10,
                        (pool, core) -> new ForwardingBackend(pool) {
                            private boolean done;

                            @Override
                            public void sendCall(String worker, List<Attempt> call) {
                                pool.sendCall(worker, call);
                                if (!done) {
                                    done = true;
                                    pool.sendCall(worker, call);
                                }
                            }
                        },
                        front -> front)
                .findings();
        assertTrue(found.stream().anyMatch(f -> f.endsWith("came 2 times")), found.toString());
    }

    @Test
    void aPartThatIsAnsweredForWithoutAWorkerIsFound() throws Exception {
        List<String> found = play(
                        10,
                        (pool, core) -> new ForwardingBackend(pool) {
                            private boolean done;

                            @Override
                            public void sendCall(String worker, List<Attempt> call) {
                                List<Attempt> rest = done ? call : call.subList(1, call.size());
                                if (!done) {
                                    done = true;
                                    core[0].onAttemptEnded(call.get(0), AttemptOutcome.OK, LoadReport.NONE, VALUE);
                                }
                                if (!rest.isEmpty()) {
                                    pool.sendCall(worker, rest);
                                }
                            }
                        },
                        front -> front)
                .findings();
        assertEquals(1, found.size(), found.toString());
        assertTrue(found.get(0).endsWith("asked for 10 parts, workers had 9"), found.toString());
    }

    @Test
    void anAnswerThatIsGivenBeforeItsPartsAreInIsFound() throws Exception {
        List<String> found = play(10, DataPathTest::noBackendFault, Hasty::new).findings();
        assertEquals(1, found.size(), found.toString());
        assertTrue(found.get(0).endsWith("asked for 10 parts, its answer holds 0"), found.toString());
    }

    @Test
    void aQueryWithoutAnAnswerOrWithTwoIsFound() {
        Tally tally = new Tally();
        for (String query : List.of("a", "b", "c")) {
            tally.asked(query, 1);
            tally.received(query + ".0");
        }
        tally.answered("b", 1);
        tally.answered("c", 1);
        assertEquals(
                List.of("query a had 0 final answers", "query a asked for 1 parts, its answer holds 0"),
                tally.findings());
        tally.answered("a", 1);
        assertEquals(List.of(), tally.findings());
        tally.answered("a", 0);
        assertEquals(List.of("query a had 2 final answers"), tally.findings());
    }

    @Test
    void decisionsAloneSendEachPartOnceAndAnswerEachQueryWhole() {
        for (int workers : List.of(10, 100)) {
            for (int fanOut : List.of(1, 10)) {
                DecisionCost.Result r = DecisionCost.measure(
                        Deployment.ofTarget(workers, 3, 0.001, false), fanOut, 1000, Behaviour.even(1), 500, 1000, 1);
                assertEquals(1000, r.attempts());
                assertEquals(0, r.others());
                // Those in hand at the beginning and the end of the measured stretch are as many, or nearly.
                assertTrue(Math.abs(r.queries() - 1000 / fanOut) <= 20, "answered " + r.queries());
            }
        }
    }

    /**
     * The module judged every searcher for each query: at 3,700 workers a part of a small query took 5 times the bytes. So
     * many parts come at a time that what a batch costs, whatever comes in it, does not show.
     */
    @Test
    void whatASmallQueryAllocatesDoesNotGrowWithTheWorkers() {
        double few = bytesAPart(100, 3, 1e6);
        double many = bytesAPart(3700, 3, 1e6);
        assertTrue(many < 2 * few, "bytes a part: " + few + " at 100 workers, " + many + " at 3,700");
    }

    /** Each holder's calls were counted by a stream, also where it had none: 1,900 bytes for each further holder. */
    @Test
    void whatAPartAllocatesForEachHolderIsLittle() {
        double aHolder = (bytesAPart(100, 33, 1e4) - bytesAPart(100, 3, 1e4)) / 30;
        assertTrue(aHolder < 1000, "bytes a part for each holder: " + aHolder);
    }

    private static double bytesAPart(int workers, int holders, double partsPerSecond) {
        return DecisionCost.measure(
                        Deployment.ofTarget(workers, holders, 0.001, false),
                        10,
                        partsPerSecond,
                        Behaviour.even(1),
                        2000,
                        5000,
                        1)
                .bytesAPart();
    }

    @Test
    void aLineIsFittedThroughItsPoints() {
        LeastSquares line = LeastSquares.fit(
                List.of(new LeastSquares.Point(1, 5), new LeastSquares.Point(2, 7), new LeastSquares.Point(4, 11)));
        assertEquals(3, line.intercept(), 1e-9);
        assertEquals(2, line.slope(), 1e-9);
        assertEquals(0, line.residual(), 1e-9);
        LeastSquares off = LeastSquares.fit(
                List.of(new LeastSquares.Point(0, 0), new LeastSquares.Point(1, 3), new LeastSquares.Point(2, 0)));
        assertEquals(0, off.slope(), 1e-9);
        assertEquals(Math.sqrt(2), off.residual(), 1e-9);
    }

    @Test
    void latenciesAreDrawnFromTheSeedAndThePartAlone() {
        Behaviour behaviour = Behaviour.stragglers(7);
        assertEquals(behaviour.takesS("q1.5", 3), Behaviour.stragglers(7).takesS("q1.5", 3));
        int late = 0;
        for (int i = 0; i < 200_000; i++) {
            double takes = behaviour.takesS("q" + i / 100 + '.' + i % 100, i % 100);
            assertTrue(takes >= 0.004 && takes < 0.077, "takes " + takes);
            late += takes > 0.06 ? 1 : 0;
        }
        assertTrue(late > 5 && late < 60, late + " of 200,000 parts are stragglers");
    }

    /** Of queries with one part whose sending costs nothing it is the queue M/D/1, whose mean wait is known. */
    @Test
    void theModelOfTheLoopWaitsAsTheKnownQueueDoes() {
        double serviceS = 0.01;
        double busy = 0.6;
        LoopModel model = new LoopModel(1, 0, serviceS, new Behaviour(0, 0, 0, 0, 1));
        double meanS = model.latencies(busy / serviceS, 100_000, 3).getMean() / 1e6;
        assertEquals(serviceS + busy * serviceS / (2 * (1 - busy)), meanS, 0.0004);
    }

    @Test
    void theModelFindsTheHighestRateWithinALimit() {
        LoopModel model = new LoopModel(10, 0.0005, 0.0005, Behaviour.even(1));
        double highest = model.highestRate(0.05, 5000, 3);
        assertTrue(model.latencies(highest, 5000, 3).getValueAtPercentile(99) <= 50_000);
        assertTrue(model.latencies(highest * 1.1, 5000, 3).getValueAtPercentile(99) > 50_000);
        assertEquals(0, new LoopModel(10, 0.01, 0, Behaviour.even(1)).highestRate(0.05, 100, 3), 1e-9);
    }

    @Test
    void usageIsHeldTo(@TempDir Path folder) {
        assertEquals(2, run("lab", "scale"));
        assertEquals(2, run("lab", "scale", "data"));
        assertEquals(2, run("lab", "scale", "data", "DECISIONS"));
        assertEquals(2, run("lab", "scale", "data", "DECISIONS", "--folder", folder.toString()));
    }

    private static int run(String... args) {
        return Cli.run(args, new PrintWriter(new StringWriter()), new PrintWriter(new StringWriter()));
    }

    /** Answers the first query before its parts are in, and drops the answer that comes. */
    private static final class Hasty implements HttpRequestHandler {
        private final HttpRequestHandler front;
        private boolean done;

        private Hasty(HttpRequestHandler front) {
            this.front = front;
        }

        @Override
        public Runnable serve(HttpMessage request, HttpResponseSender reply) throws HttpException {
            if (done) {
                return front.serve(request, reply);
            }
            done = true;
            front.serve(request, (status, type, extra, body) -> {});
            reply.send(200, "application/json", "", "{\"total\":true,\"answers\":[]}".getBytes(StandardCharsets.UTF_8));
            return () -> {};
        }

        @Override
        public void respondWithError(int status, String why, HttpResponseSender reply) {
            front.respondWithError(status, why, reply);
        }
    }
}
