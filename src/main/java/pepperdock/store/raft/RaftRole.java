package pepperdock.store.raft;

/**
 * What a server does differently by its role (thesis, 3.3); what it does in every role is in {@link RaftServer}. A role object lasts
 * from one change of role to the next, and belongs to the thread that calls {@link RaftServer}.
 */
abstract class RaftRole {

    final RaftServer raft;

    RaftRole(RaftServer raft) {
        this.raft = raft;
    }

    /** The role's name, for the caller. */
    abstract RaftPeerState state();

    /** Called once, when the server takes on this role. */
    void onStart() {}

    /** Called once, when the server leaves this role. */
    void onStop() {}

    /** A tick of the caller's clock has passed. */
    abstract void tick();

    /** A response in the current term, or a granted pre-vote in the next one, has come. */
    void onMessage(RaftMessage message) {}

    /** More is synced than before. */
    void onWritten() {}

    /** Called before outputs are taken, to send what has gathered since the last time in as few messages as possible. */
    void flush() {}

    /** Appends an entry; returns its index, or 0 where this server may not. */
    long propose(byte[] data, VoterConfiguration configuration) {
        return 0;
    }

    /** Begins a linearizable read. */
    void read(long token) {
        raft.output(new RaftOutput.ReadRejected(token));
    }

    /** Begins a leadership transfer; false where that can't be. */
    boolean transfer(long to) {
        return false;
    }
}
