package pepperdock.scheduler;

/**
 * A part of a query; a later batch may bring those of a second stage.
 *
 * @param id the caller's id of the part
 * @param querySequenceNumber {@link QueryArrival#sequenceNumber} of its query
 * @param shard shard that the part reads
 * @param weight share of the complete answer, between 0 and 1
 */
public record PartArrival(long id, long querySequenceNumber, int shard, double weight) {}
