package pepperdock.distribution;

import java.util.Arrays;

/**
 * A snapshot in flight to one subscriber, in chunks. The bytes are shared by all transfers of one version. Owned by the thread
 * that calls {@link Publisher}.
 */
final class SnapshotTransfer {

    private final ConfigurationSnapshot snapshot;
    private final byte[] bytes;
    private final int pieceBytes;
    private int offset;

    SnapshotTransfer(ConfigurationSnapshot snapshot, byte[] bytes, int pieceBytes) {
        this.snapshot = snapshot;
        this.bytes = bytes;
        this.pieceBytes = pieceBytes;
    }

    ConfigurationVersion version() {
        return snapshot.version();
    }

    /** The next chunk. */
    DistributionMessage.SnapshotPiece next() {
        int end = Math.min(bytes.length, offset + pieceBytes);
        byte[] piece = Arrays.copyOfRange(bytes, offset, end);
        DistributionMessage.SnapshotPiece message = new DistributionMessage.SnapshotPiece(
                snapshot.version(), snapshot.digest(), snapshot.format(), bytes.length, offset, piece);
        offset = end;
        return message;
    }

    boolean done() {
        return offset == bytes.length;
    }
}
