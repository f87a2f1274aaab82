package pepperdock.scheduler;

/**
 * Decides how a part that is not answered is followed up: nothing is done yet, another attempt is sent, or the current
 * attempt is cancelled.
 *
 * <p>A part without an outstanding attempt is sent again. A part whose only attempt seems lost gets a hedged request
 * where hedging is allowed and the class is idempotent; elsewhere its attempt is cancelled, so that a retry may follow.
 * An attempt seems lost when it is overdue at an ejected endpoint, when it is overdue on a dropped connection, or when
 * it is outstanding for longer than queueing explains; where the rules set a retry budget, an attempt also seems lost
 * at the last moment before the latency objective. Inputs are times of attempts in seconds.
 *
 * <p>This guards against the latency tail caused by slow and silent endpoints. Under overload it adds work; it
 * therefore needs the retry budget, and the last-moment rule applies only while no load is shed.
 */
final class HedgingPolicy {

    /** The possible reactions to a part that is not answered. */
    enum FollowUp {
        /** Does nothing. */
        NONE,
        /** Sends another attempt. */
        SEND,
        /** Cancels the last attempt. */
        CANCEL
    }

    /**
     * A part is hedged at the last moment before the objective if it has been outstanding for more than this multiple
     * of the lower quartile of part times: most parts are answered by then.
     */
    private static final double LAST_MOMENT_QUARTILE_MULTIPLE = 3;

    /** Length of the last moment in sweeps, long enough that it is not missed. */
    private static final int LAST_MOMENT_SWEEPS = 2;

    private final SchedulerContext context;
    private final EndpointRegistry registry;
    private final FleetEstimates estimates;
    private final AnswerDeadlines deadlines;
    private final OutlierDetector outliers;
    private final IdleConnectionPolicy idleConnections;
    private final LoadShedder shedder;
    private final RetryPolicy retries;

    HedgingPolicy(
            SchedulerContext context,
            EndpointRegistry registry,
            FleetEstimates estimates,
            AnswerDeadlines deadlines,
            OutlierDetector outliers,
            IdleConnectionPolicy idleConnections,
            LoadShedder shedder,
            RetryPolicy retries) {
        this.context = context;
        this.registry = registry;
        this.estimates = estimates;
        this.deadlines = deadlines;
        this.outliers = outliers;
        this.idleConnections = idleConnections;
        this.shedder = shedder;
        this.retries = retries;
    }

    /** Returns whether attempts at the part may run concurrently. */
    boolean mayHedge(PartState part) {
        return context.settings().limits().hedging() && isIdempotent(part);
    }

    /** Returns how to follow up a wanted part that is not answered. */
    FollowUp followUp(PartState part) {
        double answerUntilS = deadlines.answerUntilS(part.query);
        if (context.nowS() + estimates.partTime().meanS() > answerUntilS) {
            return FollowUp.NONE;
        }
        if (part.outstanding == 0) {
            return FollowUp.SEND;
        }
        double slackS = slackS(part.query, answerUntilS);
        if (part.outstanding > 1 || slackS < 0) {
            return FollowUp.NONE;
        }
        AttemptState last = part.lastAttempt();
        boolean dropped = last.overdue && idleConnections.isConnectionDropped(last);
        boolean seemsLost = dropped
                || last.lost
                || last.overdue && outliers.isOutlier(last.endpoint)
                || isLastMoment(part, last, slackS);
        if (last.outcome != null
                || !seemsLost
                || last.cancelRequested
                || !retries.isWithinBudget(part)
                || !part.hasAttemptsLeft()) {
            return FollowUp.NONE;
        }
        return replaceAttempt(part, last, dropped);
    }

    private FollowUp replaceAttempt(PartState part, AttemptState last, boolean dropped) {
        if (mayHedge(part) && !dropped) {
            return FollowUp.SEND;
        }
        boolean mayCancel = context.settings().limits().cancellation() && isIdempotent(part);
        return mayCancel && (dropped || hasOtherReplica(part, last)) ? FollowUp.CANCEL : FollowUp.NONE;
    }

    /**
     * Returns the seconds by which an attempt sent now could be delayed and still be answered before the query's next
     * deadline.
     */
    private double slackS(QueryState query, double answerUntilS) {
        double deadlineS = context.nowS() < query.objectiveAtS
                ? Math.min(query.objectiveAtS - deadlines.marginS(), answerUntilS)
                : answerUntilS;
        return deadlineS - context.nowS() - estimates.conservativePartTimeS();
    }

    private boolean isLastMoment(PartState part, AttemptState last, double slackS) {
        return retries.hasWindowBudget()
                && !shedder.isShedding()
                && mayHedge(part)
                && slackS
                        < LAST_MOMENT_SWEEPS
                                * SweepTimer.PERIOD_TICKS
                                * context.settings().tickS()
                && context.nowS() < part.query.objectiveAtS
                && context.nowS() - last.sentAtS
                        > LAST_MOMENT_QUARTILE_MULTIPLE * estimates.partTime().lowerQuartileS();
    }

    private boolean hasOtherReplica(PartState part, AttemptState last) {
        return registry.replicas(part.shard).stream()
                .anyMatch(endpoint -> !outliers.isOutlier(endpoint) && endpoint != last.endpoint);
    }

    private static boolean isIdempotent(PartState part) {
        return part.query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT;
    }
}
