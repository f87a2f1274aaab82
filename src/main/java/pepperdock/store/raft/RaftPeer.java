package pepperdock.store.raft;

/**
 * A member of the group, identified by its disk. The id is drawn when the disk is new. A process that restarts without
 * its disk is therefore another member, which has granted no votes and acknowledged no entries.
 *
 * @param name name of the gatherer that has the disk
 * @param votes false for a learner, which receives the log and does not count for majorities (4.2.1)
 */
public record RaftPeer(long id, String name, String address, boolean votes) {}
