package pepperdock.distribution;

/** Assembles a snapshot from its chunks. Owned by the thread that calls {@link Subscriber}. */
final class SnapshotAssembly {

    private final ConfigurationVersion version;
    private final ConfigurationDigest digest;
    private final byte[] bytes;
    private int received;

    SnapshotAssembly(DistributionMessage.SnapshotPiece first) {
        version = first.version();
        digest = first.digest();
        bytes = new byte[first.total()];
    }

    /** Takes the chunk if it is the next one; whether it is. */
    boolean add(DistributionMessage.SnapshotPiece piece) {
        boolean next = piece.version().equals(version)
                && piece.digest().equals(digest)
                && piece.offset() == received
                && piece.offset() + piece.chunk().length <= bytes.length;
        if (next) {
            System.arraycopy(piece.chunk(), 0, bytes, received, piece.chunk().length);
            received += piece.chunk().length;
        }
        return next;
    }

    boolean complete() {
        return received == bytes.length;
    }

    byte[] bytes() {
        return bytes;
    }

    ConfigurationDigest digest() {
        return digest;
    }
}
