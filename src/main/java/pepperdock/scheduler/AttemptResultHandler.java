package pepperdock.scheduler;

/**
 * Passes the result of an attempt on to the policies that learn from it. A timely answer counts as no failure while it
 * takes at most {@link #SLOW_QUARTILE_MULTIPLE} times the lower quartile of part times, as a fraction of a failure
 * above that, and as a whole failure from twice that time on. Answers that were late because this process was paused
 * are not learnt from.
 */
final class AttemptResultHandler {

    /**
     * Multiple of the lower quartile of part times from which an answer counts as part of a failure: few healthy
     * answers take that long.
     */
    private static final double SLOW_QUARTILE_MULTIPLE = 3;

    /**
     * While the list is not watched, an unreachable endpoint that has not answered for this many shortest objectives
     * may have restarted unnoticed.
     */
    private static final double UNNOTICED_RESTART_OBJECTIVES = 2;

    private final SchedulerContext context;
    private final FleetEstimates estimates;
    private final EndpointListPoller listPoller;
    private final OutlierDetector outliers;
    private final IdleConnectionPolicy idleConnections;
    private final LoadShedder shedder;
    private final ConcurrencyLimit limit;
    private final SlowStart slowStart;

    AttemptResultHandler(
            SchedulerContext context,
            FleetEstimates estimates,
            EndpointListPoller listPoller,
            OutlierDetector outliers,
            IdleConnectionPolicy idleConnections,
            LoadShedder shedder,
            ConcurrencyLimit limit,
            SlowStart slowStart) {
        this.context = context;
        this.estimates = estimates;
        this.listPoller = listPoller;
        this.outliers = outliers;
        this.idleConnections = idleConnections;
        this.shedder = shedder;
        this.limit = limit;
        this.slowStart = slowStart;
    }

    /** Processes the result of an attempt whose outcome is set. */
    void onResult(AttemptState attempt, double elapsedS) {
        EndpointRecord endpoint = attempt.endpoint;
        AttemptOutcome outcome = attempt.outcome;
        if (outcome != AttemptOutcome.OK && attempt.overdue && endpoint.lastOkAtS < attempt.sentAtS) {
            endpoint.lastCallUnanswered = true;
            if (idleConnections.isConnectionDropped(attempt)) {
                outliers.clearFailures(endpoint);
            }
        }
        endpoint.respondsWithErrors =
                outcome == AttemptOutcome.ERROR || endpoint.respondsWithErrors && outcome == AttemptOutcome.CANCELLED;
        switch (outcome) {
            case OK -> onAnswer(attempt, elapsedS);
            case OVERLOADED -> {
                shedder.onOverload(endpoint);
                outliers.onOverloaded(endpoint);
                limit.onOverloaded();
            }
            case ERROR, RESET -> outliers.onFailure(endpoint);
            case CONNECT_FAILED -> {
                idleConnections.onConnectFailed();
                outliers.onUnreachable(endpoint);
            }
            case TIMEOUT, CANCELLED, NOT_SENT -> {}
        }
    }

    /** Processes the retraction of a result: a worker that sends damaged results is unhealthy. */
    void onRetracted(AttemptState attempt) {
        outliers.onFailure(attempt.endpoint);
    }

    private void onAnswer(AttemptState attempt, double elapsedS) {
        EndpointRecord endpoint = attempt.endpoint;
        endpoint.lastCallUnanswered = false;
        idleConnections.countResult(attempt, false);
        boolean delayedByStall =
                context.stalled() && elapsedS > estimates.partTime().lowerQuartileS();
        if (!delayedByStall) {
            estimates.addPartTime(attempt, elapsedS);
            limit.onAnswer();
            shedder.onAnswer(endpoint, elapsedS);
        }
        boolean mayHaveRestarted = !listPoller.isWatching()
                && context.nowS() - endpoint.lastOkAtS > UNNOTICED_RESTART_OBJECTIVES * context.shortestObjectiveS();
        endpoint.lastOkAtS = context.nowS();
        estimates.addAnsweredPart();
        if (endpoint.unreachable && mayHaveRestarted && !slowStart.isWarmingUp(endpoint)) {
            slowStart.onStarted(endpoint, context.nowS() - elapsedS);
        }
        endpoint.unreachable = false;
        if (!attempt.overdue && !delayedByStall) {
            outliers.onTimelyAnswer(attempt, slowness(elapsedS));
        }
    }

    /** Returns 0 for a quick answer, and up to 1 for one that is as bad as a failure. */
    private double slowness(double elapsedS) {
        double quartiles = elapsedS / estimates.partTime().lowerQuartileS();
        return Math.max(0, Math.min(1, quartiles / SLOW_QUARTILE_MULTIPLE - 1));
    }
}
