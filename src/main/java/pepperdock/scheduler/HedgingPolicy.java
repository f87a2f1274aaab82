package pepperdock.scheduler;

/**
 * Decides what follows on a part that is not answered: nothing yet, another attempt, or the cancellation of the present one.
 *
 * <p>Rule: a part without an outstanding attempt is sent again. One whose only attempt seems lost gets a hedged request where
 * hedging is allowed and the class idempotent; elsewhere its attempt is cancelled, so that a retry may follow. An attempt
 * seems lost when it is overdue at an ejected endpoint, on a dropped connection, or for longer than queueing explains; and,
 * where the rules state a retry budget, at the last moment before the latency objective. Inputs: times of attempts in
 * seconds. Guards against the tail of slow and silent endpoints. Harms under overload, to which it adds work; so it needs
 * the retry budget, and the last-moment rule applies only while no load is shed.
 */
final class HedgingPolicy {

    /** What follows on a part. */
    enum FollowUp {
        /** The part is left alone. */
        NONE,
        /** Another attempt. */
        SEND,
        /** Cancellation of the last attempt. */
        CANCEL
    }

    /**
     * At the last moment for another attempt before the objective, a part out for so many times the lower quartile of part
     * times is hedged: most parts are answered by then.
     */
    private static final double LAST_MOMENT_QUARTILES = 3;

    /** The last moment lasts so many sweeps, so that none is missed. */
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

    /** Whether attempts at the part may run beside each other. */
    boolean mayHedge(PartState part) {
        return context.settings().limits().hedging() && isIdempotent(part);
    }

    /** What follows on a wanted part that is not answered. */
    FollowUp followUp(PartState part) {
        double answerUntilS = deadlines.answerUntilS(part.query);
        if (context.nowS() + estimates.partTime().meanS() > answerUntilS) {
            return FollowUp.NONE;
        }
        if (part.outstanding == 0) {
            return FollowUp.SEND;
        }
        double leftS = timeLeftS(part.query, answerUntilS);
        if (part.outstanding > 1 || leftS < 0) {
            return FollowUp.NONE;
        }
        AttemptState last = part.lastAttempt();
        boolean dropped = last.overdue && idleConnections.isConnectionDropped(last);
        boolean seemsLost = dropped
                || last.lost
                || last.overdue && outliers.isOutlier(last.endpoint)
                || isLastMoment(part, last, leftS);
        if (last.outcome != null
                || !seemsLost
                || last.cancelRequested
                || !retries.hasBudget(part)
                || !part.hasAttemptsLeft()) {
            return FollowUp.NONE;
        }
        return replace(part, last, dropped);
    }

    private FollowUp replace(PartState part, AttemptState last, boolean dropped) {
        if (mayHedge(part) && !dropped) {
            return FollowUp.SEND;
        }
        boolean mayCancel = context.settings().limits().cancellation() && isIdempotent(part);
        return mayCancel && (dropped || hasOtherReplica(part, last)) ? FollowUp.CANCEL : FollowUp.NONE;
    }

    /** Seconds in which an attempt sent now could wait and still be answered before the next deadline of the query. */
    private double timeLeftS(QueryState query, double answerUntilS) {
        double deadlineS = context.nowS() < query.objectiveAtS
                ? Math.min(query.objectiveAtS - deadlines.marginS(), answerUntilS)
                : answerUntilS;
        return deadlineS - context.nowS() - estimates.cautiousPartTimeS();
    }

    private boolean isLastMoment(PartState part, AttemptState last, double leftS) {
        return retries.isBudgetStated()
                && !shedder.isShedding()
                && mayHedge(part)
                && leftS
                        < LAST_MOMENT_SWEEPS
                                * SweepTimer.PERIOD_TICKS
                                * context.settings().tickS()
                && context.nowS() < part.query.objectiveAtS
                && context.nowS() - last.sentAtS
                        > LAST_MOMENT_QUARTILES * estimates.partTime().lowerQuartileS();
    }

    private boolean hasOtherReplica(PartState part, AttemptState last) {
        return registry.replicas(part.shard).stream()
                .anyMatch(endpoint -> !outliers.isOutlier(endpoint) && endpoint != last.endpoint);
    }

    private static boolean isIdempotent(PartState part) {
        return part.query.queryClass.retrySafety() == RetrySafety.IDEMPOTENT;
    }
}
