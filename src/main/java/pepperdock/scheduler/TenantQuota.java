package pepperdock.scheduler;

import java.util.Arrays;
import pepperdock.estimate.TokenBucket;

/**
 * Knows which queries are beyond their tenant's quota.
 *
 * <p>Rule: a token bucket per tenant, filled at this instance's part of the tenant's rate; a query that finds no token is
 * beyond the quota. Inputs: rates in queries a second for the fleet, the number of instances. Has effect only while
 * {@link LoadShedder} rejects arrivals. Guards against one tenant's excess being paid by all; harms where a tenant's
 * queries are spread unevenly over the instances.
 */
final class TenantQuota {

    /** What a tenant may save up, in shortest latency objectives of its rate: bursts are ordinary. */
    private static final double BURST_OBJECTIVES = 3;

    /** Least that a tenant may save up, in queries: a quota below one query an objective must still admit a few. */
    private static final double MIN_BURST_QUERIES = 3;

    private final SchedulerContext context;
    private final TokenBucket[] buckets;

    TenantQuota(SchedulerContext context) {
        this.context = context;
        buckets = new TokenBucket[context.settings().tenantRates().size()];
        Arrays.setAll(buckets, tenant -> new TokenBucket());
    }

    /** Counts a query of the tenant, and tells whether it is beyond the quota. */
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
