package pepperdock.membership;

/**
 * Timings and bounds; seconds, bytes and counts. The defaults notice a death in some 6.5 s and bear pauses of 5 s.
 *
 * @param probeS between two probes of a subject
 * @param doubtS without a sign of life over any way, an observer says that it does not reach its subject
 * @param confirmS for so long enough observers have to say so before the member is gone
 * @param observers of each member, at most
 * @param high of an observed member's credible observers, the share that has to agree
 * @param low that many observers put a member in doubt, so that what it says of others counts no more
 * @param helpers asked to probe a subject that did not answer in time
 * @param slowS a subject whose answers take longer than this on the mean is slow
 * @param syncS between two full exchanges with a member drawn
 * @param forgetS after which a member that is gone or left is forgotten
 * @param datagramsPerS sent by this member, at most, half as many again in a single second
 * @param bytesPerS sent, on streams too, at most, half as much again in a single second; what goes first: {@link BandwidthBudget}
 * @param membersMost kept in the table; more are refused
 * @param selfDoubt whether a member that is late or reaches few doubts itself before others; off only to measure its worth
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

    /** Bytes of one datagram, headers of UDP and IP aside: fits any path that carries IPv6's least, with room. */
    public static final int DATAGRAM_BYTES = 1200;

    public static MembershipSettings defaults() {
        return of(0.5, 3, 3);
    }

    /** The defaults, with other timings. */
    public static MembershipSettings of(double probeS, double doubtS, double confirmS) {
        return new MembershipSettings(
                probeS, doubtS, confirmS, 8, 0.75, 2, 3, probeS, 30, 3600, 100, 9_000, 2000, true);
    }

    /** How often the machine wants to be told the time. */
    public double tickS() {
        return probeIntervalS / 4;
    }

    /** After which a probe counts as unanswered and helpers are asked. */
    public double pingTimeoutS() {
        return probeIntervalS * 0.6;
    }

    /** A pause of a member that others bear without calling it gone. */
    public double toleratedPauseS() {
        return suspicionTimeoutS + confirmationS - 2 * probeIntervalS;
    }

    /** For so long those gone still count as the fleet that a majority has to be reached of. */
    public double faultyMemoryS() {
        return 10 * (suspicionTimeoutS + confirmationS);
    }
}
