package pepperdock.scheduler;

/**
 * Finds outstanding attempts that take too long, and reports them to the policies concerned.
 *
 * <p>An attempt is overdue after a multiple of the lower quartile of part times, which counts as a failure of its
 * endpoint. It is lost when even queueing does not explain its duration, which counts as another failure and as a sign
 * of overload. An endpoint that gives no answer for twice the overdue time, while others answer, is unreachable. An
 * attempt outstanding for longer than a share of its class's objective is late and is reported to the
 * {@link ConcurrencyLimit}. Attempts on dropped idle connections are left to {@link IdleConnectionPolicy}. Inputs are
 * times in seconds. The lower quartile is used because it stays correct while up to three quarters of the endpoints are
 * slow, whereas the mean follows them; under overload the quartile rises too.
 *
 * <p>This guards against silent endpoints, whose attempts would otherwise end at the query's deadline. It does harm to
 * endpoints whose parts are much heavier than most.
 */
final class OverdueDetector {

    /**
     * Multiple of the lower quartile of part times after which an attempt is overdue: few healthy attempts take that
     * long.
     */
    private static final double OVERDUE_QUARTILE_MULTIPLE = 6;

    /** Mean deviations above the mean part time after which an attempt is lost: until then it may have been queued. */
    private static final double LOST_DEVIATIONS = 5;

    /** Multiple of the overdue time after which an endpoint without an answer is unreachable. */
    private static final double SILENT_OVERDUE_FACTOR = 2;

    /**
     * Share of its class's latency objective after which an attempt is late: half of the objective remains to react.
     */
    private static final double LATE_OBJECTIVE_SHARE = 0.5;

    private final SchedulerContext context;
    private final EndpointRegistry registry;
    private final FleetEstimates estimates;
    private final OutlierDetector outliers;
    private final IdleConnectionPolicy idleConnections;
    private final LoadShedder shedder;
    private final ConcurrencyLimit limit;

    OverdueDetector(
            SchedulerContext context,
            EndpointRegistry registry,
            FleetEstimates estimates,
            OutlierDetector outliers,
            IdleConnectionPolicy idleConnections,
            LoadShedder shedder,
            ConcurrencyLimit limit) {
        this.context = context;
        this.registry = registry;
        this.estimates = estimates;
        this.outliers = outliers;
        this.idleConnections = idleConnections;
        this.shedder = shedder;
        this.limit = limit;
    }

    /** Checks all outstanding attempts. */
    void checkAll() {
        double overdueAfterS = overdueAfterS();
        double queueingS = estimates.partTime().meanS()
                + LOST_DEVIATIONS * estimates.partTime().deviationS();
        double lostAfterS = Math.max(overdueAfterS, queueingS);
        for (EndpointRecord endpoint : registry.all()) {
            for (AttemptState attempt : endpoint.outstanding) {
                check(attempt, overdueAfterS, lostAfterS);
            }
        }
    }

    /** Returns how long an attempt may be outstanding before it is overdue, in seconds. */
    double overdueAfterS() {
        return OVERDUE_QUARTILE_MULTIPLE * estimates.partTime().lowerQuartileS();
    }

    private void check(AttemptState attempt, double overdueAfterS, double lostAfterS) {
        EndpointRecord endpoint = attempt.endpoint;
        double outstandingS = context.nowS() - attempt.sentAtS;
        if (!attempt.overdue && outstandingS > overdueAfterS) {
            onOverdue(attempt);
        }
        if (idleConnections.isConnectionDropped(attempt)) {
            return;
        }
        if (!attempt.lost && outstandingS > lostAfterS) {
            attempt.lost = true;
            shedder.onOverload(endpoint);
            outliers.onFailure(endpoint);
        }
        boolean onlyOthersAnswer = endpoint.lastOkAtS < attempt.sentAtS && estimates.lastAnswerAtS() > attempt.sentAtS;
        if (!endpoint.unreachable && onlyOthersAnswer && outstandingS > SILENT_OVERDUE_FACTOR * overdueAfterS) {
            outliers.onUnreachable(endpoint);
        }
        if (outstandingS > LATE_OBJECTIVE_SHARE * attempt.part.query.queryClass.latencyObjectiveS()) {
            limit.onLateAttempt(endpoint);
        }
    }

    private void onOverdue(AttemptState attempt) {
        attempt.overdue = true;
        attempt.endpoint.respondsWithErrors = false;
        idleConnections.countResult(attempt, true);
        if (!idleConnections.isConnectionDropped(attempt)) {
            outliers.onFailure(attempt.endpoint);
        }
    }
}
