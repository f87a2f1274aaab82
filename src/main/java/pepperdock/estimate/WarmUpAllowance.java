package pepperdock.estimate;

/**
 * One instance's portion of the work that all instances together may send to an endpoint that is warming up. Work
 * accrues at a rate, is saved up to a limit, and may be overdrawn by one part, after which the instance waits until the
 * debt is paid. Times and work are in seconds.
 *
 * <p>If each instance starts overdrawn by a random share of a part, all instances together send at an even rate,
 * although they learn of the start of an endpoint at the same time.
 */
public final class WarmUpAllowance {

    private double savedS;
    private double rate;
    private double updatedAt;

    /** Creates an allowance that is overdrawn by {@code overdrawnS}, at a rate in seconds of work per second. */
    public WarmUpAllowance(double now, double rate, double overdrawnS) {
        savedS = -overdrawnS;
        this.rate = rate;
        updatedAt = now;
    }

    /**
     * Returns whether a part may be sent. The rate is taken to have changed linearly since the last call; at most
     * {@code maxSavedS} is saved.
     */
    public boolean allows(double now, double newRate, double maxSavedS) {
        double earned = (now - updatedAt) * (rate + newRate) / 2;
        savedS = Math.min(maxSavedS, savedS + earned);
        rate = newRate;
        updatedAt = now;
        return savedS >= 0;
    }

    /** Deducts the estimated work of a part that is sent. */
    public void onSend(double workS) {
        savedS -= workS;
    }
}
