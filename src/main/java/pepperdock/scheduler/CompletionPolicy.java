package pepperdock.scheduler;

/**
 * Decides when a dispatched query is answered, rejected or failed.
 *
 * <p>A query is answered as soon as it is complete. At its latency objective, or when no further part can be answered,
 * it is answered if it has reached the class's minimum coverage, and the answer is marked incomplete. It ends without
 * an answer when its time is up, when the minimum coverage is out of reach, or when half of its time has passed and no
 * endpoint was reached. Inputs are coverage as shares of weight, and deadlines in seconds.
 *
 * <p>This guards against answers that come too late for the client, and against incomplete answers marked as complete.
 * A part that would have been answered just after the objective is lost.
 */
final class CompletionPolicy {

    /**
     * Mean deviations that are added to the mean part time to get the time reserved for a second stage before the
     * objective.
     */
    private static final double SECOND_STAGE_DEVIATIONS = 2;

    private final SchedulerContext context;
    private final EndpointRegistry registry;
    private final FleetEstimates estimates;
    private final AnswerDeadlines deadlines;
    private final RetryPolicy retries;
    private final QueryFinisher finisher;

    CompletionPolicy(
            SchedulerContext context,
            EndpointRegistry registry,
            FleetEstimates estimates,
            AnswerDeadlines deadlines,
            RetryPolicy retries,
            QueryFinisher finisher) {
        this.context = context;
        this.registry = registry;
        this.estimates = estimates;
        this.deadlines = deadlines;
        this.retries = retries;
        this.finisher = finisher;
    }

    /** Ends the query, or its stage, if that is due. */
    void finishIfDue(QueryState query) {
        if (awaitsSecondStageParts(query)) {
            return;
        }
        if (isComplete(query)) {
            finisher.answer(query, query.stage == QueryState.FIRST_STAGE || query.firstStageComplete);
            return;
        }
        double minimum = minimumCoverage(query) - QueryState.COVERAGE_TOLERANCE;
        boolean hasMinimumCoverage = query.coverage >= minimum;
        boolean partialAnswerDue =
                hasMinimumCoverage && (context.nowS() >= partialAnswerAtS(query) || !hasPendingParts(query));
        if (partialAnswerDue) {
            finisher.answer(query, false);
        } else if (context.nowS() >= deadlines.answerUntilS(query)
                || reachableCoverage(query) < minimum
                || hasReachedNoEndpoint(query)) {
            if (hasMinimumCoverage) {
                finisher.answer(query, false);
            } else {
                finisher.endWithoutAnswer(query);
            }
        }
    }

    /** Returns the weight of the parts that are answered or may still be answered, 0 to 1. */
    double reachableCoverage(QueryState query) {
        return query.parts.stream()
                .filter(this::isReachable)
                .mapToDouble(part -> part.weight)
                .sum();
    }

    /**
     * Returns whether half of the query's time has passed and no attempt was sent or none reached an endpoint. The
     * client then still has time to turn to another instance.
     */
    boolean hasReachedNoEndpoint(QueryState query) {
        return context.nowS() >= query.halfTimeAtS - deadlines.marginS()
                && query.parts.stream()
                        .flatMap(part -> part.attempts.stream())
                        .allMatch(attempt -> attempt.outcome == AttemptOutcome.CONNECT_FAILED
                                || attempt.outcome == AttemptOutcome.NOT_SENT);
    }

    private boolean awaitsSecondStageParts(QueryState query) {
        return query.stage == QueryState.SECOND_STAGE
                && query.parts.isEmpty()
                && context.nowS() < deadlines.answerUntilS(query);
    }

    private static boolean isComplete(QueryState query) {
        if (query.stage == QueryState.FIRST_STAGE) {
            return query.coverage >= query.queryClass.completeCoverage() - QueryState.COVERAGE_TOLERANCE;
        }
        return !query.parts.isEmpty() && query.parts.stream().allMatch(part -> part.isAnswered());
    }

    /**
     * Returns the least coverage that may be answered; a class without partial answers needs a complete second stage.
     */
    private static double minimumCoverage(QueryState query) {
        QueryClass queryClass = query.queryClass;
        if (queryClass.minimumCoverage() < queryClass.completeCoverage()) {
            return queryClass.minimumCoverage();
        }
        return query.stage == QueryState.FIRST_STAGE ? queryClass.completeCoverage() : 1;
    }

    /** Returns when an incomplete answer is due: at the objective, or earlier where a second stage must follow. */
    private double partialAnswerAtS(QueryState query) {
        boolean secondStageFollows = query.stage == QueryState.FIRST_STAGE && query.queryClass.secondStageParts() > 0;
        double secondStageS = secondStageFollows
                ? estimates.partTime().meanS()
                        + SECOND_STAGE_DEVIATIONS * estimates.partTime().deviationS()
                : 0;
        return Math.min(query.objectiveAtS, query.deadlineAtS) - deadlines.marginS() - secondStageS;
    }

    private static boolean hasPendingParts(QueryState query) {
        return query.parts.stream()
                .anyMatch(
                        part -> part.wanted && !part.isAnswered() && (part.outstanding > 0 || part.hasAttemptsLeft()));
    }

    private boolean isReachable(PartState part) {
        return part.isAnswered() || part.wanted && (part.outstanding > 0 || mayBeRetried(part));
    }

    private boolean mayBeRetried(PartState part) {
        return part.hasAttemptsLeft()
                && retries.isRetrySafe(part)
                && !registry.replicas(part.shard).isEmpty();
    }
}
