package pepperdock.store.raft;

/** Puts a snapshot together that comes in pieces; a piece of another one begins anew. */
final class SnapshotReceiver {

    private Message.InstallSnapshot incoming;
    private byte[] bytes;
    private int received;

    /** Takes a piece; returns the snapshot where that was the last one lacking, else null. */
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
        Snapshot whole = new Snapshot(piece.index(), piece.indexTerm(), piece.configuration(), bytes);
        clear();
        return whole;
    }

    private boolean continues(Message.InstallSnapshot piece) {
        return incoming != null
                && incoming.index() == piece.index()
                && incoming.indexTerm() == piece.indexTerm()
                && incoming.total() == piece.total()
                && incoming.term() == piece.term();
    }

    /** Bytes of the snapshot that have come so far, without a gap. */
    int received() {
        return received;
    }

    /** Lets go of what has come. */
    void clear() {
        incoming = null;
        bytes = null;
    }
}
