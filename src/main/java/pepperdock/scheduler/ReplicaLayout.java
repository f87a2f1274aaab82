package pepperdock.scheduler;

/**
 * Which endpoints hold a shard: those of the cells {@code (shard + j) mod cells}, j from 0 to {@code replicasPerShard - 1}.
 *
 * @param shards number of shards
 * @param cells number of cells, into which endpoints are listed
 * @param replicasPerShard number of successive cells that hold a shard
 * @param maxPartsPerCall most parts sent together to one endpoint that share a call
 */
public record ReplicaLayout(int shards, int cells, int replicasPerShard, int maxPartsPerCall) {}
