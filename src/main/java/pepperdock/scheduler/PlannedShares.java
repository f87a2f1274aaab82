package pepperdock.scheduler;

/** What part of a shard's work is meant for a searcher, above 0; only ratios between a shard's holders count. */
@FunctionalInterface
public interface PlannedShares {
    double shareOf(int shard, String searcher);
}
