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
 * Checks that the benchmark counts correctly, in a short run of the production classes in this process. It checks
 * states and counts; the aim and the deadline are far longer than any machine takes, so that no result depends on time.
 */
class DataPathTest {

    private static final Deployment PATIENT = new Deployment(40, 3, 0.001, false, 60, 120);
    private static final double QUERIES_PER_SECOND = 200;
    private static final double LOAD_S = 0.2;
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    /** Wraps the backend between the core and the workers' connections to inject a fault. */
    private interface BackendFault extends BiFunction<Backend, Gatherer[], Backend> {}

    private static Backend noBackendFault(Backend pool, Gatherer[] core) {
        return pool;
    }

    /** Runs a load through a gatherer on loopback, with a fault injected on each side; returns the counts. */
    private static DeliveryChecker runLoad(
            int fanOut, BackendFault backendFault, UnaryOperator<HttpRequestHandler> frontFault) throws Exception {
        DeliveryChecker deliveryChecker = new DeliveryChecker();
        try (EmulatedWorkers workers =
                        EmulatedWorkers.open(PATIENT.workers(), ServiceTimeModel.even(1), deliveryChecker::recordPart);
                EventLoop loop = new EventLoop(1000, 1 << 18)) {
            LoadGenerator.Outcome outcome;
            try (LoadGenerator load = new LoadGenerator(
                    serve(loop, workers.block(), backendFault, frontFault), PATIENT, fanOut, "q", deliveryChecker, 1)) {
                long now = System.nanoTime();
                outcome = load.run(QUERIES_PER_SECOND, now, now, now + (long) (LOAD_S * 1e9));
            }
            assertNull(workers.failure());
            assertEquals(outcome.asked(), deliveryChecker.queries());
            assertTrue(
                    outcome.asked() > 20, "the load is too small, expected more than 20 queries: " + outcome.asked());
        }
        return deliveryChecker;
    }

    private static InetSocketAddress serve(
            EventLoop loop, int block, BackendFault backendFault, UnaryOperator<HttpRequestHandler> frontFault)
            throws Exception {
        List<WorkerEndpoint> hosts = PATIENT.hosts(block);
        FrameBackend pool = new FrameBackend(loop, PATIENT.deploymentSettings());
        Gatherer[] core = new Gatherer[1];
        StaticEndpointList list = new StaticEndpointList(loop, hosts);
        core[0] = new Gatherer(PATIENT.deploymentSettings().scheduler(), 1, loop, backendFault.apply(pool, core), list);
        pool.start(core[0]);
        list.start(core[0]);
        HttpServer server = PlatformFixtures.listen(
                loop,
                1 << 16,
                500,
                frontFault.apply(new PlatformFront(PATIENT.deploymentSettings(), core[0], () -> true)));
        CompletableFuture<Void> listed = new CompletableFuture<>();
        loop.execute(() -> {
            core[0].onEndpointList(EndpointListKind.CACHED, hosts);
            listed.complete(null);
        });
        listed.get();
        return server.address();
    }

    @Test
    void eachQueryHasOneCompleteAnswerAndEachPartReachesOneWorkerOnce() throws Exception {
        for (int fanOut : List.of(1, 10, PATIENT.workers())) {
            assertEquals(
                    List.of(),
                    runLoad(fanOut, DataPathTest::noBackendFault, front -> front)
                            .findings());
        }
    }

    @Test
    void reportsCallThatIsSentTwice() throws Exception {
        List<String> found = runLoad(
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
        assertTrue(found.stream().anyMatch(f -> f.endsWith("reached workers 2 times")), found.toString());
    }

    @Test
    void reportsPartAnsweredWithoutWorker() throws Exception {
        List<String> found = runLoad(
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
        assertTrue(found.get(0).endsWith("asked for 10 parts, workers received 9"), found.toString());
    }

    @Test
    void reportsAnswerGivenBeforeItsParts() throws Exception {
        List<String> found = runLoad(10, DataPathTest::noBackendFault, EarlyAnsweringHandler::new)
                .findings();
        assertEquals(1, found.size(), found.toString());
        assertTrue(found.get(0).endsWith("asked for 10 parts, its answer contains 0"), found.toString());
    }

    @Test
    void reportsQueryWithoutAnswerOrWithTwo() {
        DeliveryChecker deliveryChecker = new DeliveryChecker();
        for (String query : List.of("a", "b", "c")) {
            deliveryChecker.recordQuery(query, 1);
            deliveryChecker.recordPart(query + ".0");
        }
        deliveryChecker.recordAnswer("b", 1);
        deliveryChecker.recordAnswer("c", 1);
        assertEquals(
                List.of("query a had 0 final answers", "query a asked for 1 parts, its answer contains 0"),
                deliveryChecker.findings());
        deliveryChecker.recordAnswer("a", 1);
        assertEquals(List.of(), deliveryChecker.findings());
        deliveryChecker.recordAnswer("a", 0);
        assertEquals(List.of("query a had 2 final answers"), deliveryChecker.findings());
    }

    @Test
    void decisionCostSendsEachPartOnceAndAnswersEachQueryCompletely() {
        for (int workers : List.of(10, 100)) {
            for (int fanOut : List.of(1, 10)) {
                DecisionCost.Result result = DecisionCost.measure(
                        Deployment.ofTarget(workers, 3, 0.001, false),
                        fanOut,
                        1000,
                        ServiceTimeModel.even(1),
                        500,
                        1000,
                        1);
                assertEquals(1000, result.attempts());
                assertEquals(0, result.others());
                // About as many queries are outstanding at the beginning of the measured period as at its end.
                assertTrue(Math.abs(result.queries() - 1000 / fanOut) <= 20, "answered " + result.queries());
            }
        }
    }

    /**
     * Guards against the module evaluating every worker for each query: at 3,700 workers a part of a small query then
     * took 5 times the bytes. The rate is so high that the fixed cost of a batch does not matter.
     */
    @Test
    void allocationOfSmallQueryDoesNotGrowWithWorkers() {
        double few = bytesPerPart(100, 3, 1e6);
        double many = bytesPerPart(3700, 3, 1e6);
        assertTrue(many < 2 * few, "bytes per part: " + few + " at 100 workers, " + many + " at 3,700");
    }

    /** Guards against counting each holder's calls by a stream, even without calls: 1,900 bytes per further holder. */
    @Test
    void allocationPerHolderIsSmall() {
        double bytesPerHolder = (bytesPerPart(100, 33, 1e4) - bytesPerPart(100, 3, 1e4)) / 30;
        assertTrue(bytesPerHolder < 1000, "bytes per part for each holder: " + bytesPerHolder);
    }

    private static double bytesPerPart(int workers, int holders, double partsPerSecond) {
        return DecisionCost.measure(
                        Deployment.ofTarget(workers, holders, 0.001, false),
                        10,
                        partsPerSecond,
                        ServiceTimeModel.even(1),
                        2000,
                        5000,
                        1)
                .bytesPerPart();
    }

    @Test
    void leastSquaresFitsLineThroughPoints() {
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
    void serviceTimesDependOnlyOnSeedAndPart() {
        ServiceTimeModel serviceTimes = ServiceTimeModel.stragglers(7);
        assertEquals(
                serviceTimes.serviceTimeS("q1.5", 3),
                ServiceTimeModel.stragglers(7).serviceTimeS("q1.5", 3));
        int late = 0;
        for (int i = 0; i < 200_000; i++) {
            double takes = serviceTimes.serviceTimeS("q" + i / 100 + '.' + i % 100, i % 100);
            assertTrue(takes >= 0.004 && takes < 0.077, "takes " + takes);
            late += takes > 0.06 ? 1 : 0;
        }
        assertTrue(late > 5 && late < 60, late + " of 200,000 parts are stragglers");
    }

    /** With one part per query and no cost of sending, the model is an M/D/1 queue, whose mean wait is known. */
    @Test
    void eventLoopModelMatchesMeanWaitOfMd1Queue() {
        double serviceS = 0.01;
        double busy = 0.6;
        EventLoopModel model = new EventLoopModel(1, 0, serviceS, new ServiceTimeModel(0, 0, 0, 0, 1));
        double meanS = model.latencies(busy / serviceS, 100_000, 3).getMean() / 1e6;
        assertEquals(serviceS + busy * serviceS / (2 * (1 - busy)), meanS, 0.0004);
    }

    @Test
    void eventLoopModelFindsHighestRateWithinLimit() {
        EventLoopModel model = new EventLoopModel(10, 0.0005, 0.0005, ServiceTimeModel.even(1));
        double highest = model.highestRate(0.05, 5000, 3);
        assertTrue(model.latencies(highest, 5000, 3).getValueAtPercentile(99) <= 50_000);
        assertTrue(model.latencies(highest * 1.1, 5000, 3).getValueAtPercentile(99) > 50_000);
        assertEquals(0, new EventLoopModel(10, 0.01, 0, ServiceTimeModel.even(1)).highestRate(0.05, 100, 3), 1e-9);
    }

    @Test
    void rejectsIncompleteOrInvalidArguments(@TempDir Path folder) {
        assertEquals(2, run("lab", "scale"));
        assertEquals(2, run("lab", "scale", "data"));
        assertEquals(2, run("lab", "scale", "data", "DECISIONS"));
        assertEquals(2, run("lab", "scale", "data", "DECISIONS", "--folder", folder.toString()));
    }

    private static int run(String... args) {
        return Cli.run(args, new PrintWriter(new StringWriter()), new PrintWriter(new StringWriter()));
    }

    /** Answers the first query before its parts are answered, and drops the real answer. */
    private static final class EarlyAnsweringHandler implements HttpRequestHandler {
        private final HttpRequestHandler front;
        private boolean done;

        private EarlyAnsweringHandler(HttpRequestHandler front) {
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
