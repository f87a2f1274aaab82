package pepperdock.store.raft;

/**
 * The behaviour of a server that depends on its role (thesis, 3.3); behaviour common to all roles is in
 * {@link RaftServer}. A role object lasts from one change of role to the next. Used only on the thread that calls
 * {@link RaftServer}.
 */
abstract class RaftRole {

    final RaftServer raft;

    RaftRole(RaftServer raft) {
        this.raft = raft;
    }

    /** Returns the role's name, for the caller. */
    abstract RaftPeerState state();

    /** Called once, when the server takes on this role. */
    void onStart() {}

    /** Called once, when the server leaves this role. */
    void onStop() {}

    /** Handles a tick of the caller's clock. */
    abstract void tick();

    /** Handles a response in the current term, or a granted pre-vote in the next one. */
    void onMessage(RaftMessage message) {}

    /** Called after further writes are synced. */
    void onWritten() {}

    /** Called before the outputs are taken, to send everything that is due in as few messages as possible. */
    void flush() {}

    /** Appends an entry; returns its index, or 0 if this server must not append one. */
    long propose(byte[] data, VoterConfiguration configuration) {
        return 0;
    }

    /** Starts a linearizable read. */
    void read(long token) {
        raft.output(new RaftOutput.ReadRejected(token));
    }

    /** Starts a leadership transfer; returns false if that is not possible. */
    boolean transfer(long to) {
        return false;
    }
}
