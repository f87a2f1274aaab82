package pepperdock.benchmark;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.NoOpBackend;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.LoadReport;

/**
 * Measures the cost of decisions alone: the core and the scheduler module on a manual clock, with clients and workers
 * replaced by timers. There are no sockets, frames or HTTP. The results include the cost of these fakes and of the
 * manual clock's timers.
 */
final class DecisionCost {

    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);
    /** Address block of the endpoints; arbitrary, as no socket is opened. */
    private static final int BLOCK = 1;

    /**
     * The measurements.
     *
     * @param queries queries with a complete answer in the measured period
     * @param others queries that ended in any other way
     * @param attempts attempts sent in the measured period
     * @param cpuUsPerPart processor time per part, in microseconds
     * @param bytesPerPart bytes allocated per part
     * @param batches maximum number of batches of the module per second of simulated time
     */
    record Result(
            Deployment deployment,
            int fanOut,
            double partsPerSecond,
            long queries,
            long others,
            long attempts,
            double cpuUsPerPart,
            double bytesPerPart,
            double batches) {}

    private final Deployment deployment;
    private final int fanOut;
    private final ManualClock clock = new ManualClock(1000);
    private final SplittableRandom random;
    private final Gatherer core;
    private long asked;
    private long whole;
    private long others;
    private long attempts;

    private DecisionCost(Deployment deployment, int fanOut, ServiceTimeModel serviceTimes, long seed) {
        this.deployment = deployment;
        this.fanOut = fanOut;
        random = new SplittableRandom(seed);
        TimerWorkers workers = new TimerWorkers(serviceTimes);
        core = new Gatherer(deployment.deploymentSettings().scheduler(), seed, clock, workers, () -> {});
        core.onEndpointList(EndpointListKind.COMPLETE, deployment.hosts(BLOCK));
        clock.advance(1);
    }

    /**
     * Measures {@code parts} parts, after {@code warmParts} parts that warm the code up. Parts arrive at a rate per
     * second of simulated time.
     */
    static Result measure(
            Deployment deployment,
            int fanOut,
            double partsPerSecond,
            ServiceTimeModel serviceTimes,
            long warmParts,
            long parts,
            long seed) {
        DecisionCost run = new DecisionCost(deployment, fanOut, serviceTimes, seed);
        double intervalS = fanOut / partsPerSecond;
        run.submitQueries(warmParts / fanOut, intervalS);
        long wholeBefore = run.whole;
        long othersBefore = run.others;
        long attemptsBefore = run.attempts;
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        long bytes = threads.getThreadAllocatedBytes(threadId);
        long nanos = threads.getCurrentThreadCpuTime();
        long queries = Math.max(1, parts / fanOut);
        run.submitQueries(queries, intervalS);
        nanos = threads.getCurrentThreadCpuTime() - nanos;
        bytes = threads.getThreadAllocatedBytes(threadId) - bytes;
        double measured = queries * (double) fanOut;
        return new Result(
                deployment,
                fanOut,
                partsPerSecond,
                run.whole - wholeBefore,
                run.others - othersBefore,
                run.attempts - attemptsBefore,
                nanos / 1e3 / measured,
                bytes / measured,
                1 / deployment.tickS());
    }

    private void submitQueries(long queries, double intervalS) {
        for (long i = 0; i < queries; i++) {
            core.submit(nextRequest(), new CountingListener());
            clock.advance(intervalS);
        }
    }

    private QueryRequest nextRequest() {
        List<QueryRequest.RequestedPart> requestedParts =
                deployment.requestedParts(fanOut, random.nextInt(deployment.workers()));
        return new QueryRequest("q" + asked++, 0, "", deployment.deadlineS(), requestedParts, VALUE, null);
    }

    /** Counts final answers. */
    private final class CountingListener implements QueryListener {
        @Override
        public void onAnswer(Query query, boolean isWhole) {
            if (isWhole) {
                whole++;
            } else {
                others++;
            }
        }

        @Override
        public void onRejected(Query query, double pauseS) {
            others++;
        }

        @Override
        public void onFailed(Query query, boolean overdue) {
            others++;
        }
    }

    /** Answers each part by a timer, after the service time drawn for it. */
    private final class TimerWorkers extends NoOpBackend {
        private final ServiceTimeModel serviceTimes;

        private TimerWorkers(ServiceTimeModel serviceTimes) {
            this.serviceTimes = serviceTimes;
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            int number = Integer.parseInt(worker.substring(1));
            for (Attempt attempt : call) {
                attempts++;
                double delayS = serviceTimes.serviceTimeS(
                        attempt.part().query().request().id()
                                + '.'
                                + attempt.part().shard(),
                        number);
                clock.after(delayS, () -> core.onAttemptEnded(attempt, AttemptOutcome.OK, LoadReport.NONE, VALUE));
            }
        }
    }
}
