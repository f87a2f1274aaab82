package pepperdock.distribution;

/** Assembles a snapshot from its chunks. Owned by the thread that calls {@link Subscriber}. */
final class SnapshotAssembly {

    private final Version version;
    private final Digest digest;
    private final byte[] bytes;
    private int received;

    SnapshotAssembly(Message.SnapshotPiece first) {
        version = first.version();
        digest = first.digest();
        bytes = new byte[first.total()];
    }

    /** Takes the chunk if it is the next one; whether it is. */
    boolean add(Message.SnapshotPiece piece) {
        boolean next = piece.version().equals(version)
                && piece.digest().equals(digest)
                && piece.offset() == received
                && piece.offset() + piece.piece().length <= bytes.length;
        if (next) {
            System.arraycopy(piece.piece(), 0, bytes, received, piece.piece().length);
            received += piece.piece().length;
        }
        return next;
    }

    boolean complete() {
        return received == bytes.length;
    }

    byte[] bytes() {
        return bytes;
    }

    Digest digest() {
        return digest;
    }
}
