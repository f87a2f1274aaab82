package pepperdock.scheduler;

import java.util.Comparator;
import java.util.List;

/**
 * Decides how many parts of a query are sent. The heaviest parts are sent first.
 *
 * <p>A query that was queued gets max(1, ceil(N / (q + 1 + f s))) parts. This is the formula of section 3.2 of the RMAP
 * paper, with the {@link ConcurrencyLimit} as N, the queries queued at this instance as q, the queries with parts
 * outstanding as s, and f = 0.75. The count stays between Pmin, the fewest parts that reach the class's minimum
 * coverage, and all parts. A query that need not wait gets all of its parts, and fewer, down to Pmin, as the mean part
 * time rises, since queries then wait at the endpoints. Inputs are counts, weights, and the mean part time as a share
 * of the shortest objective.
 *
 * <p>This guards against full fan-out to endpoints that queue. It makes answers less complete where parts are slow for
 * a reason other than load.
 */
final class FanOutPolicy {

    /** The value f of the RMAP paper, section 3.2: weight of a query in progress relative to one that waits. */
    private static final double RUNNING_QUERY_WEIGHT = 0.75;

    /**
     * Width of the range of mean part times, as a share of the shortest objective, over which the count falls from all
     * parts to Pmin.
     */
    private static final double TRIM_RANGE_OBJECTIVE_SHARE = 0.2;

    /**
     * Number of instances up to which each instance's own concurrency limit shows the load well enough, because queries
     * queue at each instance and the formula trims them. With many instances, each receives a query only now and then
     * and learns of the load from part times alone, so trimming begins at a shorter part time.
     */
    private static final double FEW_INSTANCES = 2;

    private final SchedulerContext context;
    private final FleetEstimates estimates;

    FanOutPolicy(SchedulerContext context, FleetEstimates estimates) {
        this.context = context;
        this.estimates = estimates;
    }

    /**
     * Returns the number of parts to send of a query that was queued; {@code limit} is in parts, {@code waiting} does
     * not count the query itself.
     */
    int countForQueuedQuery(QueryState query, double limit, int waiting, long running) {
        int count = (int) Math.max(1, Math.ceil(limit / (waiting + 1 + RUNNING_QUERY_WEIGHT * running)));
        return Math.max(minimumCount(query), Math.min(count, query.parts.size()));
    }

    /** Returns the number of parts to send of a query that need not wait. */
    int countForImmediateDispatch(QueryState query) {
        double trimStartShare = ConcurrencyLimit.SLOW_PART_OBJECTIVE_SHARE
                * (1 + FEW_INSTANCES / context.settings().instances());
        double partShare = estimates.partTime().meanS() / context.shortestObjectiveS();
        double excess = (partShare - trimStartShare) / TRIM_RANGE_OBJECTIVE_SHARE;
        int parts = query.parts.size();
        return excess <= 0 ? parts : Math.max(minimumCount(query), (int) Math.ceil((1 - Math.min(1, excess)) * parts));
    }

    /** Returns Pmin: the fewest parts whose weight reaches the class's minimum coverage. */
    int minimumCount(QueryState query) {
        List<PartState> sorted = heaviestFirst(query);
        double minimum = query.queryClass.minimumCoverage() - QueryState.COVERAGE_TOLERANCE;
        int count = 0;
        for (double sum = 0; count < sorted.size() && sum < minimum; count++) {
            sum += sorted.get(count).weight;
        }
        return count;
    }

    /** Returns the query's parts, the heaviest first. */
    static List<PartState> heaviestFirst(QueryState query) {
        return query.parts.stream()
                .sorted(Comparator.comparingDouble(part -> -part.weight))
                .toList();
    }
}
