package pepperdock.distribution;

/** The messages between a subscriber and a publisher, over one connection, in order. Immutable. */
public sealed interface DistributionMessage {

    /** Bytes of a message on the wire beside its content: IPv4 and TCP headers with time stamps, length and kind. */
    int OVERHEAD = 52 + 5;

    /** Bytes of content. */
    int content();

    /** Bytes on the wire, without acknowledgements of the transport. */
    default int bytes() {
        return OVERHEAD + content();
    }

    /** A message of a subscriber. */
    sealed interface FromSubscriber extends DistributionMessage {}

    /** A message of a publisher. */
    sealed interface FromPublisher extends DistributionMessage {}

    // ---- From a subscriber ------------------------------------------------------------

    /**
     * First on a connection: who this is and what it has in force.
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

    /** This is in force from now on, or still; also the subscriber's heartbeat. */
    record InForce(ConfigurationVersion version, ConfigurationDigest digest, Durability durability)
            implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 1;
        }
    }

    /**
     * Requests what is newer than this.
     *
     * @param asSnapshot whether as a snapshot, since a delta did not fit
     */
    record Ask(ConfigurationVersion inForce, ConfigurationDigest digest, boolean asSnapshot) implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 1;
        }
    }

    /** This version is not put in force here; the one before stays. */
    record Refused(Refusal refusal) implements FromSubscriber {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + 1 + ConfigurationCodec.textBytes(refusal.detail());
        }
    }

    // ---- From a publisher ------------------------------------------------------------

    /**
     * The newest version that the control machine holds; sent at even intervals.
     *
     * @param confirmedMillisAgo how long ago this control machine last knew that nothing newer was settled
     */
    record Heartbeat(ConfigurationVersion latest, ConfigurationDigest digest, int confirmedMillisAgo)
            implements FromPublisher {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 4;
        }
    }

    /** A later version as changes. */
    record Update(Delta delta) implements FromPublisher {
        @Override
        public int content() {
            return delta.bytes();
        }
    }

    /**
     * A chunk of an encoded configuration. Chunks come in order; one at offset 0 begins anew.
     *
     * @param total bytes of the complete configuration
     */
    record SnapshotPiece(
            ConfigurationVersion version, ConfigurationDigest digest, int format, int total, int offset, byte[] chunk)
            implements FromPublisher {
        @Override
        public int content() {
            return ConfigurationVersion.BYTES + ConfigurationDigest.BYTES + 12 + chunk.length;
        }
    }

    /** The request is rejected for now: retry after so many milliseconds. */
    record RetryAfter(int millis) implements FromPublisher {
        @Override
        public int content() {
            return 4;
        }
    }
}
