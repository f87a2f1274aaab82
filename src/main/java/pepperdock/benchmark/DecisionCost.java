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
 * The cost of decisions alone: core and module on a clock moved by hand, between clients and workers that are a timer each.
 * No sockets, frames or HTTP. What is counted includes the stand-ins and the manual clock's timers.
 */
final class DecisionCost {

    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);
    /** Any block: nothing is opened. */
    private static final int BLOCK = 1;

    /**
     * What was measured.
     *
     * @param queries answered whole in the measured stretch
     * @param others ended in any other way
     * @param attempts sent in the measured stretch
     * @param processorUsAPart processor time a part, in microseconds
     * @param bytesAPart allocated a part
     * @param batches turns of the module a second of simulated time, at the most
     */
    record Result(
            Deployment deployment,
            int fanOut,
            double partsPerSecond,
            long queries,
            long others,
            long attempts,
            double processorUsAPart,
            double bytesAPart,
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

    private DecisionCost(Deployment deployment, int fanOut, Behaviour behaviour, long seed) {
        this.deployment = deployment;
        this.fanOut = fanOut;
        random = new SplittableRandom(seed);
        Workers workers = new Workers(behaviour);
        core = new Gatherer(deployment.site().scheduler(), seed, clock, workers, () -> {});
        core.onEndpointList(EndpointListKind.COMPLETE, deployment.hosts(BLOCK));
        clock.advance(1);
    }

    /** Measures over so many parts, after as many as warm the code up; parts come at a rate of simulated time. */
    static Result measure(
            Deployment deployment,
            int fanOut,
            double partsPerSecond,
            Behaviour behaviour,
            long warmParts,
            long parts,
            long seed) {
        DecisionCost run = new DecisionCost(deployment, fanOut, behaviour, seed);
        double everyS = fanOut / partsPerSecond;
        run.play(warmParts / fanOut, everyS);
        long wholeBefore = run.whole;
        long othersBefore = run.others;
        long attemptsBefore = run.attempts;
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long self = Thread.currentThread().getId();
        long bytes = threads.getThreadAllocatedBytes(self);
        long nanos = threads.getCurrentThreadCpuTime();
        long queries = Math.max(1, parts / fanOut);
        run.play(queries, everyS);
        nanos = threads.getCurrentThreadCpuTime() - nanos;
        bytes = threads.getThreadAllocatedBytes(self) - bytes;
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

    private void play(long queries, double everyS) {
        for (long i = 0; i < queries; i++) {
            core.submit(ask(), new Asking());
            clock.advance(everyS);
        }
    }

    private QueryRequest ask() {
        List<QueryRequest.RequestedPart> pieces = deployment.pieces(fanOut, random.nextInt(deployment.workers()));
        return new QueryRequest("q" + asked++, 0, "", deployment.deadlineS(), pieces, VALUE, null);
    }

    /** Counts final answers. */
    private final class Asking implements QueryListener {
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

    /** Answers each part after its drawn time, by a timer. */
    private final class Workers extends NoOpBackend {
        private final Behaviour behaviour;

        private Workers(Behaviour behaviour) {
            this.behaviour = behaviour;
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            int number = Integer.parseInt(worker.substring(1));
            for (Attempt a : call) {
                attempts++;
                double takes = behaviour.takesS(
                        a.part().query().request().id() + '.' + a.part().shard(), number);
                clock.after(takes, () -> core.onAttemptEnded(a, AttemptOutcome.OK, LoadReport.NONE, VALUE));
            }
        }
    }
}
