package pepperdock.estimate;

/**
 * Estimates how long a connection may be idle and still be trusted. The estimate is learnt from calls on idle
 * connections that got no answer, because something on the network path drops such connections without a reset. All
 * times are seconds.
 */
public final class IdleLimit {

    /** Share of unanswered calls among those on idle connections above which connections are taken to be dropped. */
    private static final double DROPPED_SHARE = 0.25;

    /**
     * Number of calls assumed to be answered in addition to those counted, so that a single unanswered call does not
     * set a limit.
     */
    private static final double PRIOR_ANSWERED_CALLS = 4;

    /**
     * The limit, as a share of the shortest idle time after which a call got no answer: the network path may drop
     * connections that were idle for less time than that.
     */
    private static final double TRUSTED_SHARE = 0.5;

    /** Number of time constants for which a limit holds after the last call that showed dropped connections. */
    private static final double HOLD_TIME_CONSTANTS = 20;

    private final DecayingCount unansweredCalls = new DecayingCount();
    private final DecayingCount calls = new DecayingCount();
    private double lastDropAtS = Double.NEGATIVE_INFINITY;
    private double limitS;

    /** Records a call on a connection that had been idle for {@code idleS}, and whether the call got no answer. */
    public void recordCall(double idleS, boolean unanswered, double now, double timeConstantS) {
        unansweredCalls.add(unanswered ? 1 : 0, now, timeConstantS);
        calls.add(1, now, timeConstantS);
        if (unanswered && unansweredCalls.latest() > DROPPED_SHARE * (calls.latest() + PRIOR_ANSWERED_CALLS)) {
            limitS = Math.min(limitS(now, timeConstantS), TRUSTED_SHARE * idleS);
            lastDropAtS = now;
        }
    }

    /** Returns the limit, infinite where no connections seem to be dropped. */
    public double limitS(double now, double timeConstantS) {
        return now < lastDropAtS + HOLD_TIME_CONSTANTS * timeConstantS ? limitS : Double.POSITIVE_INFINITY;
    }

    /** Resets the limit, because new connections fail and closing idle ones would do harm. */
    public void reset() {
        lastDropAtS = Double.NEGATIVE_INFINITY;
    }
}
