package pepperdock.store.raft;

/**
 * Assembles a snapshot from its chunks (thesis, 5.1); a chunk of another one begins anew. Owned by the thread that calls
 * {@link Raft}.
 */
final class SnapshotReceiver {

    private Message.InstallSnapshot incoming;
    private byte[] bytes;
    private int received;

    /** Takes a chunk; returns the snapshot where that was the last one missing, else null. */
    Snapshot receive(Message.InstallSnapshot piece) {
        if (!continues(piece)) {
            incoming = piece;
            bytes = new byte[(int) piece.total()];
            received = 0;
        }
        if (piece.offset() == received) {
            System.arraycopy(piece.piece(), 0, bytes, received, piece.piece().length);
            received += piece.piece().length;
        }
        if (received < piece.total()) {
            return null;
        }
        Snapshot complete = new Snapshot(piece.index(), piece.indexTerm(), piece.configuration(), bytes);
        clear();
        return complete;
    }

    private boolean continues(Message.InstallSnapshot piece) {
        return incoming != null
                && incoming.index() == piece.index()
                && incoming.indexTerm() == piece.indexTerm()
                && incoming.total() == piece.total()
                && incoming.term() == piece.term();
    }

    /** Bytes of the snapshot received so far, without a gap. */
    int received() {
        return received;
    }

    /** Discards what was received. */
    void clear() {
        incoming = null;
        bytes = null;
    }
}
