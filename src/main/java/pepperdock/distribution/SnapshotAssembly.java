package pepperdock.distribution;

/** The pieces of one snapshot as they come. */
final class SnapshotAssembly {

    private final Version version;
    private final Digest digest;
    private final byte[] bytes;
    private int held;

    SnapshotAssembly(Message.SnapshotPiece first) {
        version = first.version();
        digest = first.digest();
        bytes = new byte[first.total()];
    }

    /** Whether the piece is the next one; then it is held. */
    boolean add(Message.SnapshotPiece piece) {
        boolean next = piece.version().equals(version)
                && piece.digest().equals(digest)
                && piece.offset() == held
                && piece.offset() + piece.piece().length <= bytes.length;
        if (next) {
            System.arraycopy(piece.piece(), 0, bytes, held, piece.piece().length);
            held += piece.piece().length;
        }
        return next;
    }

    boolean whole() {
        return held == bytes.length;
    }

    byte[] bytes() {
        return bytes;
    }

    Digest digest() {
        return digest;
    }
}
