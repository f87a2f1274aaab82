package pepperdock.scheduler;

import java.util.Arrays;
import pepperdock.estimate.TokenBucket;

/**
 * Determines which queries are over their tenant's quota.
 *
 * <p>Each tenant has a token bucket, filled at this instance's portion of the tenant's rate; a query that finds no
 * token is over the quota. Inputs are rates in queries per second for the whole fleet, and the number of instances. The
 * quota has an effect only while {@link LoadShedder} rejects arrivals.
 *
 * <p>This guards against one tenant's excess load affecting all tenants. It does harm where a tenant's queries are
 * spread unevenly over the instances.
 */
final class TenantQuota {

    /** Queries that a tenant may save up, in shortest latency objectives at its rate, since bursts are normal. */
    private static final double BURST_OBJECTIVES = 3;

    /**
     * Least number of queries that a tenant may save up: a quota below one query per objective must still admit a few.
     */
    private static final double MIN_BURST_QUERIES = 3;

    private final SchedulerContext context;
    private final TokenBucket[] buckets;

    TenantQuota(SchedulerContext context) {
        this.context = context;
        buckets = new TokenBucket[context.settings().tenantRates().size()];
        Arrays.setAll(buckets, tenant -> new TokenBucket());
    }

    /** Counts a query of the tenant, and returns whether it is over the quota. */
    boolean isExceededBy(int tenant) {
        SchedulerSettings settings = context.settings();
        if (tenant < 0 || tenant >= buckets.length || settings.overQuotaWeight() >= 1) {
            return false;
        }
        double rate = settings.tenantRates().get(tenant) / settings.instances();
        double burst = Math.max(MIN_BURST_QUERIES, rate * BURST_OBJECTIVES * context.shortestObjectiveS());
        return !buckets[tenant].take(context.nowS(), rate, burst);
    }
}
