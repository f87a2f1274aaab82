package pepperdock.estimate;

/**
 * The idleness that connections are not trusted with, in seconds, learnt from calls on idle connections that stayed
 * unanswered: something on the way drops such connections without a word.
 */
public final class IdleLimit {

    /** Share of calls after idleness, with a few more supposed answered, left unanswered only by dropped connections. */
    private static final double DROPPED_SHARE = 0.25;

    private static final double SUPPOSED_ANSWERED = 4;

    /** Share of the shortest idleness seen unanswered that is still trusted, and for how many time constants. */
    private static final double TRUSTED_SHARE = 0.5;

    private static final double HELD_TIME_CONSTANTS = 20;

    private final DecayingCount silent = new DecayingCount();
    private final DecayingCount calls = new DecayingCount();
    private double droppedAt = Double.NEGATIVE_INFINITY;
    private double shortestDropped;

    /** Takes in a call on a connection that had been idle for so long, and whether it stayed unanswered. */
    public void add(double idleS, boolean unanswered, double now, double timeConstantS) {
        silent.add(unanswered ? 1 : 0, now, timeConstantS);
        calls.add(1, now, timeConstantS);
        if (unanswered && silent.latest() > DROPPED_SHARE * (calls.latest() + SUPPOSED_ANSWERED)) {
            shortestDropped = Math.min(seconds(now, timeConstantS), TRUSTED_SHARE * idleS);
            droppedAt = now;
        }
    }

    /** The limit, infinite where no connections seem to be dropped. */
    public double seconds(double now, double timeConstantS) {
        return now < droppedAt + HELD_TIME_CONSTANTS * timeConstantS ? shortestDropped : Double.POSITIVE_INFINITY;
    }

    /** Forgets the limit: new connections fail, so that closing idle ones harms. */
    public void forget() {
        droppedAt = Double.NEGATIVE_INFINITY;
    }
}
