package pepperdock.distribution;

/** A message between a subscriber and a publisher, sent over one connection and received in order. Immutable. */
public sealed interface DistributionMessage {

    /**
     * The bytes of a message on the wire besides its content: IPv4 and TCP headers with timestamps (52), length and
     * kind (5).
     */
    int OVERHEAD = 52 + 5;

    /** Returns the bytes of the content. */
    int content();

    /** Returns the bytes on the wire, without TCP acknowledgements. */
    default int bytes() {
        return OVERHEAD + content();
    }

    /** A message that a subscriber sends. */
    sealed interface FromSubscriber extends DistributionMessage {}

    /** A message that a publisher sends. */
    sealed interface FromPublisher extends DistributionMessage {}

    // ---- From a subscriber ------------------------------------------------------------

    /**
     * Opens a connection: identifies the subscriber and reports the version that it has in force.
     *
     * @param highestFormat the highest format that this program version reads
     */
    record Hello(
            SubscriberId from,
            int highestFormat,
            ConfigurationVersion inForce,
            ConfigurationDigest digest,
            Durability durability)
            implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationCodec.textBytes(from.name())
                    + 4
                    + ConfigurationVersion.BYTES
                    + ConfigurationDigest.BYTES
                    + 1;
        }
    }

    /** Reports that a version has been put in force or still is; also serves as the subscriber's heartbeat. */
    record InForce(ConfigurationVersion version, ConfigurationDigest digest, Durability durability)
            implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 1;
        }
    }

    /**
     * Requests a version newer than the one in force.
     *
     * @param asSnapshot whether a snapshot is requested, because a delta could not be applied
     */
    record UpdateRequest(ConfigurationVersion inForce, ConfigurationDigest digest, boolean asSnapshot)
            implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 1;
        }
    }

    /** Reports that the subscriber refuses a version; the previous one stays in force. */
    record Refused(Refusal refusal) implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + 1 + ConfigurationCodec.textBytes(refusal.detail());
        }
    }

    // ---- From a publisher ------------------------------------------------------------

    /**
     * Reports the newest version that the control machine holds; sent at regular intervals.
     *
     * @param confirmedMillisAgo the milliseconds since this control machine last knew that no newer version was
     *     committed
     */
    record Heartbeat(ConfigurationVersion latest, ConfigurationDigest digest, int confirmedMillisAgo)
            implements FromPublisher {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 4;
        }
    }

    /** Sends a later version as a delta. */
    record Update(Delta delta) implements FromPublisher {
        @Override
        public int content() {
            return delta.bytes();
        }
    }

    /**
     * Sends a chunk of an encoded configuration. Chunks are sent in order; one at offset 0 starts a new transfer.
     *
     * @param total the bytes of the complete configuration
     */
    record SnapshotChunk(
            ConfigurationVersion version, ConfigurationDigest digest, int format, int total, int offset, byte[] data)
            implements FromPublisher {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 12 + data.length;
        }
    }

    /** Rejects a request for now; the subscriber retries after this many milliseconds. */
    record RetryAfter(int millis) implements FromPublisher {
        @Override
        public int content() {
            return 4;
        }
    }
}
