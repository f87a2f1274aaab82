package pepperdock.scheduler;

/**
 * Who holds a shard: the searchers of cells {@code (shard + j) mod cells}, j from 0 to {@code span - 1};
 * {@code batch} parts sent together to one searcher share a call.
 */
public record ReplicaLayout(int shards, int cells, int replicasPerShard, int maxPartsPerCall) {}
