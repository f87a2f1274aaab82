package pepperdock.scheduler;

import java.util.SplittableRandom;

/**
 * Rejects a random share of arrivals while parts are slow in the whole fleet.
 *
 * <p>The share rises with each part of a healthy endpoint that takes longer than {@link #SLOW_PART_OBJECTIVE_SHARE} of
 * the shortest latency objective, and falls with each part that is quicker. Queries of tenants over their quota are
 * rejected more often. Inputs are part times as a share of the objective. With many instances, the sum of the lowest
 * {@link ConcurrencyLimit}s may exceed what the fleet serves in time; then only admitting fewer arrivals helps.
 *
 * <p>This guards against a fleet that answers everything too late. It rejects queries needlessly where parts are slow
 * for a reason other than load.
 */
final class LoadShedder {

    /** Share of the shortest latency objective from which a part is too slow: the rest is needed for queueing. */
    private static final double SLOW_PART_OBJECTIVE_SHARE = 0.6;

    /** Factor by which arrivals of a tenant over its quota are rejected more often than others. */
    private static final double OVER_QUOTA_FACTOR = 4;

    /** Largest share of arrivals that is rejected; the arrivals that are served keep showing how slow parts are. */
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

    /** Returns whether arrivals are rejected at present. */
    boolean isShedding() {
        return rejectedShare != 0;
    }

    /** Returns whether to reject this arrival; draws a random number only while arrivals are rejected. */
    boolean shouldReject(QueryState query) {
        return rejectedShare > 0 && random.nextDouble() < rejectedShare * (query.overQuota ? OVER_QUOTA_FACTOR : 1);
    }

    /** Adjusts the share after the endpoint has answered a part within {@code elapsedS}. */
    void onAnswer(EndpointRecord endpoint, double elapsedS) {
        adjust(endpoint, elapsedS / (SLOW_PART_OBJECTIVE_SHARE * context.shortestObjectiveS()) - 1);
    }

    /**
     * Raises the share, as for the slowest part, after the endpoint has rejected an attempt as overloaded or an attempt
     * at it is lost.
     */
    void onOverload(EndpointRecord endpoint) {
        adjust(endpoint, 1);
    }

    private void adjust(EndpointRecord endpoint, double excess) {
        if (!outliers.isOutlier(endpoint)) {
            double adjusted = rejectedShare + FleetEstimates.SAMPLE_GAIN * Math.min(1, excess);
            rejectedShare = Math.max(0, Math.min(MAX_REJECTED_SHARE, adjusted));
        }
    }
}
