package pepperdock.core;

import java.util.Locale;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.PartArrival;
import pepperdock.scheduler.QueryArrival;
import pepperdock.scheduler.RetrySafety;

/**
 * Accepts or rejects queries on arrival and gives each its one final answer: by the scheduler's decision, by the deadline
 * guard, or at shutdown. Owned by the gatherer's thread.
 */
final class QueryLifecycle {

    /** No front names tenants, so all queries count for the first one's quota. */
    private static final int SOLE_TENANT = 0;

    private static final System.Logger LOG = System.getLogger("pepperdock.core");
    /**
     * The guard answers so long after a query's deadline: after the scheduler's own sweep, and within the slack that the rules
     * allow an answer.
     */
    private static final double DEADLINE_GUARD_DELAY_S = 0.005;

    private final Clock clock;
    private final SettingsHolder settings;
    private final Metrics metrics;
    private final EventBatcher batcher;
    private final AttemptLifecycle attempts;
    private final QueryRegistry registry;
    private final LogRateLimiter endingLog;
    private final LogRateLimiter rejectionLog;
    private boolean shuttingDown;

    QueryLifecycle(
            Clock clock,
            SettingsHolder settings,
            Metrics metrics,
            EventBatcher batcher,
            AttemptLifecycle attempts,
            QueryRegistry registry) {
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.batcher = batcher;
        this.attempts = attempts;
        this.registry = registry;
        endingLog = new LogRateLimiter(LOG, clock, "queries rejected, failed or cancelled");
        rejectionLog = new LogRateLimiter(LOG, clock, "queries rejected on arrival");
    }

    /** Accepts or rejects a query; its listener is called back at the earliest after this returns. */
    Query submit(QueryRequest request, QueryListener listener) {
        Query query = new Query(
                registry.nextId(),
                request,
                listener,
                clock.now() + request.timeoutS(),
                settings.current().classes().get(request.queryClass()),
                settings.className(request.queryClass()),
                settings.current().limits().maxAttempts());
        metrics.recordSubmitted();
        if (shuttingDown || isAtInFlightLimit()) {
            rejectOnArrival(query);
        } else {
            accept(query);
        }
        return query;
    }

    /**
     * Whether the limit is reached, by what is in flight alone. A query that would exceed it with its own parts is accepted:
     * rejecting it would leave capacity unused, and reject queries of all shards more often than others.
     */
    private boolean isAtInFlightLimit() {
        return registry.capacityInUse() >= settings.current().limits().maxQueriesAndParts();
    }

    private void rejectOnArrival(Query query) {
        query.ended = true;
        metrics.recordEnded(query.className, Metrics.QueryOutcome.REJECTED);
        rejectionLog.log(
                System.Logger.Level.INFO,
                () -> "query " + query.request().id() + " of "
                        + query.request().parts().size() + " parts rejected: "
                        + (shuttingDown
                                ? "shutting down"
                                : "in-flight limit reached, " + registry.capacityInUse() + " of "
                                        + settings.current().limits().maxQueriesAndParts() + " in use"));
        clock.after(0, () -> query.listener.onRejected(query, maxRetryAfterS()));
    }

    private void accept(Query query) {
        QueryRequest request = query.request();
        registry.add(query);
        query.deadlineGuard = clock.after(request.timeoutS() + DEADLINE_GUARD_DELAY_S, () -> failUndecided(query));
        long arrivalNumber = registry.nextArrivalNumber();
        batcher.enqueueEvent(scheduler -> {
            if (!query.ended) {
                scheduler.onQuery(new QueryArrival(
                        query.id,
                        request.queryClass(),
                        SOLE_TENANT,
                        request.idempotencyKey(),
                        query.deadline - batcher.batchTime(),
                        arrivalNumber,
                        query.parts.size()));
                for (Part part : query.parts) {
                    scheduler.onPart(new PartArrival(part.id, arrivalNumber, part.shard(), part.weight()));
                }
            }
        });
    }

    /** Ends a query whose client has disconnected; harmless when it has ended. */
    void onClientGone(Query query) {
        if (!query.ended) {
            end(query, Metrics.QueryOutcome.CLIENT_GONE);
            logEnding("cancelled by its client", query);
            cancelInScheduler(query);
        }
    }

    /** Answers a query that the scheduler has left undecided, which it never should: its client must not wait for ever. */
    private void failUndecided(Query query) {
        if (!query.ended) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "query {0} reached its deadline undecided",
                    query.request().id());
            end(query, Metrics.QueryOutcome.FAILED);
            cancelInScheduler(query);
            query.listener.onFailed(query, true);
        }
    }

    /** Ends all queries in flight, and rejects from now on each that arrives; both would be lost with the process. */
    void shutDown() {
        shuttingDown = true;
        for (Query query : registry.queries()) {
            boolean repeatable = isRepeatable(query);
            end(query, repeatable ? Metrics.QueryOutcome.REJECTED : Metrics.QueryOutcome.FAILED);
            logEnding("ended at shutdown", query);
            cancelInScheduler(query);
            if (repeatable) {
                query.listener.onRejected(query, maxRetryAfterS());
            } else {
                query.listener.onFailed(query, false);
            }
        }
    }

    /** Whether the client may repeat a query without harm: it is idempotent, or no part of it can have been executed. */
    private static boolean isRepeatable(Query query) {
        return query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT
                || query.parts.stream().flatMap(part -> part.attempts.stream()).allMatch(Attempt::neverExecuted);
    }

    /** Ends a query in flight with an answer from the values that are in. */
    void answer(Query query, boolean complete) {
        end(query, Metrics.QueryOutcome.SERVED);
        query.listener.onAnswer(query, complete);
    }

    /** Ends a query in flight as rejected. */
    void reject(Query query, double retryAfterS) {
        end(query, Metrics.QueryOutcome.REJECTED);
        logEnding("rejected", query);
        query.listener.onRejected(query, retryAfterS);
    }

    /** Ends a query in flight as failed. */
    void fail(Query query) {
        end(query, Metrics.QueryOutcome.FAILED);
        logEnding("failed", query);
        boolean overdue =
                clock.now() >= query.deadline - settings.current().rules().answerSlackS();
        query.listener.onFailed(query, overdue);
    }

    /**
     * Removes a query from those in flight. While a batch is being reported its attempts are left to the scheduler, which
     * cancels them itself; its parts stay known until the next batch, as the scheduler may still name them.
     */
    private void end(Query query, Metrics.QueryOutcome outcome) {
        query.ended = true;
        metrics.recordEnded(query.className, outcome);
        query.deadlineGuard.cancel();
        registry.remove(query);
        batcher.enqueueEvent(scheduler -> registry.removeParts(query));
        if (!batcher.isClosing()) {
            for (Part part : query.parts) {
                part.attempts.forEach(attempt -> attempts.abandonAttempt(attempt, AttemptOutcome.CANCELLED));
            }
        }
    }

    private void cancelInScheduler(Query query) {
        batcher.enqueueEvent(scheduler -> scheduler.onQueryCancelled(query.id));
    }

    private double maxRetryAfterS() {
        return settings.current().limits().retryAfterS();
    }

    /** One line for each query that ends without an answer: what on-call staff look for first. */
    private void logEnding(String how, Query query) {
        endingLog.log(
                System.Logger.Level.INFO,
                () -> String.format(
                        Locale.ROOT,
                        "query %s of class %d %s %.3f s before its deadline; parts %d, sent %d, answered %d;"
                                + " %d queries in flight",
                        query.request().id(),
                        query.request().queryClass(),
                        how,
                        query.deadline - clock.now(),
                        query.parts.size(),
                        query.parts.stream().filter(Part::isSent).count(),
                        query.parts.stream().filter(part -> part.value != null).count(),
                        registry.size()));
    }
}
