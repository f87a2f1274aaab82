package pepperdock.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pepperdock.aggregator.Aggregator.Outcome;
import pepperdock.aggregator.Aggregator.Readiness;

/** A backend that keeps one object for each listed worker, whatever the protocol it speaks. */
public abstract class PooledBackend<W extends PooledBackend.Remote> implements Backend {

    /** One worker. */
    public interface Remote {
        String dial();

        void send(List<Attempt> call);

        void cancel(Attempt attempt);

        void probe();

        void dropIdle();

        /** Whether it takes anything new; when not, what waits for a connection to it ends without having run. */
        void open(boolean now);

        /** It is not at its address any more. */
        void retire();

        boolean unused();
    }

    private final Map<String, W> workers = new HashMap<>();
    private Gatherer core;

    protected abstract W make(Host host, Gatherer core);

    /** The worker of that id; null where none is known. */
    protected final W worker(String id) {
        return workers.get(id);
    }

    public final void start(Gatherer core) {
        this.core = core;
    }

    @Override
    public final void send(String worker, List<Attempt> call) {
        W w = workers.get(worker);
        if (w == null) {
            call.forEach(a -> core.ended(a, Outcome.MOOT, null, null));
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
    public final void probe(String worker) {
        W w = workers.get(worker);
        if (w == null) {
            core.probed(worker, Outcome.CONNECT_FAILED, 0, null);
        } else {
            w.probe();
        }
    }

    @Override
    public final void dropConnections(String worker) {
        W w = workers.get(worker);
        if (w != null) {
            w.dropIdle();
        }
    }

    @Override
    public final void listed(Map<String, Host> hosts) {
        hosts.forEach((id, h) -> {
            W w = workers.get(id);
            if (w != null && !w.dial().equals(h.dial())) {
                w.retire();
                w = null;
            }
            if (w == null) {
                w = make(h, core);
                workers.put(id, w);
            }
            w.open(h.readiness() == Readiness.HEALTHY);
        });
        workers.forEach((id, w) -> {
            if (!hosts.containsKey(id)) {
                w.open(false);
            }
        });
        workers.entrySet()
                .removeIf(e -> !hosts.containsKey(e.getKey()) && e.getValue().unused());
    }
}
