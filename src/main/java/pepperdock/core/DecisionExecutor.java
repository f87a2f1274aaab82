package pepperdock.core;

import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.SchedulerActions;

/**
 * Carries out the scheduler's decisions in the order in which they are made. Ignores decisions on queries and parts
 * that have ended in the meantime. Called by the scheduler only while a batch is being reported, on the gatherer's
 * thread.
 */
final class DecisionExecutor implements SchedulerActions {

    private static final System.Logger LOG = System.getLogger("pepperdock.core");

    private final Clock clock;
    private final Backend backend;
    private final EndpointDiscovery discovery;
    private final EventBatcher batcher;
    private final QueryRegistry registry;
    private final QueryLifecycle queries;
    private final AttemptLifecycle attempts;
    private final CallDispatcher dispatcher;

    DecisionExecutor(
            Clock clock,
            Backend backend,
            EndpointDiscovery discovery,
            EventBatcher batcher,
            QueryRegistry registry,
            QueryLifecycle queries,
            AttemptLifecycle attempts,
            CallDispatcher dispatcher) {
        this.clock = clock;
        this.backend = backend;
        this.discovery = discovery;
        this.batcher = batcher;
        this.registry = registry;
        this.queries = queries;
        this.attempts = attempts;
        this.dispatcher = dispatcher;
    }

    @Override
    public void sendAttempt(long partId, String worker, double until) {
        Part part = registry.part(partId);
        if (part != null) {
            dispatcher.sendAttempt(part, worker, until);
        }
    }

    @Override
    public void cancelAttempt(long partId, int attemptNumber) {
        Part part = registry.part(partId);
        if (part != null && attemptNumber < part.attempts.size()) {
            attempts.abandonAttempt(part.attempts.get(attemptNumber), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void answerQuery(long queryId, boolean complete) {
        Query query = registry.query(queryId);
        if (query != null) {
            queries.answer(query, complete);
        }
    }

    @Override
    public void rejectQuery(long queryId, double retryAfterS) {
        Query query = registry.query(queryId);
        if (query != null) {
            queries.reject(query, retryAfterS);
        }
    }

    @Override
    public void failQuery(long queryId) {
        Query query = registry.query(queryId);
        if (query != null) {
            queries.fail(query);
        }
    }

    @Override
    public void onDecisionFailed(long queryId, RuntimeException cause) {
        queries.onDecisionFailed(queryId, cause);
    }

    @Override
    public void checkHealth(String worker) {
        backend.checkHealth(worker);
    }

    @Override
    public void closeIdleConnections(String worker) {
        backend.closeIdleConnections(worker);
    }

    @Override
    public void setTimer(double afterS, String token) {
        clock.after(afterS, () -> batcher.enqueueEvent(scheduler -> scheduler.onTimer(token)));
    }

    @Override
    public void watchEndpointList() {
        discovery.watch();
    }

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
