package pepperdock.scheduler;

import java.util.ArrayList;

/**
 * Ends queries as the scheduler has decided: answered, rejected or failed. A shutdown, a client that disconnects and
 * the deadline check end queries in the core instead.
 *
 * <p>A query that ends without an answer is rejected where a repeat by the client does no harm, that is, where its
 * class is idempotent or no attempt can have executed; otherwise it fails. Attempts that are still outstanding are
 * cancelled. This guards against a second final answer, and against attempts after the final one.
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

    /** Answers from the parts answered so far; a query of two stages continues with its second stage. */
    void answer(QueryState query, boolean complete) {
        actions.answerQuery(query.id, complete);
        if (query.stage == QueryState.FIRST_STAGE && query.queryClass.secondStageParts() > 0) {
            query.firstStageComplete = complete;
            query.stage = QueryState.SECOND_STAGE;
            query.coverage = 0;
            cancelAttempts(query);
            query.parts = new ArrayList<>();
        } else {
            close(query);
        }
    }

    /** Ends a query without an answer. */
    void endWithoutAnswer(QueryState query) {
        if (isClientRetrySafe(query)) {
            actions.rejectQuery(query.id, context.settings().limits().retryAfterS());
        } else {
            actions.failQuery(query.id);
        }
        close(query);
    }

    /** Closes a query: removes it and cancels its attempts. */
    void close(QueryState query) {
        query.ended = true;
        queries.remove(query);
        cancelAttempts(query);
    }

    private static boolean isClientRetrySafe(QueryState query) {
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
