package pepperdock.store.raft;

/** The roles of a server (thesis, 3.3), with separate values for the pre-vote (9.6) and for a failed disk. */
public enum RaftPeerState {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether a majority would vote for it, before it starts a new term. */
    PRE_CANDIDATE,
    /** Asks for votes in the term that it has started. */
    CANDIDATE,
    /** Replicates its log to the others. */
    LEADER,
    /** Its disk has failed: it grants no votes and acknowledges no entries any more. */
    STORAGE_FAILED
}
