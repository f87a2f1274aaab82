package pepperdock.scheduler;

/**
 * Defines which endpoints hold a shard: those of the cells {@code (shard + j) mod cells}, j from 0 to
 * {@code replicasPerShard - 1}.
 *
 * @param shards number of shards
 * @param cells number of cells, into which endpoints are grouped by the list
 * @param replicasPerShard number of successive cells that hold a shard
 * @param maxPartsPerCall maximum number of parts sent together to one endpoint that share a call
 */
public record ReplicaLayout(int shards, int cells, int replicasPerShard, int maxPartsPerCall) {}
