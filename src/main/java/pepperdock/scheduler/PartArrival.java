package pepperdock.scheduler;

/**
 * A part of a query that has arrived; the parts of a second stage may arrive in a later batch.
 *
 * @param id the caller's id of the part
 * @param querySequenceNumber {@link QueryArrival#sequenceNumber} of its query
 * @param shard shard that the part reads
 * @param weight share of the complete answer, between 0 and 1
 */
public record PartArrival(long id, long querySequenceNumber, int shard, double weight) {}
