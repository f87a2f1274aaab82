package pepperdock.scheduler;

import java.util.Comparator;
import java.util.List;

/**
 * How many parts of a query are sent, heaviest first.
 *
 * <p>Rule, from the RMAP paper: a query that waited gets max(1, ceil(N / (q + 1 + f s))) parts, the
 * formula of the RMAP paper, section 3.2, with the {@link ConcurrencyLimit} as N, the queries waiting at this instance as q,
 * those with parts outstanding as s, and f = 0.75. The count stays between Pmin, the fewest parts that reach the class's
 * minimum coverage, and all parts. A query that need not wait gets all of them, and fewer down to Pmin as the mean part
 * takes longer, since then queries wait at the endpoints. Inputs: counts, weights, and the mean part time as a share of the
 * shortest objective. Guards against full fan-out into endpoints that queue. Harms answers' completeness where parts are slow
 * for another reason than load.
 */
final class FanOutPolicy {

    /** f of the RMAP paper, section 3.2: weight of a query in progress against one that waits. The paper's value. */
    private static final double RUNNING_QUERY_WEIGHT = 0.75;

    /** Range of the mean part time, as a share of the shortest objective, over which the count falls from all to Pmin. */
    private static final double TRIM_RANGE_OBJECTIVE_SHARE = 0.2;

    /**
     * Instances whose own limits see the load well enough: each has queries that wait, which the formula trims. One of many
     * sees a query now and then, and learns of the load by the time of parts alone, so trimming begins earlier there.
     */
    private static final double FEW_INSTANCES = 2;

    private final SchedulerContext context;
    private final FleetEstimates estimates;

    FanOutPolicy(SchedulerContext context, FleetEstimates estimates) {
        this.context = context;
        this.estimates = estimates;
    }

    /** Parts to send of a query that waited; {@code limit} in parts, {@code waiting} without the query itself. */
    int countAfterWaiting(QueryState query, double limit, int waiting, long running) {
        int count = (int) Math.max(1, Math.ceil(limit / (waiting + 1 + RUNNING_QUERY_WEIGHT * running)));
        return Math.max(minimumCount(query), Math.min(count, query.parts.size()));
    }

    /** Parts to send of a query that need not wait. */
    int countAtOnce(QueryState query) {
        double fromShare = ConcurrencyLimit.SLOW_PART_OBJECTIVE_SHARE
                * (1 + FEW_INSTANCES / context.settings().instances());
        double partShare = estimates.partTime().meanS() / context.shortestObjectiveS();
        double excess = (partShare - fromShare) / TRIM_RANGE_OBJECTIVE_SHARE;
        int parts = query.parts.size();
        return excess <= 0 ? parts : Math.max(minimumCount(query), (int) Math.ceil((1 - Math.min(1, excess)) * parts));
    }

    /** Pmin: the fewest parts whose weight reaches the class's minimum coverage. */
    int minimumCount(QueryState query) {
        List<PartState> sorted = heaviestFirst(query);
        double minimum = query.queryClass.minimumCoverage() - QueryState.COVERAGE_TOLERANCE;
        int count = 0;
        for (double sum = 0; count < sorted.size() && sum < minimum; count++) {
            sum += sorted.get(count).weight;
        }
        return count;
    }

    /** The query's parts, the heaviest first. */
    static List<PartState> heaviestFirst(QueryState query) {
        return query.parts.stream()
                .sorted(Comparator.comparingDouble(part -> -part.weight))
                .toList();
    }
}
