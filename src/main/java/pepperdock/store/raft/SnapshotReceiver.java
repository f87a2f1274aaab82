package pepperdock.store.raft;

/**
 * Assembles a snapshot from its chunks (thesis, 5.1); a chunk of a different snapshot discards the earlier ones. Used
 * only on the thread that calls {@link RaftServer}.
 */
final class SnapshotReceiver {

    private RaftMessage.InstallSnapshot incoming;
    private byte[] bytes;
    private int received;

    /** Adds a chunk; returns the snapshot if it is now complete, else null. */
    RaftSnapshot receive(RaftMessage.InstallSnapshot chunk) {
        if (!continues(chunk)) {
            incoming = chunk;
            bytes = new byte[(int) chunk.total()];
            received = 0;
        }
        if (chunk.offset() == received) {
            System.arraycopy(chunk.chunk(), 0, bytes, received, chunk.chunk().length);
            received += chunk.chunk().length;
        }
        if (received < chunk.total()) {
            return null;
        }
        RaftSnapshot complete = new RaftSnapshot(chunk.index(), chunk.indexTerm(), chunk.configuration(), bytes);
        clear();
        return complete;
    }

    private boolean continues(RaftMessage.InstallSnapshot chunk) {
        return incoming != null
                && incoming.index() == chunk.index()
                && incoming.indexTerm() == chunk.indexTerm()
                && incoming.total() == chunk.total()
                && incoming.term() == chunk.term();
    }

    /** Returns the number of contiguous bytes of the snapshot received so far. */
    int received() {
        return received;
    }

    /** Discards the chunks received so far. */
    void clear() {
        incoming = null;
        bytes = null;
    }
}
