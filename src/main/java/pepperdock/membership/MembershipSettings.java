package pepperdock.membership;

/**
 * Timings and limits of membership, with their keys, defaults and units. All members of a fleet should have the same
 * timings. The defaults detect a failed member in about 6.5 s and tolerate pauses of 5 s. Immutable.
 *
 * @param probeIntervalS seconds between two pings to a subject
 * @param suspicionTimeoutS seconds without any sign of life from a subject after which its observer reports it
 *     unreachable
 * @param confirmationS seconds for which enough observers have to report a member before it is declared faulty
 * @param observers most observers of each member (K of Rapid, section 4.1)
 * @param highWatermark share of a member's credible observers that has to agree (H of Rapid, section 4.2, as a share)
 * @param lowWatermark reporting observers from which on a member is doubted, so that its own observations no longer
 *     count (L of Rapid)
 * @param indirectProbes members asked to ping a subject that did not acknowledge in time (k of SWIM, section 3.1)
 * @param slowThresholdS mean seconds to an acknowledgement above which a subject is slow
 * @param syncIntervalS seconds between two full exchanges with a random member
 * @param retentionS seconds after which a member that is faulty or has left is forgotten
 * @param datagramsPerS most datagrams that this member sends per second; up to half as many again in any single second
 * @param bytesPerS most bytes that this member sends per second, on streams too; up to half as many again in any single
 *     second; for priorities see {@link BandwidthBudget}
 * @param maxMembers most members kept in the table; more are rejected
 * @param localHealthEnabled whether a member that runs late or reaches few others distrusts itself first, as in
 *     Lifeguard; turned off only to measure its benefit
 */
public record MembershipSettings(
        double probeIntervalS,
        double suspicionTimeoutS,
        double confirmationS,
        int observers,
        double highWatermark,
        int lowWatermark,
        int indirectProbes,
        double slowThresholdS,
        double syncIntervalS,
        double retentionS,
        int datagramsPerS,
        int bytesPerS,
        int maxMembers,
        boolean localHealthEnabled) {

    /** Keys of these settings under {@code members} in a gatherer's file; those in seconds end in {@code _s}. */
    public static final class Key {
        public static final String PROBE_INTERVAL = "probe_s";
        public static final String SUSPICION_TIMEOUT = "doubt_s";
        public static final String CONFIRMATION = "confirm_s";
        public static final String OBSERVERS = "observers";
        public static final String HIGH_WATERMARK = "agree";
        public static final String LOW_WATERMARK = "doubters";
        public static final String INDIRECT_PROBES = "helpers";
        public static final String SLOW_THRESHOLD = "slow_s";
        public static final String SYNC_INTERVAL = "exchange_s";
        public static final String RETENTION = "forget_s";
        public static final String DATAGRAM_RATE = "datagrams_per_s";
        public static final String BYTE_RATE = "bytes_per_s";
        public static final String MAX_MEMBERS = "most";

        private Key() {}
    }

    /** Most bytes of one datagram without the headers of UDP and IP: within IPv6's minimum MTU of 1280 on any path. */
    public static final int DATAGRAM_BYTES = 1200;

    /** Suspicion timeout in probe intervals, if only the probe interval is given. */
    public static final int SUSPICION_PROBE_INTERVALS = 6;

    /** Sync interval in probe intervals, if only the probe interval is given. */
    public static final int SYNC_PROBE_INTERVALS = 60;

    /** Datagrams for each ping to a subject: the ping, the acknowledgement owed to an observer, and indirect pings. */
    public static final int DATAGRAMS_PER_PROBE = 3;

    /** Bytes of a ping, an acknowledgement or an indirect ping, with headers and names of usual length. */
    public static final int TYPICAL_DATAGRAM_BYTES = 170;

    private static final double DEFAULT_PROBE_INTERVAL_S = 0.5;
    /** Six probe intervals: several datagrams in a row may be lost. */
    private static final double DEFAULT_SUSPICION_TIMEOUT_S = 3;

    private static final double DEFAULT_CONFIRMATION_S = 3;
    private static final int DEFAULT_OBSERVERS = 8;
    private static final double DEFAULT_HIGH_WATERMARK = 0.75;
    private static final int DEFAULT_LOW_WATERMARK = 2;
    private static final int DEFAULT_INDIRECT_PROBES = 3;
    private static final double DEFAULT_SYNC_INTERVAL_S = 30;
    private static final double DEFAULT_RETENTION_S = 3600;
    private static final int DEFAULT_DATAGRAMS_PER_S = 100;
    /** More than pings, acknowledgements and indirect pings need: 170 bytes for each of about 48 a second. */
    private static final int DEFAULT_BYTES_PER_S = 9_000;

    private static final int DEFAULT_MAX_MEMBERS = 2000;

    /** Ticks in a probe interval, which determine how exactly pings are spaced. */
    private static final int TICKS_PER_PROBE = 4;
    /**
     * Share of the probe interval after which a ping counts as not acknowledged, so that indirect pings fit into the
     * rest.
     */
    private static final double PING_TIMEOUT_SHARE = 0.6;
    /**
     * Time for which members declared faulty count in the fleet size, as a multiple of the time to a verdict (suspicion
     * timeout and confirmation).
     */
    private static final int FAULTY_MEMORY_FACTOR = 10;

    /** Returns the defaults. */
    public static MembershipSettings defaults() {
        return of(DEFAULT_PROBE_INTERVAL_S, DEFAULT_SUSPICION_TIMEOUT_S, DEFAULT_CONFIRMATION_S);
    }

    /** Returns the defaults with other timings. */
    public static MembershipSettings of(double probeIntervalS, double suspicionTimeoutS, double confirmationS) {
        return new MembershipSettings(
                probeIntervalS,
                suspicionTimeoutS,
                confirmationS,
                DEFAULT_OBSERVERS,
                DEFAULT_HIGH_WATERMARK,
                DEFAULT_LOW_WATERMARK,
                DEFAULT_INDIRECT_PROBES,
                probeIntervalS,
                DEFAULT_SYNC_INTERVAL_S,
                DEFAULT_RETENTION_S,
                DEFAULT_DATAGRAMS_PER_S,
                DEFAULT_BYTES_PER_S,
                DEFAULT_MAX_MEMBERS,
                true);
    }

    /** Returns the seconds between two calls of {@link Membership#tick}. */
    public double tickS() {
        return probeIntervalS / TICKS_PER_PROBE;
    }

    /** Returns the seconds after which a ping counts as not acknowledged, and indirect pings are requested. */
    public double pingTimeoutS() {
        return probeIntervalS * PING_TIMEOUT_SHARE;
    }

    /** Returns the seconds of a pause that others tolerate without declaring the paused member faulty. */
    public double toleratedPauseS() {
        return suspicionTimeoutS + confirmationS - 2 * probeIntervalS;
    }

    /**
     * Returns the seconds for which members declared faulty still count in the fleet size, of which a majority is
     * required.
     */
    public double faultyMemoryS() {
        return FAULTY_MEMORY_FACTOR * (suspicionTimeoutS + confirmationS);
    }
}
