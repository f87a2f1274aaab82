package pepperdock.scheduler;

/**
 * Finds outstanding attempts that take too long, and reports them to the policies concerned.
 *
 * <p>Rule: an attempt is overdue after a multiple of the lower quartile of part times, which is a failure of its endpoint. It
 * is lost when even queueing does not explain it: another failure, and a sign of overload. An endpoint silent for twice the
 * overdue time, while others answer, is unreachable. An attempt out for a share of its class's objective is late and counts
 * for the {@link ConcurrencyLimit}. Attempts on dropped idle connections are left to {@link IdleConnectionPolicy}. Inputs:
 * times in seconds. The quartile is used as it stays true while up to three quarters of the endpoints are slow, where the
 * mean follows them; under overload the quartile rises too. Guards against silent endpoints, whose attempts would otherwise
 * end at the query's deadline. Harms endpoints whose parts are much heavier than most.
 */
final class OverdueDetector {

    /** An attempt is overdue after so many times the lower quartile of part times: few healthy ones take as long. */
    private static final double OVERDUE_QUARTILES = 6;

    /** An attempt is lost after the mean part time and so many mean deviations: it may have queued until then. */
    private static final double LOST_DEVIATIONS = 5;

    /** An endpoint without an answer is unreachable after so many times the overdue time. */
    private static final double SILENT_OVERDUE_FACTOR = 2;

    /** An attempt is late from this share of its class's latency objective on: half remains to react. */
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

    /** How long an attempt may be outstanding before it is overdue, in seconds. */
    double overdueAfterS() {
        return OVERDUE_QUARTILES * estimates.partTime().lowerQuartileS();
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
        boolean othersAnswer = endpoint.lastOkAtS < attempt.sentAtS && estimates.lastAnswerAtS() > attempt.sentAtS;
        if (!endpoint.unreachable && othersAnswer && outstandingS > SILENT_OVERDUE_FACTOR * overdueAfterS) {
            outliers.onUnreachable(endpoint);
        }
        if (outstandingS > LATE_OBJECTIVE_SHARE * attempt.part.query.queryClass.latencyObjectiveS()) {
            limit.onLateAttempt(endpoint);
        }
    }

    private void onOverdue(AttemptState attempt) {
        attempt.overdue = true;
        attempt.endpoint.respondsWithErrors = false;
        idleConnections.observe(attempt, true);
        if (!idleConnections.isConnectionDropped(attempt)) {
            outliers.onFailure(attempt.endpoint);
        }
    }
}
