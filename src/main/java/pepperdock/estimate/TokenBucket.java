package pepperdock.estimate;

/** A token bucket: tokens arrive at a rate, are kept up to a capacity, and are taken one at a time. */
public final class TokenBucket {

    private double tokens;
    private double updatedAt;

    /**
     * Takes a token if there is one, and returns whether there was; {@code rate} is in tokens per second, {@code now}
     * in seconds.
     */
    public boolean take(double now, double rate, double capacity) {
        double saved = Math.min(capacity, tokens + rate * (now - updatedAt));
        updatedAt = now;
        tokens = saved < 1 ? saved : saved - 1;
        return saved >= 1;
    }
}
