package pepperdock.scheduler;

/**
 * Limits the parts that this instance has outstanding. The limit takes the place of the processor count in section 3.2
 * of the RMAP paper.
 *
 * <p>There is no limit until the first decrease. A decrease sets the limit to a share of the parts outstanding, but
 * never below the parts of two whole queries; each part answered within its objective raises it. The limit is decreased
 * when an endpoint rejects an attempt as overloaded, when parts at two endpoints are late within one objective, and
 * while the mean part time is high. Inputs are outcomes, and part times in seconds.
 *
 * <p>This guards against queues at the endpoints, which no single instance sees as a whole. After a short fault the
 * limit is too low until answers have raised it again. With many instances, the sum of their lowest limits may exceed
 * what the fleet serves in time; {@link LoadShedder} covers that case.
 */
final class ConcurrencyLimit {

    /**
     * The limit is decreased while the mean part time exceeds this share of the shortest latency objective: parts then
     * queue at the endpoints.
     */
    static final double SLOW_PART_OBJECTIVE_SHARE = 0.3;

    /**
     * Increase of the limit per round of answers, as in TCP's congestion avoidance: each timely answer adds this value
     * divided by the limit.
     */
    private static final double INCREASE_PER_ROUND = 2;

    /**
     * Share of the parts outstanding that a decrease leaves. There is at most one decrease per mean part time, since
     * its effect does not show sooner.
     */
    private static final double DECREASE_FACTOR = 0.85;

    /** Number of whole queries that always fit, so that a decrease never stops the service. */
    private static final int MIN_QUERIES = 2;

    private final SchedulerContext context;
    private final FleetEstimates estimates;
    private int outstanding;
    private double limit = Double.POSITIVE_INFINITY;
    private double lastDecreaseAtS = Double.NEGATIVE_INFINITY;
    private double meanPartsPerQuery;
    private EndpointRecord lastLateEndpoint;
    private double lastLateAtS = Double.NEGATIVE_INFINITY;

    ConcurrencyLimit(SchedulerContext context, FleetEstimates estimates) {
        this.context = context;
        this.estimates = estimates;
    }

    /** Returns the limit in parts, infinite before the first decrease. */
    double limit() {
        return limit;
    }

    /** Returns whether fewer parts are outstanding than this share of the limit. */
    boolean hasRoom(double share) {
        return outstanding < share * limit;
    }

    /** Records the number of parts of a query. */
    void onQuery(int parts) {
        meanPartsPerQuery += (parts - meanPartsPerQuery) * (meanPartsPerQuery == 0 ? 1 : FleetEstimates.SAMPLE_GAIN);
    }

    /** Counts an attempt that is sent. */
    void onSend() {
        outstanding++;
    }

    /** Counts an attempt that has ended. */
    void onResult() {
        outstanding--;
    }

    /** Raises the limit after a part was answered within its latency objective. */
    void onTimelyPart() {
        limit += Math.min(1, INCREASE_PER_ROUND / limit);
    }

    /** Decreases the limit after an endpoint has rejected an attempt as overloaded. */
    void onOverloaded() {
        decrease();
    }

    /** Decreases the limit if, after this answer, the mean part time shows that parts queue. */
    void onAnswer() {
        if (estimates.partTime().meanS() > SLOW_PART_OBJECTIVE_SHARE * context.shortestObjectiveS()) {
            decrease();
        }
    }

    /**
     * Records a late attempt at the endpoint; late attempts at two endpoints within one objective decrease the limit.
     */
    void onLateAttempt(EndpointRecord endpoint) {
        if (lastLateEndpoint != null
                && lastLateEndpoint != endpoint
                && context.nowS() - lastLateAtS < context.shortestObjectiveS()) {
            decrease();
        }
        lastLateEndpoint = endpoint;
        lastLateAtS = context.nowS();
    }

    private void decrease() {
        if (context.nowS() - lastDecreaseAtS > estimates.partTime().meanS()) {
            lastDecreaseAtS = context.nowS();
            limit = Math.max(DECREASE_FACTOR * Math.min(outstanding, limit), MIN_QUERIES * meanPartsPerQuery);
        }
    }
}
