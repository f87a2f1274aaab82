package pepperdock.scheduler;

import java.util.SplittableRandom;

/**
 * Decides when the endpoint list is requested: at the start, and after a failed call with exponential backoff.
 *
 * <p>Rule: while no watch is open, one call is outstanding at most; after a failure the next follows after a pause that
 * doubles, up to a share of the longest allowed age of a list. Inputs: the outcome of each call, the settings' list age in
 * seconds, the number of gatherers. Reason: discovery is one service for all gatherers and fails calls that wait; gatherers
 * that fail together and call again together fail again, so every pause has a random part. Guards against a synchronized
 * retry storm when discovery returns; harms by the length of a pause when discovery is back right after a failure.
 */
final class EndpointListPoller {

    /** First pause after a failed call, as a share of the longest list age: several calls fit into that age. */
    private static final double FIRST_PAUSE_SHARE = 1.0 / 12;

    /**
     * Longest time from one call to the next, as a share of the longest list age: discovery may be back right after a failed
     * call, and the rest of that age is needed for a slow connection and for an answer that queues.
     */
    private static final double MAX_CALL_GAP_SHARE = 0.5;

    /** The random part makes a pause at most this many times as long, and at least half of it. */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /** Seconds per gatherer over which the fleet's first calls are spread, so that a fleet start is no burst. */
    private static final double FIRST_CALL_SPREAD_S = 0.005;

    private final SplittableRandom random;
    private boolean watching;
    private boolean callOutstanding;
    private double nextCallAt = Double.NaN;
    private double lastCallAt = Double.NEGATIVE_INFINITY;
    private double pauseS;

    /** {@code pollsEndpointList}: whether lists have to be requested; otherwise they are pushed from the start. */
    EndpointListPoller(boolean pollsEndpointList, SplittableRandom random) {
        watching = !pollsEndpointList;
        this.random = random;
    }

    /** Whether changes of the list arrive without a further call. */
    boolean isWatching() {
        return watching;
    }

    /** A call has been answered, or a watch has brought a change. */
    void onList() {
        callOutstanding = false;
        watching = true;
        pauseS = 0;
    }

    /** A call has failed, or a watch has ended; {@code maxListAgeS} is the longest allowed age of a list, in seconds. */
    void onFailure(double now, double maxListAgeS) {
        callOutstanding = false;
        watching = false;
        double first = FIRST_PAUSE_SHARE * maxListAgeS;
        double left = lastCallAt + MAX_CALL_GAP_SHARE * maxListAgeS - now;
        pauseS = Math.max(first, Math.min(2 * pauseS, left / MAX_JITTER_FACTOR));
        nextCallAt = now + pauseS * (MAX_JITTER_FACTOR - 1 + random.nextDouble());
    }

    /** Whether a call is due now; true counts as the call. */
    boolean callDue(double now, int gatherers, double maxListAgeS) {
        if (Double.isNaN(nextCallAt)) {
            double first = Math.min(gatherers * FIRST_CALL_SPREAD_S, FIRST_PAUSE_SHARE * maxListAgeS);
            nextCallAt = now + random.nextDouble() * first;
        }
        if (watching || callOutstanding || now < nextCallAt) {
            return false;
        }
        callOutstanding = true;
        lastCallAt = now;
        return true;
    }
}
