package pepperdock.scheduler;

import java.util.ArrayList;

/**
 * Carries out the scheduler's decision that a query ends: answered, rejected or failed. (Shutdown, a client that disconnects and
 * the guard at the deadline end queries in the core.)
 *
 * <p>Rule: a query that ends without an answer is rejected where the client's repeat does no harm, that is, where its class is
 * idempotent or no attempt can have executed; otherwise it fails. Attempts that are still outstanding are cancelled. Guards
 * against a second final answer and against attempts after it.
 */
final class QueryFinisher {

    private final SchedulerContext context;
    private final SchedulerActions actions;
    private final QueryTable queries;

    QueryFinisher(SchedulerContext context, SchedulerActions actions, QueryTable queries) {
        this.context = context;
        this.actions = actions;
        this.queries = queries;
    }

    /** Answers from the parts that have come; a query of two stages goes on with its second one. */
    void answer(QueryState query, boolean complete) {
        actions.answerQuery(query.id, complete);
        if (query.stage == QueryState.FIRST_STAGE && query.queryClass.secondStageParts() > 0) {
            query.firstStageComplete = complete;
            query.stage = QueryState.SECOND_STAGE;
            query.coverage = 0;
            cancelAttempts(query);
            query.parts = new ArrayList<>();
        } else {
            forget(query);
        }
    }

    /** Ends a query without an answer. */
    void endWithoutAnswer(QueryState query) {
        if (isRepeatHarmless(query)) {
            actions.rejectQuery(query.id, context.settings().limits().retryAfterS());
        } else {
            actions.failQuery(query.id);
        }
        forget(query);
    }

    /** Drops a query without an answer from here. */
    void forget(QueryState query) {
        query.ended = true;
        queries.remove(query);
        cancelAttempts(query);
    }

    private static boolean isRepeatHarmless(QueryState query) {
        return query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT
                || query.parts.stream()
                        .flatMap(part -> part.attempts.stream())
                        .noneMatch(AttemptState::mayHaveExecuted);
    }

    private void cancelAttempts(QueryState query) {
        boolean cancels = context.settings().limits().cancellation();
        for (PartState part : query.parts) {
            part.wanted = false;
            for (AttemptState attempt : part.attempts) {
                if (cancels && attempt.outcome == null && !attempt.cancelRequested) {
                    attempt.cancelRequested = true;
                    actions.cancelAttempt(part.id, attempt.number);
                }
            }
            if (part.outstanding == 0) {
                queries.remove(part);
            }
        }
    }
}
