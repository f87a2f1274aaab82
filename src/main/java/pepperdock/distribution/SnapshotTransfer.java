package pepperdock.distribution;

import java.util.Arrays;

/**
 * The transfer of a snapshot to one subscriber, in chunks. All transfers of one version share the bytes. Not
 * thread-safe: used only by the thread that calls {@link Publisher}.
 */
final class SnapshotTransfer {

    private final ConfigurationSnapshot snapshot;
    private final byte[] bytes;
    private final int chunkBytes;
    private int offset;

    SnapshotTransfer(ConfigurationSnapshot snapshot, byte[] bytes, int chunkBytes) {
        this.snapshot = snapshot;
        this.bytes = bytes;
        this.chunkBytes = chunkBytes;
    }

    ConfigurationVersion version() {
        return snapshot.version();
    }

    /** Returns the next chunk. */
    DistributionMessage.SnapshotChunk next() {
        int end = Math.min(bytes.length, offset + chunkBytes);
        byte[] data = Arrays.copyOfRange(bytes, offset, end);
        DistributionMessage.SnapshotChunk message = new DistributionMessage.SnapshotChunk(
                snapshot.version(), snapshot.digest(), snapshot.format(), bytes.length, offset, data);
        offset = end;
        return message;
    }

    boolean done() {
        return offset == bytes.length;
    }
}
