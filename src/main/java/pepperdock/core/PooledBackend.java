package pepperdock.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;

/** A backend that keeps one object for each listed worker, whatever the protocol it speaks. */
public abstract class PooledBackend<W extends PooledBackend.PooledWorker> implements Backend {

    /** One worker. */
    public interface PooledWorker {
        String address();

        void send(List<Attempt> call);

        void cancel(Attempt attempt);

        void checkHealth();

        void closeIdleConnections();

        /** Whether it takes anything new; when not, what waits for a connection to it ends without having run. */
        void setAcceptingCalls(boolean now);

        /** It is not at its address any more. */
        void retire();

        boolean isUnused();
    }

    private final Map<String, W> workers = new HashMap<>();
    private Gatherer core;

    protected abstract W createWorker(WorkerEndpoint host, Gatherer core);

    /** The worker of that id; null where none is known. */
    protected final W worker(String id) {
        return workers.get(id);
    }

    public final void start(Gatherer core) {
        this.core = core;
    }

    @Override
    public final void sendCall(String worker, List<Attempt> call) {
        W w = workers.get(worker);
        if (w == null) {
            call.forEach(a -> core.onAttemptEnded(a, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
        } else {
            w.send(call);
        }
    }

    @Override
    public final void cancel(Attempt attempt) {
        W w = workers.get(attempt.worker());
        if (w != null) {
            w.cancel(attempt);
        }
    }

    @Override
    public final void checkHealth(String worker) {
        W w = workers.get(worker);
        if (w == null) {
            core.onHealthCheckEnded(worker, AttemptOutcome.CONNECT_FAILED, 0, LoadReport.NONE);
        } else {
            w.checkHealth();
        }
    }

    @Override
    public final void closeIdleConnections(String worker) {
        W w = workers.get(worker);
        if (w != null) {
            w.closeIdleConnections();
        }
    }

    @Override
    public final void updateEndpoints(Map<String, WorkerEndpoint> hosts) {
        hosts.forEach((id, h) -> {
            W w = workers.get(id);
            if (w != null && !w.address().equals(h.address())) {
                w.retire();
                w = null;
            }
            if (w == null) {
                w = createWorker(h, core);
                workers.put(id, w);
            }
            w.setAcceptingCalls(h.state() == EndpointState.HEALTHY);
        });
        workers.forEach((id, w) -> {
            if (!hosts.containsKey(id)) {
                w.setAcceptingCalls(false);
            }
        });
        workers.entrySet()
                .removeIf(e -> !hosts.containsKey(e.getKey()) && e.getValue().isUnused());
    }
}
