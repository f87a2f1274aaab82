package pepperdock.store.raft;

/** What a peer is at the moment. */
public enum PeerState {
    FOLLOWER,
    /** Asks whether it would be voted for, before it disturbs anybody with a new term. */
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
    /** Its disk has failed: it promises nothing any more. */
    STORAGE_FAILED
}
