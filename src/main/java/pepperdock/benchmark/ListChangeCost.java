package pepperdock.benchmark;

import java.lang.management.ManagementFactory;
import java.util.List;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/**
 * Measures the cost of an endpoint list change that concerns one worker, in the core, the scheduler module and the
 * worker pool, on a manual clock. Workers start draining and become healthy again one after another, as in a rolling
 * restart.
 */
final class ListChangeCost {

    private static final int BLOCK = 1;

    /** The measurements: processor time per change, in microseconds, and bytes allocated per change. */
    record Result(Deployment deployment, int changes, double cpuUsPerChange, double bytesPerChange) {}

    private ListChangeCost() {}

    /** Measures {@code changes} changes, after as many changes that warm the code up. */
    static Result measure(Deployment deployment, int changes, long seed) {
        ManualClock clock = new ManualClock(1000);
        UnconnectedPool workers = new UnconnectedPool();
        Gatherer core = new Gatherer(deployment.deploymentSettings().scheduler(), seed, clock, workers, () -> {});
        workers.start(core);
        List<WorkerEndpoint> hosts = deployment.hosts(BLOCK);
        core.onEndpointList(EndpointListKind.COMPLETE, hosts);
        clock.advance(1);
        applyChanges(core, clock, hosts, changes);
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        long bytes = threads.getThreadAllocatedBytes(threadId);
        long nanos = threads.getCurrentThreadCpuTime();
        applyChanges(core, clock, hosts, changes);
        nanos = threads.getCurrentThreadCpuTime() - nanos;
        bytes = threads.getThreadAllocatedBytes(threadId) - bytes;
        return new Result(deployment, changes, nanos / 1e3 / changes, bytes / (double) changes);
    }

    private static void applyChanges(Gatherer core, ManualClock clock, List<WorkerEndpoint> hosts, int changes) {
        for (int i = 0; i < changes; i++) {
            WorkerEndpoint previous = hosts.get(i / 2 % hosts.size());
            WorkerEndpoint now = new WorkerEndpoint(
                    previous.id(),
                    previous.address(),
                    previous.zone(),
                    previous.kind(),
                    previous.cell(),
                    i % 2 == 0 ? EndpointState.DRAINING : EndpointState.HEALTHY,
                    previous.weight(),
                    previous.startedAtS());
            core.onEndpointList(EndpointListKind.CHANGES, List.of(now));
            clock.advance(0.01);
        }
    }

    /** The production worker pool, with workers that open no connections. */
    private static final class UnconnectedPool extends PooledBackend<UnconnectedWorker> {
        @Override
        protected UnconnectedWorker createWorker(WorkerEndpoint host, Gatherer core) {
            return new UnconnectedWorker(host.address());
        }
    }

    private record UnconnectedWorker(String address) implements PooledBackend.PooledWorker {
        @Override
        public void send(List<Attempt> call) {}

        @Override
        public void cancel(Attempt attempt) {}

        @Override
        public void checkHealth() {}

        @Override
        public void closeIdleConnections() {}

        @Override
        public void setAcceptingCalls(boolean now) {}

        @Override
        public void retire() {}

        @Override
        public boolean isUnused() {
            return true;
        }
    }
}
