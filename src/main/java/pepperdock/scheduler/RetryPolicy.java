package pepperdock.scheduler;

import pepperdock.estimate.RetryBudget;

/**
 * Decides whether a part may be attempted again.
 *
 * <p>A part of an idempotent class may be repeated; a part with an idempotency key may be repeated while the endpoints
 * recognise the repeat; any other part only if no attempt can have executed. Attempts after the first are limited by a
 * {@link RetryBudget}, and an ejected endpoint is retried only after its backoff, or as the last resort. Inputs are
 * outcomes and the budget figures of {@link ProtocolRules}; times are seconds.
 *
 * <p>This guards against effects that happen twice, and against retry storms. Where a fault affects more parts than the
 * budget covers, those parts are missing from the answers.
 */
final class RetryPolicy {

    private final SchedulerContext context;
    private final OutlierDetector outliers;
    private final RetryBudget budget = new RetryBudget(new RetryBudget.WindowBudget(0, 0, 0));

    RetryPolicy(SchedulerContext context, OutlierDetector outliers) {
        this.context = context;
        this.outliers = outliers;
        onSettingsUpdated();
    }

    /** Applies the retry budget of the settings, which have been replaced. */
    void onSettingsUpdated() {
        ProtocolRules rules = context.settings().rules();
        budget.update(new RetryBudget.WindowBudget(
                rules.retryBudgetWindowS(), rules.retryBudgetFree(), rules.retryBudgetShare()));
    }

    /** Counts a query or part that has arrived, from which the budget is computed. */
    void onArrival() {
        budget.onArrival(context.nowS());
    }

    /** Counts an attempt that is about to be sent. */
    void onSend(PartState part) {
        if (part.attempts.isEmpty()) {
            budget.onFirstAttempt(part.query.parts.size());
        } else {
            budget.onRetry(context.nowS(), hasFailureResponse(part));
        }
    }

    /** Returns whether the rules set a budget. */
    boolean hasWindowBudget() {
        return budget.hasWindowBudget();
    }

    /** Returns whether the budget permits another attempt at the part, which has been attempted. */
    boolean isWithinBudget(PartState part) {
        return budget.allows(context.nowS(), hasFailureResponse(part));
    }

    /** Returns whether the part, which has been attempted, may be retried at the endpoint. */
    boolean allowsRetry(PartState part, EndpointRecord endpoint) {
        return isWithinBudget(part)
                && (!outliers.isOutlier(endpoint)
                        || context.nowS() >= endpoint.nextTrialAtS
                        || outliers.isLastResort(part, endpoint));
    }

    /** Returns whether another attempt at the part can't repeat an effect. */
    boolean isRetrySafe(PartState part) {
        QueryClass queryClass = part.query.queryClass;
        return switch (queryClass.retrySafety()) {
            case IDEMPOTENT -> true;
            case NOT_IDEMPOTENT -> part.attempts.stream().noneMatch(AttemptState::mayHaveExecuted);
            case IDEMPOTENCY_KEY ->
                part.attempts.stream()
                        .filter(AttemptState::mayHaveExecuted)
                        .findFirst()
                        .map(first -> context.nowS() <= first.sentAtS + queryClass.idempotencyWindowS())
                        .orElse(true);
        };
    }

    /**
     * Returns whether the last attempt ended with an error, with a reset or without being executed, so that another one
     * adds little work to it.
     */
    private static boolean hasFailureResponse(PartState part) {
        AttemptOutcome last = part.lastAttempt().outcome;
        return last == AttemptOutcome.ERROR || last == AttemptOutcome.RESET || last != null && last.neverExecuted();
    }
}
