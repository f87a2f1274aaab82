package pepperdock.membership;

/**
 * One observer's monitor of one subject: when it is to be pinged, what its acknowledgements show, and the observation that
 * comes of it. A worse observation holds at once; a better one only after the subject has been reached without a break for a
 * while, longer each time it fell back, so that a flapping link is observed once. Owned by the thread that calls
 * {@link Membership}.
 */
final class SubjectMonitor {

    /** Pings whose acknowledgement may still come: some seconds of them. */
    private static final int PINGS_TRACKED = 16;

    /** The time to recover doubles with each fall, so often at most. */
    private static final int MAX_FALLS = 4;
    /** Suspicion timeouts after which falls are forgotten. */
    private static final int FALLS_MEMORY_FACTOR = 10;
    /** Weight of the newest acknowledgement in the mean latency. */
    private static final double NEWEST_WEIGHT = 0.25;

    private final MembershipSettings settings;
    private final long generation;
    private final double[] sentAt = new double[PINGS_TRACKED];
    private long sequence;
    private double nextPingAt;
    private boolean indirectProbeStarted = true;
    private boolean acknowledged = true;
    private double lastDirectAck;
    private double lastIndirectAck = Double.NEGATIVE_INFINITY;
    private double lastHeard;
    /** The same, not extended by pauses of our own. */
    private double lastHeardUnadjusted = Double.NEGATIVE_INFINITY;
    /** Since when it has been reached directly without a break. */
    private double steadySince;

    private double meanLatency;
    /** Another process answers at its address. */
    private boolean replacedAtAddress;
    /** What the subject held when it last spoke. */
    private long stateDigest;

    /** The last observation; null for reached. */
    private Observation last;

    private int falls;
    private double fellAt = Double.NEGATIVE_INFINITY;

    /** A new monitor takes the subject for reached. */
    SubjectMonitor(MembershipSettings settings, long generation, double now, double firstPingAt) {
        this.settings = settings;
        this.generation = generation;
        nextPingAt = firstPingAt;
        lastDirectAck = now;
        lastHeard = now;
        steadySince = now;
    }

    long generation() {
        return generation;
    }

    // ---- Pinging ------------------------------------------------------------

    boolean isPingDue(double now) {
        return now >= nextPingAt;
    }

    /** A ping has gone out, under the number after the last. */
    void onPingSent(double now) {
        nextPingAt = Math.max(nextPingAt + settings.probeIntervalS(), now + settings.probeIntervalS() / 2);
        sequence++;
        sentAt[(int) (sequence % PINGS_TRACKED)] = now;
        indirectProbeStarted = false;
        acknowledged = false;
    }

    /** Whether it is time to ask for indirect pings; true once for a ping. */
    boolean startIndirectProbe(double now) {
        if (indirectProbeStarted
                || acknowledged
                || now - sentAt[(int) (sequence % PINGS_TRACKED)] < settings.pingTimeoutS()) {
            return false;
        }
        indirectProbeStarted = true;
        steadySince = Double.POSITIVE_INFINITY;
        return true;
    }

    long lastSequence() {
        return sequence;
    }

    // ---- What comes of the subject ------------------------------------------------------------

    void onAck(long acknowledgedSequence, double now) {
        if (acknowledgedSequence > sequence
                || acknowledgedSequence <= sequence - PINGS_TRACKED
                || acknowledgedSequence <= 0) {
            return;
        }
        double latency = now - sentAt[(int) (acknowledgedSequence % PINGS_TRACKED)];
        meanLatency += NEWEST_WEIGHT * (latency - meanLatency);
        acknowledged |= acknowledgedSequence == sequence;
        lastDirectAck = now;
        onMessage(now);
        replacedAtAddress = false;
        if (Double.isInfinite(steadySince)) {
            steadySince = now;
        }
    }

    void onIndirectAck(double now) {
        lastIndirectAck = now;
        replacedAtAddress = false;
    }

    /** A datagram of its own came. */
    void onMessage(double now) {
        lastHeard = now;
        lastHeardUnadjusted = now;
    }

    void onStateDigest(long newDigest) {
        stateDigest = newDigest;
    }

    long stateDigest() {
        return stateDigest;
    }

    boolean heardAfter(double then) {
        return lastHeardUnadjusted > then;
    }

    /** Another process answers at its address. */
    void onWrongAddressee() {
        replacedAtAddress = true;
    }

    /** After a pause of our own, or a ping that the budget withheld: silence meanwhile says nothing of the subject. */
    void extendDeadlines(double by) {
        lastDirectAck += by;
        lastHeard += by;
        lastIndirectAck += by;
    }

    // ---- The observation ------------------------------------------------------------

    /** What is to be said now, null where the subject is simply reached. {@code timeoutFactor} is at least 1. */
    Observation observation(double now, double timeoutFactor) {
        Observation current = current(now, settings.suspicionTimeoutS() * timeoutFactor);
        if (current == last) {
            return last;
        }
        boolean better = last != null && (current == null || current.compareTo(last) < 0);
        boolean acknowledges = current == null || current == Observation.SLOW;
        if (better && acknowledges && last != Observation.SLOW && now - steadySince < recoveryTime()) {
            // Alive beyond doubt, but not yet to be called reached again.
            last = last == Observation.UNREACHABLE ? Observation.INDIRECT : last;
            return last;
        }
        if (last == null && current != Observation.SLOW) {
            boolean fallsForgotten = now - fellAt > FALLS_MEMORY_FACTOR * settings.suspicionTimeoutS();
            falls = fallsForgotten ? 0 : Math.min(MAX_FALLS, falls + 1);
            fellAt = now;
        }
        last = current;
        return last;
    }

    /** What the times alone show. */
    private Observation current(double now, double timeout) {
        if (replacedAtAddress) {
            return Observation.UNREACHABLE;
        }
        if (now - lastDirectAck <= timeout) {
            return isSlow() ? Observation.SLOW : null;
        }
        if (now - lastIndirectAck <= timeout) {
            return Observation.INDIRECT;
        }
        return now - lastHeard <= timeout ? Observation.UNRESPONSIVE : Observation.UNREACHABLE;
    }

    /** A slow subject is slow until its latency is below half of the threshold. */
    private boolean isSlow() {
        double threshold = last == Observation.SLOW ? settings.slowThresholdS() / 2 : settings.slowThresholdS();
        return meanLatency > threshold;
    }

    private double recoveryTime() {
        return settings.suspicionTimeoutS() * (1 << falls) / 2;
    }
}
