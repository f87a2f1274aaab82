package pepperdock.store.raft;

/**
 * What a server does differently by its role (thesis, 3.3); what it does in every role is in {@link Raft}. A role object lasts
 * from one change of role to the next, and belongs to the thread that calls {@link Raft}.
 */
abstract class Role {

    final Raft raft;

    Role(Raft raft) {
        this.raft = raft;
    }

    /** The role's name, for the caller. */
    abstract PeerState state();

    /** Called once, when the server takes on this role. */
    void begins() {}

    /** Called once, when the server leaves this role. */
    void ends() {}

    /** A tick of the caller's clock has passed. */
    abstract void tick();

    /** A response in the current term, or a granted pre-vote in the next one, has come. */
    void received(Message message) {}

    /** More is synced than before. */
    void written() {}

    /** Called before outputs are taken, to send what has gathered since the last time in as few messages as possible. */
    void flush() {}

    /** Appends an entry; returns its index, or 0 where this server may not. */
    long propose(byte[] data, Configuration configuration) {
        return 0;
    }

    /** Begins a linearizable read. */
    void read(long token) {
        raft.output(new Output.ReadRejected(token));
    }

    /** Begins a leadership transfer; false where that can't be. */
    boolean transfer(long to) {
        return false;
    }
}
