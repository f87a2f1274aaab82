package pepperdock.scheduler;

import java.util.function.Consumer;

/**
 * Runs decisions so that one that fails with an exception ends at most the query that it is about, and keeps no other
 * query from being decided.
 */
final class DecisionGuard {

    private final SchedulerActions actions;
    private final QueryFinisher finisher;

    DecisionGuard(SchedulerActions actions, QueryFinisher finisher) {
        this.actions = actions;
        this.finisher = finisher;
    }

    /** Runs a decision about a query; if it fails, the query is closed and reported. */
    void run(QueryState query, Consumer<QueryState> decision) {
        try {
            decision.accept(query);
        } catch (RuntimeException e) {
            actions.onDecisionFailed(query.id, e);
            finisher.close(query);
        }
    }

    /** Runs a decision that concerns no query in particular. */
    void run(Runnable decision) {
        try {
            decision.run();
        } catch (RuntimeException e) {
            actions.onDecisionFailed(SchedulerActions.NO_QUERY, e);
        }
    }
}
