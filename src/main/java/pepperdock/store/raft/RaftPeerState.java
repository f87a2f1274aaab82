package pepperdock.store.raft;

/** The roles of a server (thesis, 3.3), with the pre-vote (9.6) and the failed disk told apart. */
public enum RaftPeerState {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether it would get a majority's votes, before it opens a new term. */
    PRE_CANDIDATE,
    /** Asks for votes in a term of its own. */
    CANDIDATE,
    /** Replicates its log to the others. */
    LEADER,
    /** Its disk has failed: it promises nothing any more. */
    STORAGE_FAILED
}
