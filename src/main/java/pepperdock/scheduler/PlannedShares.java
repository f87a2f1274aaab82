package pepperdock.scheduler;

/** The planned distribution of work over the replicas of a shard. */
@FunctionalInterface
public interface PlannedShares {

    /** Share of the shard's work planned for the endpoint, above 0; only ratios between replicas of a shard count. */
    double shareOf(int shard, String endpointId);
}
