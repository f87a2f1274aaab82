package pepperdock.scheduler;

/** The planned distribution of work over the replicas of a shard. */
@FunctionalInterface
public interface PlannedShares {

    /**
     * Returns the share of the shard's work planned for the endpoint, above 0; only ratios between replicas of a shard
     * matter.
     */
    double shareOf(int shard, String endpointId);
}
