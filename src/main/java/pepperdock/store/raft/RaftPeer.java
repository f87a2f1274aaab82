package pepperdock.store.raft;

/**
 * A member of the group, identified by its disk. The id was drawn when the disk was new: a process that comes back without its
 * disk is another member, which has not promised anything.
 *
 * @param name of the gatherer that has the disk
 * @param votes false for a learner: it receives the log, and does not count for majorities (4.2.1)
 */
public record RaftPeer(long id, String name, String address, boolean votes) {}
