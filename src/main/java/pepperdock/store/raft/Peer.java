package pepperdock.store.raft;

/**
 * One disk that takes part. Its id was drawn when the disk was new: a process that comes back without its disk is another
 * peer, which has promised nothing.
 *
 * @param name of the gatherer that has the disk
 * @param votes false for a learner: it gets the log, and counts for nothing
 */
public record Peer(long id, String name, String address, boolean votes) {}
