package pepperdock.membership;

/**
 * One observer's watch on one subject: when it is to be pinged, what its answers say, and the word that comes of it. Worse is
 * said as soon as it is so; better only after the subject has been reached without a break for a while, longer each time it
 * fell back, so that a link that comes and goes is said once.
 */
final class SubjectMonitor {

    private static final int PINGS_TRACKED = 16;
    private static final int MAX_FALLS = 4;
    /** Of the mean of answers' times, the newest's weight. */
    private static final double NEWEST_WEIGHT = 0.25;

    private final MembershipSettings settings;
    private final long generation;
    private final double[] sentAt = new double[PINGS_TRACKED];
    private long sequence;
    private double nextPingAt;
    private boolean indirectPingsSent = true;
    private boolean acknowledged = true;
    private double lastDirectAck;
    private double lastIndirectAck = Double.NEGATIVE_INFINITY;
    private double lastHeard;
    /** The same, whatever pauses of our own there were. */
    private double lastHeardUnadjusted = Double.NEGATIVE_INFINITY;
    /** Since when it has been reached directly without a break. */
    private double steadySince;

    private double meanLatency;
    private boolean replacedAtAddress;
    /** The sum of all that it held when it last spoke. */
    private long stateDigest;

    private Observation observation;
    private int falls;
    private double fellAt = Double.NEGATIVE_INFINITY;

    /** A new watch takes the subject for reached. */
    SubjectMonitor(MembershipSettings settings, long life, double now, double firstAt) {
        this.settings = settings;
        this.generation = life;
        nextPingAt = firstAt;
        lastDirectAck = now;
        lastHeard = now;
        steadySince = now;
    }

    long generation() {
        return generation;
    }

    boolean isPingDue(double now) {
        return now >= nextPingAt;
    }

    /** A ping has gone out, under the number after the last. */
    void onPingSent(double now) {
        nextPingAt = Math.max(nextPingAt + settings.probeIntervalS(), now + settings.probeIntervalS() / 2);
        sequence++;
        sentAt[(int) (sequence % PINGS_TRACKED)] = now;
        indirectPingsSent = false;
        acknowledged = false;
    }

    /** Whether it is time to ask helpers, once for a ping. */
    boolean startIndirectProbe(double now) {
        if (indirectPingsSent
                || acknowledged
                || now - sentAt[(int) (sequence % PINGS_TRACKED)] < settings.pingTimeoutS()) {
            return false;
        }
        indirectPingsSent = true;
        steadySince = Double.POSITIVE_INFINITY;
        return true;
    }

    long lastSequence() {
        return sequence;
    }

    void onAck(long number, double now) {
        if (number > sequence || number <= sequence - PINGS_TRACKED || number <= 0) {
            return;
        }
        double took = now - sentAt[(int) (number % PINGS_TRACKED)];
        meanLatency += NEWEST_WEIGHT * (took - meanLatency);
        acknowledged |= number == sequence;
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

    void onStateDigest(long state) {
        stateDigest = state;
    }

    long stateDigest() {
        return stateDigest;
    }

    boolean heardAfter(double then) {
        return lastHeardUnadjusted > then;
    }

    /** Someone else answers at its address. */
    void onWrongAddressee() {
        replacedAtAddress = true;
    }

    /** A pause of our own, or no budget for a ping: what we did not hear meanwhile says nothing of the subject. */
    void extendDeadlines(double by) {
        lastDirectAck += by;
        lastHeard += by;
        lastIndirectAck += by;
    }

    /** Whether a whole limit has gone by without an answer, by that stretch of it. */
    boolean silent(double now, double stretch) {
        return now - lastDirectAck > settings.suspicionTimeoutS() * stretch;
    }

    /** What is to be said now; null where the subject is simply reached. {@code stretch} is at least 1. */
    Observation observation(double now, double stretch) {
        double timeout = settings.suspicionTimeoutS() * stretch;
        Observation current = replacedAtAddress
                ? Observation.UNREACHABLE
                : now - lastDirectAck <= timeout
                        ? meanLatency
                                        > (observation == Observation.SLOW
                                                ? settings.slowThresholdS() / 2
                                                : settings.slowThresholdS())
                                ? Observation.SLOW
                                : null
                        : now - lastIndirectAck <= timeout
                                ? Observation.INDIRECT
                                : now - lastHeard <= timeout ? Observation.UNRESPONSIVE : Observation.UNREACHABLE;
        if (current == observation) {
            return observation;
        }
        boolean better = observation != null && (current == null || current.compareTo(observation) < 0);
        if (better
                && (current == null || current == Observation.SLOW)
                && observation != Observation.SLOW
                && now - steadySince < recoveryTime()) {
            // Alive beyond doubt, but not yet to be called reached again.
            observation = observation == Observation.UNREACHABLE ? Observation.INDIRECT : observation;
            return observation;
        }
        if (!better && observation == null && current != Observation.SLOW) {
            falls = now - fellAt > 10 * settings.suspicionTimeoutS() ? 0 : Math.min(MAX_FALLS, falls + 1);
            fellAt = now;
        }
        observation = current;
        return observation;
    }

    private double recoveryTime() {
        return settings.suspicionTimeoutS() * (1 << falls) / 2;
    }
}
