package pepperdock.scheduler;

import java.util.ArrayDeque;

/**
 * Decides whether a query is dispatched, queued or rejected when it arrives, and when a queued query is dispatched.
 *
 * <p>{@link LoadShedder} may reject the query first. Otherwise it is dispatched if no query is queued and the
 * {@link ConcurrencyLimit} has room, queued if it would still be answered within its objective, and rejected if not.
 * Queued queries are dispatched first in, first out; one whose objective can no longer be met is rejected. The expected
 * wait is the time that it takes, at the present rate of answers, to answer Pmin parts (see {@link FanOutPolicy}) of
 * each queued query and of the new one. Inputs are times in seconds and counts of parts.
 *
 * <p>This guards against a queue of queries whose answers come too late, and leaves the client time to try another
 * instance. It rejects too many queries where the rate of answers has just risen, because the expected wait is then too
 * long.
 */
final class AdmissionController {

    /**
     * Requests that are probably stale are dispatched while less than this share of the limit is in use: idle endpoints
     * cost nothing, and the estimate may be wrong.
     */
    private static final double STALE_REQUEST_LIMIT_SHARE = 0.3;

    private final SchedulerContext context;
    private final FleetEstimates estimates;
    private final AnswerDeadlines deadlines;
    private final ConcurrencyLimit limit;
    private final FanOutPolicy fanOut;
    private final CompletionPolicy completion;
    private final QueryDispatcher dispatcher;
    private final QueryFinisher finisher;
    private final ArrayDeque<QueryState> queue = new ArrayDeque<>();

    AdmissionController(
            SchedulerContext context,
            FleetEstimates estimates,
            AnswerDeadlines deadlines,
            ConcurrencyLimit limit,
            FanOutPolicy fanOut,
            CompletionPolicy completion,
            QueryDispatcher dispatcher,
            QueryFinisher finisher) {
        this.context = context;
        this.estimates = estimates;
        this.deadlines = deadlines;
        this.limit = limit;
        this.fanOut = fanOut;
        this.completion = completion;
        this.dispatcher = dispatcher;
        this.finisher = finisher;
    }

    /** Dispatches, queues or rejects a query that has arrived with its parts. */
    void onArrival(QueryState query) {
        boolean stale = context.nowS() + estimates.partTime().meanS() > query.firstRequestObjectiveAtS;
        if (queue.isEmpty() && limit.hasRoom(stale ? STALE_REQUEST_LIMIT_SHARE : 1)) {
            dispatcher.dispatch(query, fanOut.countForImmediateDispatch(query));
        } else if (context.nowS() + expectedWaitS(query) + estimates.conservativePartTimeS()
                > query.firstRequestObjectiveAtS - deadlines.marginS()) {
            finisher.endWithoutAnswer(query);
        } else {
            queue.addLast(query);
        }
    }

    /**
     * Rejects queued queries that would be answered too late, and dispatches the others in order while the limit has
     * room.
     */
    void dispatchQueued(QueryTable queries, DecisionGuard guard) {
        for (QueryState query : queue) {
            if (!query.ended) {
                guard.run(query, this::rejectIfHopeless);
            }
        }
        queue.removeIf(query -> query.ended);
        while (!queue.isEmpty() && limit.hasRoom(1)) {
            QueryState head = queue.removeFirst();
            long running = queries.dispatchedCount();
            guard.run(
                    head,
                    query -> dispatcher.dispatch(
                            query, fanOut.countForQueuedQuery(query, limit.limit(), queue.size(), running)));
        }
    }

    private void rejectIfHopeless(QueryState query) {
        if (isTooLate(query) || completion.hasReachedNoEndpoint(query)) {
            finisher.endWithoutAnswer(query);
        }
    }

    private boolean isTooLate(QueryState query) {
        return context.nowS() + estimates.conservativePartTimeS() > query.objectiveAtS - deadlines.marginS();
    }

    /** Returns the seconds until Pmin parts of each queued query and of this one are answered. */
    private double expectedWaitS(QueryState query) {
        int parts = fanOut.minimumCount(query)
                + queue.stream().mapToInt(fanOut::minimumCount).sum();
        return context.shortestObjectiveS() * parts / Math.max(1, estimates.answeredParts());
    }
}
