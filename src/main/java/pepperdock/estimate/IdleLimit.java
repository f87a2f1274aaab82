package pepperdock.estimate;

/**
 * How long a connection may be idle and still be trusted, learnt from calls on idle connections that stayed unanswered: something
 * on the network path drops such connections without a reset. All times are seconds.
 */
public final class IdleLimit {

    /** Share of calls after idleness that stay unanswered only where connections are dropped. */
    private static final double DROPPED_SHARE = 0.25;

    /** Calls supposed to be answered beside those counted, so that a first unanswered one proves nothing. */
    private static final double PRIOR_ANSWERED_CALLS = 4;

    /** Share of the shortest idle time seen unanswered that is still trusted: the limit on the path may be shorter. */
    private static final double TRUSTED_SHARE = 0.5;

    /** Time constants for which a limit holds after the last sign of it. */
    private static final double HOLD_TIME_CONSTANTS = 20;

    private final DecayingCount unansweredCalls = new DecayingCount();
    private final DecayingCount calls = new DecayingCount();
    private double lastDropAtS = Double.NEGATIVE_INFINITY;
    private double limitS;

    /** Takes in a call on a connection that had been idle for so long, and whether it stayed unanswered. */
    public void add(double idleS, boolean unanswered, double now, double timeConstantS) {
        unansweredCalls.add(unanswered ? 1 : 0, now, timeConstantS);
        calls.add(1, now, timeConstantS);
        if (unanswered && unansweredCalls.latest() > DROPPED_SHARE * (calls.latest() + PRIOR_ANSWERED_CALLS)) {
            limitS = Math.min(seconds(now, timeConstantS), TRUSTED_SHARE * idleS);
            lastDropAtS = now;
        }
    }

    /** The limit, infinite where no connections seem to be dropped. */
    public double seconds(double now, double timeConstantS) {
        return now < lastDropAtS + HOLD_TIME_CONSTANTS * timeConstantS ? limitS : Double.POSITIVE_INFINITY;
    }

    /** Forgets the limit: new connections fail, so that closing idle ones harms. */
    public void forget() {
        lastDropAtS = Double.NEGATIVE_INFINITY;
    }
}
