package pepperdock.scheduler;

import java.util.SplittableRandom;

/**
 * Rejects a random share of arrivals while parts are slow fleet-wide.
 *
 * <p>Rule: the share rises with each part of a healthy endpoint that takes longer than {@link #SLOW_PART_OBJECTIVE_SHARE} of
 * the shortest latency objective, and falls with each that is quicker. Tenants beyond their quota are rejected more often.
 * Inputs: part times as a share of the objective. Reason: the least {@link ConcurrencyLimit}, over many instances, may be
 * more than the fleet serves in time; then only fewer arrivals help. Guards against a fleet that answers everything too late.
 * Harms where parts are slow for another reason than load.
 */
final class LoadShedder {

    /** A part is too slow from this share of the shortest latency objective on: the rest is needed for queueing. */
    private static final double SLOW_PART_OBJECTIVE_SHARE = 0.6;

    /** Arrivals of a tenant beyond its quota are rejected so many times as often as others. */
    private static final double OVER_QUOTA_FACTOR = 4;

    /** Largest share of arrivals that is rejected: the rest keeps showing how slow parts are. */
    private static final double MAX_REJECTED_SHARE = 0.9;

    private final SchedulerContext context;
    private final OutlierDetector outliers;
    private final SplittableRandom random;
    private double rejectedShare;

    LoadShedder(SchedulerContext context, OutlierDetector outliers, SplittableRandom random) {
        this.context = context;
        this.outliers = outliers;
        this.random = random;
    }

    /** Whether arrivals are rejected at present. */
    boolean isShedding() {
        return rejectedShare != 0;
    }

    /** Whether to reject this arrival; draws from the seed while arrivals are rejected. */
    boolean rejects(QueryState query) {
        return rejectedShare > 0 && random.nextDouble() < rejectedShare * (query.overQuota ? OVER_QUOTA_FACTOR : 1);
    }

    /** A part of the endpoint was answered after {@code elapsedS}. */
    void onAnswer(EndpointRecord endpoint, double elapsedS) {
        adjust(endpoint, elapsedS / (SLOW_PART_OBJECTIVE_SHARE * context.shortestObjectiveS()) - 1);
    }

    /** The endpoint has rejected an attempt as overloaded, or an attempt at it is lost: counts as the slowest part. */
    void onOverload(EndpointRecord endpoint) {
        adjust(endpoint, 1);
    }

    private void adjust(EndpointRecord endpoint, double excess) {
        if (!outliers.isOutlier(endpoint)) {
            double moved = rejectedShare + FleetEstimates.SAMPLE_GAIN * Math.min(1, excess);
            rejectedShare = Math.max(0, Math.min(MAX_REJECTED_SHARE, moved));
        }
    }
}
