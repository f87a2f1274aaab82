package pepperdock.core;

import java.util.Locale;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.PartArrival;
import pepperdock.scheduler.QueryArrival;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.Scheduler;

/**
 * Accepts or rejects queries on arrival and gives each one its only final answer: on the scheduler's decision, when the
 * deadline guard expires, or at shutdown. Owned by the gatherer's thread.
 */
final class QueryLifecycle {

    /**
     * Tenant of all queries: no front distinguishes tenants, so all queries count towards the quota of the first one.
     */
    private static final int SOLE_TENANT = 0;

    private static final System.Logger LOG = System.getLogger("pepperdock.core");
    /**
     * Time between a query's deadline and the deadline guard's answer: long enough for the scheduler's own sweep, and
     * within the slack that the rules allow for an answer.
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
    private final LogRateLimiter lateLog;
    private final InternalFailures failures;
    private boolean shuttingDown;

    QueryLifecycle(
            Clock clock,
            SettingsHolder settings,
            Metrics metrics,
            EventBatcher batcher,
            AttemptLifecycle attempts,
            QueryRegistry registry,
            InternalFailures failures) {
        this.failures = failures;
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        this.batcher = batcher;
        this.attempts = attempts;
        this.registry = registry;
        endingLog = new LogRateLimiter(LOG, clock, "queries rejected, failed or cancelled");
        lateLog = new LogRateLimiter(LOG, clock, "queries answered late");
        rejectionLog = new LogRateLimiter(LOG, clock, "queries rejected on arrival");
    }

    /** Accepts or rejects a query; its listener is never called before this method returns. */
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
     * Returns whether the queries and parts in flight reach the limit. The parts of the arriving query do not count:
     * rejecting a query because its own parts would exceed the limit leaves capacity unused, and rejects queries of all
     * shards more often than others.
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
                                        + settings.current().limits().maxQueriesAndParts()
                                        + " queries and parts in flight"));
        clock.after(0, () -> giveAnswer(query, () -> query.listener.onRejected(query, retryAfterS())));
    }

    private void accept(Query query) {
        QueryRequest request = query.request();
        registry.add(query);
        query.deadlineGuard = clock.after(request.timeoutS() + DEADLINE_GUARD_DELAY_S, () -> failUndecided(query));
        long arrivalNumber = registry.nextArrivalNumber();
        batcher.enqueueEvent(
                scheduler -> {
                    if (!query.ended) {
                        reportArrival(scheduler, query, arrivalNumber);
                    }
                },
                () -> abort(query));
    }

    private void reportArrival(Scheduler scheduler, Query query, long arrivalNumber) {
        scheduler.onQuery(new QueryArrival(
                query.id,
                query.request().queryClass(),
                SOLE_TENANT,
                query.request().idempotencyKey(),
                query.deadline - batcher.batchTime(),
                arrivalNumber,
                query.parts.size()));
        for (Part part : query.parts) {
            scheduler.onPart(new PartArrival(part.id, arrivalNumber, part.shard(), part.weight()));
        }
    }

    /** Ends a query whose client has disconnected; has no effect if the query has ended. */
    void onClientGone(Query query) {
        if (!query.ended) {
            end(query);
            metrics.recordEnded(query.className, Metrics.QueryOutcome.CLIENT_GONE);
            logEnding("cancelled by its client", query);
            cancelInScheduler(query);
        }
    }

    /**
     * Fails a query for which the scheduler has made no decision by the deadline. This should never happen, but the
     * client must not wait forever if it does.
     */
    private void failUndecided(Query query) {
        if (!query.ended) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "query {0} failed by the deadline guard: the scheduler made no decision by its deadline",
                    query.request().id());
            end(query);
            cancelInScheduler(query);
            giveFailure(query, true);
        }
    }

    /** Records a decision of the scheduler that failed, and ends its query, if it concerned one that is in flight. */
    void onDecisionFailed(long queryId, RuntimeException cause) {
        failures.record("the scheduler decided on a query", cause);
        Query query = registry.query(queryId);
        if (query != null) {
            abort(query);
        }
    }

    /**
     * Ends a query that can't be decided any more because of a fault of this program. The scheduler may have lost track
     * of it, so its attempts are abandoned here.
     */
    private void abort(Query query) {
        if (!query.ended) {
            boolean repeatable = isRepeatable(query);
            end(query);
            abandonAttempts(query);
            logEnding("aborted after an internal failure", query);
            cancelInScheduler(query);
            giveAnswerWithoutParts(query, repeatable);
        }
    }

    /**
     * Ends all queries in flight and rejects those that arrive from now on, because they would be lost when the process
     * exits.
     */
    void shutDown() {
        shuttingDown = true;
        for (Query query : registry.queries()) {
            boolean repeatable = isRepeatable(query);
            end(query);
            logEnding("ended at shutdown", query);
            cancelInScheduler(query);
            giveAnswerWithoutParts(query, repeatable);
        }
    }

    /**
     * Returns whether the client may safely repeat a query, because it is idempotent or because no part of it can have
     * been executed.
     */
    private static boolean isRepeatable(Query query) {
        return query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT
                || query.parts.stream().flatMap(part -> part.attempts.stream()).allMatch(Attempt::neverExecuted);
    }

    /** Ends a query in flight with an answer from the values received so far. */
    void answer(Query query, boolean complete) {
        end(query);
        boolean served = giveAnswer(query, () -> query.listener.onAnswer(query, complete));
        metrics.recordEnded(query.className, served ? Metrics.QueryOutcome.SERVED : Metrics.QueryOutcome.FAILED);
    }

    /** Ends a query in flight as rejected. */
    void reject(Query query, double retryAfterS) {
        end(query);
        logEnding("rejected", query);
        giveRejection(query, retryAfterS);
    }

    /** Ends a query in flight as failed. */
    void fail(Query query) {
        end(query);
        logEnding("failed", query);
        boolean overdue =
                clock.now() >= query.deadline - settings.current().rules().answerSlackS();
        giveFailure(query, overdue);
    }

    private void giveAnswerWithoutParts(Query query, boolean repeatable) {
        if (repeatable) {
            giveRejection(query, retryAfterS());
        } else {
            giveFailure(query, false);
        }
    }

    private void giveRejection(Query query, double retryAfterS) {
        boolean rejected = giveAnswer(query, () -> query.listener.onRejected(query, retryAfterS));
        metrics.recordEnded(query.className, rejected ? Metrics.QueryOutcome.REJECTED : Metrics.QueryOutcome.FAILED);
    }

    private void giveFailure(Query query, boolean overdue) {
        giveAnswer(query, () -> query.listener.onFailed(query, overdue));
        metrics.recordEnded(query.className, Metrics.QueryOutcome.FAILED);
    }

    /**
     * Gives a query, which has ended, its final answer; returns whether that succeeded. The query is no longer in flight
     * by now, so nothing else would answer it: an answer that can't be given is replaced by a failure.
     */
    private boolean giveAnswer(Query query, Runnable answer) {
        recordIfLate(query);
        boolean given = failures.run("a query was answered", answer);
        if (!given) {
            failures.run("a query was answered as failed", () -> query.listener.onFailed(query, false));
        }
        return given;
    }

    /**
     * Removes a query from those in flight. While a batch is being reported, the scheduler cancels the query's attempts
     * itself; otherwise this method abandons them. The parts stay registered until the next batch, because the
     * scheduler may still refer to them.
     */
    private void end(Query query) {
        query.ended = true;
        query.deadlineGuard.cancel();
        registry.remove(query);
        batcher.enqueueEvent(scheduler -> registry.removeParts(query));
        if (!batcher.isReportingBatch()) {
            abandonAttempts(query);
        }
    }

    private void recordIfLate(Query query) {
        double lateS = clock.now() - query.deadline;
        if (lateS > settings.current().rules().answerSlackS()) {
            metrics.recordLateAnswer();
            lateLog.log(
                    System.Logger.Level.WARNING,
                    () -> String.format(
                            Locale.ROOT,
                            "query %s answered %.3f s after its deadline",
                            query.request().id(),
                            lateS));
        }
    }

    private void abandonAttempts(Query query) {
        for (Part part : query.parts) {
            part.attempts.forEach(attempt -> attempts.abandonAttempt(attempt, AttemptOutcome.CANCELLED));
        }
    }

    private void cancelInScheduler(Query query) {
        batcher.enqueueEvent(scheduler -> scheduler.onQueryCancelled(query.id));
    }

    private double retryAfterS() {
        return settings.current().limits().retryAfterS();
    }

    /** Logs a query that ends without an answer, in one line: the first thing that on-call staff look for. */
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
