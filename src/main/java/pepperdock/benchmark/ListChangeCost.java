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
 * The cost of a change of the worker list that tells of one worker: core, module and the pool of workers, on a clock moved by
 * hand. A worker drains and is back by turns, as in a restart of all workers one after another.
 */
final class ListChangeCost {

    private static final int BLOCK = 1;

    /** What was measured: processor time a change, in microseconds, and bytes allocated a change. */
    record Result(Deployment deployment, int changes, double processorUsAChange, double bytesAChange) {}

    private ListChangeCost() {}

    /** Measures over so many changes, after as many that warm the code up. */
    static Result measure(Deployment deployment, int changes, long seed) {
        ManualClock clock = new ManualClock(1000);
        Workers workers = new Workers();
        Gatherer core = new Gatherer(deployment.site().scheduler(), seed, clock, workers, () -> {});
        workers.start(core);
        List<WorkerEndpoint> hosts = deployment.hosts(BLOCK);
        core.onEndpointList(EndpointListKind.COMPLETE, hosts);
        clock.advance(1);
        change(core, clock, hosts, changes);
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long self = Thread.currentThread().getId();
        long bytes = threads.getThreadAllocatedBytes(self);
        long nanos = threads.getCurrentThreadCpuTime();
        change(core, clock, hosts, changes);
        nanos = threads.getCurrentThreadCpuTime() - nanos;
        bytes = threads.getThreadAllocatedBytes(self) - bytes;
        return new Result(deployment, changes, nanos / 1e3 / changes, bytes / (double) changes);
    }

    private static void change(Gatherer core, ManualClock clock, List<WorkerEndpoint> hosts, int changes) {
        for (int i = 0; i < changes; i++) {
            WorkerEndpoint of = hosts.get(i / 2 % hosts.size());
            WorkerEndpoint now = new WorkerEndpoint(
                    of.id(),
                    of.address(),
                    of.zone(),
                    of.kind(),
                    of.cell(),
                    i % 2 == 0 ? EndpointState.DRAINING : EndpointState.HEALTHY,
                    of.weight(),
                    of.startedAtS());
            core.onEndpointList(EndpointListKind.CHANGES, List.of(now));
            clock.advance(0.01);
        }
    }

    /** The real pool, of workers without connections. */
    private static final class Workers extends PooledBackend<Unconnected> {
        @Override
        protected Unconnected createWorker(WorkerEndpoint host, Gatherer core) {
            return new Unconnected(host.address());
        }
    }

    private record Unconnected(String address) implements PooledBackend.PooledWorker {
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
