package pepperdock.distribution;

/** What a subscriber and a publisher say to each other over one connection, in order. */
public sealed interface Message {

    /** Bytes of a message on the wire beside its content: IPv4 and TCP headers with time stamps, length and kind. */
    int OVERHEAD = 52 + 5;

    /** Bytes of content. */
    int content();

    /** Bytes on the wire, without acknowledgements of the transport. */
    default int bytes() {
        return OVERHEAD + content();
    }

    /** What a subscriber says. */
    sealed interface FromSubscriber extends Message {}

    /** What a publisher says. */
    sealed interface FromPublisher extends Message {}

    // ---- From a subscriber ------------------------------------------------------------

    /**
     * First on a connection: who this is and what it has in force.
     *
     * @param reads the highest format that this program version reads
     */
    record Hello(SubscriberId from, int reads, Version inForce, Digest digest, Durability durability)
            implements FromSubscriber {
        @Override
        public int content() {
            return Encoding.textBytes(from.name()) + 4 + Version.BYTES + Digest.BYTES + 1;
        }
    }

    /** This is in force from now on, or still; also the subscriber's sign of life. */
    record InForce(Version version, Digest digest, Durability durability) implements FromSubscriber {
        @Override
        public int content() {
            return Version.BYTES + Digest.BYTES + 1;
        }
    }

    /**
     * Send what is newer than this.
     *
     * @param whole as a snapshot, since a delta did not fit
     */
    record Ask(Version inForce, Digest digest, boolean whole) implements FromSubscriber {
        @Override
        public int content() {
            return Version.BYTES + Digest.BYTES + 1;
        }
    }

    /** This version is not put in force here; the one before stays. */
    record Refused(Refusal refusal) implements FromSubscriber {
        @Override
        public int content() {
            return Version.BYTES + 1 + Encoding.textBytes(refusal.detail());
        }
    }

    // ---- From a publisher ------------------------------------------------------------

    /**
     * Sign of life, with what the control machine holds as newest.
     *
     * @param confirmedMillisAgo how long ago this control machine last knew that nothing newer was settled
     */
    record Heartbeat(Version latest, Digest digest, int confirmedMillisAgo) implements FromPublisher {
        @Override
        public int content() {
            return Version.BYTES + Digest.BYTES + 4;
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
     * A part of an encoded configuration. Pieces come in order; one at offset 0 begins anew.
     *
     * @param total bytes of the whole
     */
    record SnapshotPiece(Version version, Digest digest, int format, int total, int offset, byte[] piece)
            implements FromPublisher {
        @Override
        public int content() {
            return Version.BYTES + Digest.BYTES + 12 + piece.length;
        }
    }

    /** Not now: ask again after so many milliseconds. */
    record RetryAfter(int millis) implements FromPublisher {
        @Override
        public int content() {
            return 4;
        }
    }
}
