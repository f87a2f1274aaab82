package pepperdock.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;

/**
 * Base class of backends that keep one object with the connections of each listed worker, independent of the protocol.
 * Owned by the gatherer's thread.
 *
 * @param <W> type that represents a worker of the protocol
 */
public abstract class PooledBackend<W extends PooledBackend.PooledWorker> implements Backend {

    /** One worker and the connections to it. */
    public interface PooledWorker {
        /** Returns the address that this worker was created for. */
        String address();

        /** Sends attempts as one call. */
        void send(List<Attempt> call);

        /** Stops waiting for an attempt. */
        void cancel(Attempt attempt);

        /** Starts a health check. */
        void checkHealth();

        /** Closes the connections that have no attempt in flight. */
        void closeIdleConnections();

        /** Sets whether new calls may be sent; if not, attempts that wait for a connection end as not sent. */
        void setAcceptingCalls(boolean accepting);

        /** Called when the id of this worker has got another address and this object is replaced. */
        void retire();

        /**
         * Returns whether there are neither connections nor attempts that wait for one, so that the worker may be
         * removed.
         */
        boolean isUnused();
    }

    private final Map<String, W> workers = new HashMap<>();
    private Gatherer gatherer;

    /** Creates the object for a worker that is new or has a new address. */
    protected abstract W createWorker(WorkerEndpoint endpoint, Gatherer gatherer);

    /** Returns the worker with this id; null if it is unknown. */
    protected final W worker(String id) {
        return workers.get(id);
    }

    /** Sets the gatherer that outcomes are reported to; must be called before the first use. */
    public final void start(Gatherer gatherer) {
        this.gatherer = gatherer;
    }

    @Override
    public final void sendCall(String workerId, List<Attempt> call) {
        W worker = workers.get(workerId);
        if (worker == null) {
            call.forEach(attempt -> gatherer.onAttemptEnded(attempt, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
        } else {
            worker.send(call);
        }
    }

    @Override
    public final void cancel(Attempt attempt) {
        W worker = workers.get(attempt.worker());
        if (worker != null) {
            worker.cancel(attempt);
        }
    }

    @Override
    public final void checkHealth(String workerId) {
        W worker = workers.get(workerId);
        if (worker == null) {
            gatherer.onHealthCheckEnded(workerId, AttemptOutcome.CONNECT_FAILED, 0, LoadReport.NONE);
        } else {
            worker.checkHealth();
        }
    }

    @Override
    public final void closeIdleConnections(String workerId) {
        W worker = workers.get(workerId);
        if (worker != null) {
            worker.closeIdleConnections();
        }
    }

    /**
     * Creates, replaces and updates workers. A worker that is no longer listed accepts no calls and is removed when
     * unused.
     */
    @Override
    public final void updateEndpoints(Map<String, WorkerEndpoint> endpoints) {
        endpoints.forEach(this::updateWorker);
        workers.forEach((id, worker) -> {
            if (!endpoints.containsKey(id)) {
                worker.setAcceptingCalls(false);
            }
        });
        workers.entrySet()
                .removeIf(entry -> !endpoints.containsKey(entry.getKey())
                        && entry.getValue().isUnused());
    }

    private void updateWorker(String id, WorkerEndpoint endpoint) {
        W worker = workers.get(id);
        if (worker != null && !worker.address().equals(endpoint.address())) {
            worker.retire();
            worker = null;
        }
        if (worker == null) {
            worker = createWorker(endpoint, gatherer);
            workers.put(id, worker);
        }
        worker.setAcceptingCalls(endpoint.state() == EndpointState.HEALTHY);
    }
}
