package pepperdock.estimate;

/**
 * One instance's part of the work that all instances together may send to an endpoint that warms up: work comes at a rate, is saved
 * up to a limit, and may be overdrawn by one part, which the instance then waits for. Times and work are in seconds.
 *
 * <p>Instances that begin with a random share of a part overdrawn send evenly in the sum, although all learn of a start together.
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

    /** Whether a part may be sent; the rate has moved evenly since the last call, and at most so much is saved. */
    public boolean allows(double now, double newRate, double maxSavedS) {
        double earned = (now - updatedAt) * (rate + newRate) / 2;
        savedS = Math.min(maxSavedS, savedS + earned);
        rate = newRate;
        updatedAt = now;
        return savedS >= 0;
    }

    /** Takes out the estimated work of a part that is sent. */
    public void send(double workS) {
        savedS -= workS;
    }
}
