package pepperdock.scheduler;

import java.util.SplittableRandom;

/**
 * Decides when the endpoint list is requested: at the start, and after a failed call with exponential backoff.
 *
 * <p>While no watch is open, at most one call is outstanding. After a failure the next call follows after a backoff
 * that doubles each time, up to a share of the longest allowed age of a list. Inputs are the outcome of each call, the
 * settings' list age in seconds and the number of gatherers. Discovery is one service for all gatherers and fails calls
 * that have to wait. If gatherers whose calls failed at the same time called again at the same time, these calls would
 * fail too, so every backoff has a random part.
 *
 * <p>This guards against a synchronized retry storm when discovery recovers. It delays the list by up to one backoff
 * when discovery recovers right after a failure.
 */
final class EndpointListPoller {

    /**
     * First backoff after a failed call, as a share of the longest list age, so that several calls fit into that age.
     */
    private static final double FIRST_BACKOFF_SHARE = 1.0 / 12;

    /**
     * Longest time from one call to the next, as a share of the longest list age: discovery may recover right after a
     * failed call, and the rest of that age is needed for a slow connection and for a response that queues.
     */
    private static final double MAX_CALL_INTERVAL_SHARE = 0.5;

    /** Upper bound of the random factor by which a backoff is multiplied; the lower bound is one half. */
    private static final double MAX_JITTER_FACTOR = 1.5;

    /**
     * Seconds per gatherer over which the fleet's first calls are spread, so that a start of the whole fleet causes no
     * burst.
     */
    private static final double FIRST_CALL_SPREAD_S = 0.005;

    private final SplittableRandom random;
    private boolean watching;
    private boolean callOutstanding;
    private double nextCallAtS = Double.NaN;
    private double lastCallAtS = Double.NEGATIVE_INFINITY;
    private double backoffS;

    /**
     * Creates a poller; {@code pollsEndpointList} tells whether lists have to be requested, and are not pushed from the
     * start.
     */
    EndpointListPoller(boolean pollsEndpointList, SplittableRandom random) {
        watching = !pollsEndpointList;
        this.random = random;
    }

    /** Returns whether changes of the list arrive without a further call. */
    boolean isWatching() {
        return watching;
    }

    /** Records that a call has been answered or a watch has reported a change. */
    void onList() {
        callOutstanding = false;
        watching = true;
        backoffS = 0;
    }

    /**
     * Records that a call has failed or a watch has ended; {@code maxListAgeS} is the longest allowed age of a list, in
     * seconds.
     */
    void onFailure(double now, double maxListAgeS) {
        callOutstanding = false;
        watching = false;
        double firstS = FIRST_BACKOFF_SHARE * maxListAgeS;
        double remainingS = lastCallAtS + MAX_CALL_INTERVAL_SHARE * maxListAgeS - now;
        backoffS = Math.max(firstS, Math.min(2 * backoffS, remainingS / MAX_JITTER_FACTOR));
        nextCallAtS = now + backoffS * (MAX_JITTER_FACTOR - 1 + random.nextDouble());
    }

    /** Returns whether a call is due now, and if so records that it is made. */
    boolean startCallIfDue(double now, int gatherers, double maxListAgeS) {
        if (Double.isNaN(nextCallAtS)) {
            double firstS = Math.min(gatherers * FIRST_CALL_SPREAD_S, FIRST_BACKOFF_SHARE * maxListAgeS);
            nextCallAtS = now + random.nextDouble() * firstS;
        }
        if (watching || callOutstanding || now < nextCallAtS) {
            return false;
        }
        callOutstanding = true;
        lastCallAtS = now;
        return true;
    }
}
