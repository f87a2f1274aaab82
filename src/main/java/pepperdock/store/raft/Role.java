package pepperdock.store.raft;

/** What a peer does differently by its part; what it does in any part is {@link Raft}'s. */
abstract class Role {

    final Raft raft;

    Role(Raft raft) {
        this.raft = raft;
    }

    abstract PeerState state();

    /** Called once, when the part is taken. */
    void begins() {}

    void ends() {}

    abstract void tick();

    /** An answer of the present term, or to a question that opened none. */
    void received(Message m) {}

    /** More is synced than before. */
    void written() {}

    /** Before outputs are taken: whatever is sent together. */
    void flush() {}

    long propose(byte[] data, Configuration configuration) {
        return 0;
    }

    void read(long token) {
        raft.output(new Output.ReadRejected(token));
    }

    boolean transfer(long to) {
        return false;
    }
}
