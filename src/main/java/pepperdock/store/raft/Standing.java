package pepperdock.store.raft;

/** What a peer is at the moment. */
public enum Standing {
    FOLLOWER,
    /** Asks whether it would be voted for, before it disturbs anybody with a new term. */
    ASKING,
    CANDIDATE,
    LEADER,
    /** Its disk has failed: it promises nothing any more. */
    MUTE
}
