package pepperdock.membership;

/**
 * Monitors one subject for one observer: when to ping it, what its acknowledgements show, and the observation that
 * results. A worse observation takes effect at once. A better one takes effect only after the subject has been reached
 * without interruption for a recovery time, which doubles with each degradation, so that a flapping link does not
 * change the observation each time. Owned by the thread that calls {@link Membership}.
 */
final class SubjectMonitor {

    /** Number of latest pings, sent within some seconds, whose acknowledgements are still accepted. */
    private static final int PINGS_TRACKED = 16;

    /** Most doublings of the recovery time; each degradation doubles it once. */
    private static final int MAX_DEGRADATIONS = 4;
    /** Suspicion timeouts after which degradations are forgotten. */
    private static final int DEGRADATION_MEMORY_FACTOR = 10;
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
    /** Like {@code lastHeard}, but not extended after pauses of this member or withheld pings. */
    private double lastHeardUnadjusted = Double.NEGATIVE_INFINITY;
    /** Since when the subject has been reached directly without interruption. */
    private double reachedSince;

    private double meanLatency;
    /** Whether another process answers at the subject's address. */
    private boolean replacedAtAddress;
    /** The subject's state digest when it was last heard. */
    private long stateDigest;

    /** The last observation; null if the subject was reached. */
    private Observation lastObservation;

    private int degradations;
    private double degradedAt = Double.NEGATIVE_INFINITY;

    /** Creates a monitor that assumes that the subject is reached. */
    SubjectMonitor(MembershipSettings settings, long generation, double now, double firstPingAt) {
        this.settings = settings;
        this.generation = generation;
        nextPingAt = firstPingAt;
        lastDirectAck = now;
        lastHeard = now;
        reachedSince = now;
    }

    long generation() {
        return generation;
    }

    // ---- Pinging ------------------------------------------------------------

    boolean isPingDue(double now) {
        return now >= nextPingAt;
    }

    /** Records that a ping was sent, numbered one above the last. */
    void onPingSent(double now) {
        nextPingAt = Math.max(nextPingAt + settings.probeIntervalS(), now + settings.probeIntervalS() / 2);
        sequence++;
        sentAt[(int) (sequence % PINGS_TRACKED)] = now;
        indirectProbeStarted = false;
        acknowledged = false;
    }

    /** Returns whether it is time to request indirect pings; true once for each ping. */
    boolean startIndirectProbe(double now) {
        if (indirectProbeStarted
                || acknowledged
                || now - sentAt[(int) (sequence % PINGS_TRACKED)] < settings.pingTimeoutS()) {
            return false;
        }
        indirectProbeStarted = true;
        reachedSince = Double.POSITIVE_INFINITY;
        return true;
    }

    long lastSequence() {
        return sequence;
    }

    // ---- Messages from the subject ------------------------------------------------------------

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
        if (Double.isInfinite(reachedSince)) {
            reachedSince = now;
        }
    }

    void onIndirectAck(double now) {
        lastIndirectAck = now;
        replacedAtAddress = false;
    }

    /** Records a datagram from the subject itself. */
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

    /** Records that another process answers at the subject's address. */
    void onWrongAddressee() {
        replacedAtAddress = true;
    }

    /**
     * Extends the deadlines after a pause of this member, or a ping that the budget withheld: silence during that time
     * says nothing about the subject.
     */
    void extendDeadlines(double seconds) {
        lastDirectAck += seconds;
        lastHeard += seconds;
        lastIndirectAck += seconds;
    }

    // ---- The observation ------------------------------------------------------------

    /**
     * Returns the observation to publish now, or null if the subject is reached. {@code timeoutFactor} is at least 1.
     */
    Observation updateObservation(double now, double timeoutFactor) {
        Observation current = currentObservation(now, settings.suspicionTimeoutS() * timeoutFactor);
        if (current == lastObservation) {
            return lastObservation;
        }
        boolean improved = lastObservation != null && (current == null || current.compareTo(lastObservation) < 0);
        boolean acknowledges = current == null || current == Observation.SLOW;
        if (improved && acknowledges && lastObservation != Observation.SLOW && now - reachedSince < recoveryTime()) {
            // The subject is certainly alive, but has not been reached for long enough to count as reached again.
            lastObservation = lastObservation == Observation.UNREACHABLE ? Observation.INDIRECT : lastObservation;
            return lastObservation;
        }
        if (lastObservation == null && current != Observation.SLOW) {
            boolean degradationsForgotten = now - degradedAt > DEGRADATION_MEMORY_FACTOR * settings.suspicionTimeoutS();
            degradations = degradationsForgotten ? 0 : Math.min(MAX_DEGRADATIONS, degradations + 1);
            degradedAt = now;
        }
        lastObservation = current;
        return lastObservation;
    }

    /** Returns the observation without regard to the recovery time. */
    private Observation currentObservation(double now, double timeout) {
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

    /** Returns whether the subject is slow; it stays slow until its latency is below half of the threshold. */
    private boolean isSlow() {
        double threshold =
                lastObservation == Observation.SLOW ? settings.slowThresholdS() / 2 : settings.slowThresholdS();
        return meanLatency > threshold;
    }

    private double recoveryTime() {
        return settings.suspicionTimeoutS() * (1 << degradations) / 2;
    }
}
