package pepperdock.scheduler;

/**
 * Reviews dispatched queries: follows up parts without an answer, sends parts left out so far if the minimum coverage
 * is out of reach without them, and ends queries that are due. It makes no decisions itself; the rules are in
 * {@link HedgingPolicy}, {@link ReplicaSelector} and {@link CompletionPolicy}.
 */
final class QueryReviewer {

    private final SchedulerActions actions;
    private final HedgingPolicy hedging;
    private final ReplicaSelector selector;
    private final CompletionPolicy completion;

    QueryReviewer(
            SchedulerActions actions, HedgingPolicy hedging, ReplicaSelector selector, CompletionPolicy completion) {
        this.actions = actions;
        this.hedging = hedging;
        this.selector = selector;
        this.completion = completion;
    }

    /** Reviews a query that is open and dispatched. */
    void review(QueryState query) {
        for (PartState part : query.parts) {
            if (part.wanted && !part.isAnswered()) {
                followUp(part);
            }
        }
        if (lacksCoverage(query)) {
            for (PartState part : FanOutPolicy.heaviestFirst(query)) {
                if (!part.wanted && lacksCoverage(query)) {
                    part.wanted = true;
                    selector.sendToBest(part);
                }
            }
        }
        completion.finishIfDue(query);
    }

    private void followUp(PartState part) {
        switch (hedging.followUp(part)) {
            case SEND -> selector.sendToBest(part);
            case CANCEL -> cancel(part.lastAttempt());
            case NONE -> {}
        }
    }

    private void cancel(AttemptState attempt) {
        attempt.cancelRequested = true;
        actions.cancelAttempt(attempt.part.id, attempt.number);
    }

    private boolean lacksCoverage(QueryState query) {
        return completion.reachableCoverage(query) < query.queryClass.minimumCoverage() - QueryState.COVERAGE_TOLERANCE;
    }
}
