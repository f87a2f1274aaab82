package pepperdock.estimate;

/**
 * One instance's part of the work that all instances together may send to a worker that warms up: work comes at a rate, is saved
 * up to a limit, and may be overdrawn by one part, which the instance then waits for. Times and work are in seconds.
 *
 * <p>Instances that begin with a random share of a part overdrawn send evenly in the sum, although all hear of a start together.
 */
public final class WarmUpAllowance {

    private double savedS;
    private double rate;
    private double updatedAt;

    /** Begins with so much overdrawn, at a rate in seconds of work a second. */
    public WarmUpAllowance(double now, double rate, double overdrawnS) {
        savedS = -overdrawnS;
        this.rate = rate;
        updatedAt = now;
    }

    /** Whether a part may be sent; the rate has moved evenly since it was last told, and at most so much is saved. */
    public boolean allows(double now, double rateNow, double mostS) {
        double earned = (now - updatedAt) * (rate + rateNow) / 2;
        savedS = Math.min(mostS, savedS + earned);
        rate = rateNow;
        updatedAt = now;
        return savedS >= 0;
    }

    /** Takes out what a part is thought to need. */
    public void send(double workS) {
        savedS -= workS;
    }
}
