package pepperdock.distribution;

/** Assembles a snapshot from its chunks. Not thread-safe: used only by the thread that calls {@link Subscriber}. */
final class SnapshotAssembly {

    private final ConfigurationVersion version;
    private final ConfigurationDigest digest;
    private final byte[] bytes;
    private int received;

    SnapshotAssembly(DistributionMessage.SnapshotChunk first) {
        version = first.version();
        digest = first.digest();
        bytes = new byte[first.total()];
    }

    /** Adds the chunk if it is the next one expected; returns whether it was added. */
    boolean add(DistributionMessage.SnapshotChunk chunk) {
        boolean next = chunk.version().equals(version)
                && chunk.digest().equals(digest)
                && chunk.offset() == received
                && chunk.offset() + chunk.data().length <= bytes.length;
        if (next) {
            System.arraycopy(chunk.data(), 0, bytes, received, chunk.data().length);
            received += chunk.data().length;
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
