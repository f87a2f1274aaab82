package pepperdock.scheduler;

/**
 * Bounds the parts that this instance has outstanding; the limit stands for the processor count of the RMAP paper, section
 * 3.2.
 *
 * <p>Rule: unset at the start. A cut sets it to a share of the parts outstanding, never below two whole queries' parts; each
 * part answered within its objective raises it. It is cut when an endpoint rejects an attempt as overloaded, when parts at
 * two endpoints are late within one objective, and while the mean part is slow. Inputs: outcomes and part times in seconds.
 * Guards against queues at the endpoints, which no instance sees as a whole. Harms after a short fault, until answers have
 * raised it again; with many instances the least limits together may exceed what the fleet serves in time, which
 * {@link LoadShedder} covers.
 */
final class ConcurrencyLimit {

    /** The limit is cut while the mean part takes this share of the shortest latency objective: endpoints queue. */
    static final double SLOW_PART_OBJECTIVE_SHARE = 0.3;

    /** Raise by one answer, divided by the limit: so much for each round of answers, as in TCP's congestion avoidance. */
    private static final double RAISE_PER_ROUND = 2;

    /** What a cut leaves of the parts outstanding; there is one cut per part time, as its effect shows no sooner. */
    private static final double CUT_FACTOR = 0.85;

    /** Whole queries that always fit, so that a cut never stops the service. */
    private static final int MIN_QUERIES = 2;

    private final SchedulerContext context;
    private final FleetEstimates estimates;
    private int outstanding;
    private double limit = Double.POSITIVE_INFINITY;
    private double lastCutAtS = Double.NEGATIVE_INFINITY;
    private double typicalParts;
    private EndpointRecord lastLateEndpoint;
    private double lastLateAtS = Double.NEGATIVE_INFINITY;

    ConcurrencyLimit(SchedulerContext context, FleetEstimates estimates) {
        this.context = context;
        this.estimates = estimates;
    }

    /** The limit in parts, infinite before the first cut. */
    double limit() {
        return limit;
    }

    /** Whether fewer parts are outstanding than this share of the limit. */
    boolean hasRoom(double share) {
        return outstanding < share * limit;
    }

    /** Takes in how many parts a query has. */
    void onQuery(int parts) {
        typicalParts += (parts - typicalParts) * (typicalParts == 0 ? 1 : FleetEstimates.SAMPLE_GAIN);
    }

    /** An attempt is sent. */
    void onSend() {
        outstanding++;
    }

    /** An attempt has ended. */
    void onResult() {
        outstanding--;
    }

    /** A part was answered within its latency objective. */
    void onTimelyPart() {
        limit += Math.min(1, RAISE_PER_ROUND / limit);
    }

    /** An endpoint has rejected an attempt as overloaded. */
    void onOverloaded() {
        cut();
    }

    /** A part was answered; the mean tells whether parts queue. */
    void onAnswer() {
        if (estimates.partTime().meanS() > SLOW_PART_OBJECTIVE_SHARE * context.shortestObjectiveS()) {
            cut();
        }
    }

    /** An attempt at the endpoint is late; late attempts at two endpoints within one objective cut the limit. */
    void onLateAttempt(EndpointRecord endpoint) {
        if (lastLateEndpoint != null
                && lastLateEndpoint != endpoint
                && context.nowS() - lastLateAtS < context.shortestObjectiveS()) {
            cut();
        }
        lastLateEndpoint = endpoint;
        lastLateAtS = context.nowS();
    }

    private void cut() {
        if (context.nowS() - lastCutAtS > estimates.partTime().meanS()) {
            lastCutAtS = context.nowS();
            limit = Math.max(CUT_FACTOR * Math.min(outstanding, limit), MIN_QUERIES * typicalParts);
        }
    }
}
