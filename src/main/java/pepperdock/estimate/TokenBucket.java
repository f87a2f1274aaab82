package pepperdock.estimate;

/** Tokens that come at a rate, are kept up to a capacity, and are taken one by one. */
public final class TokenBucket {

    private double tokens;
    private double updatedAt;

    /** Takes a token if there is one; rate in tokens a second, the time in seconds. */
    public boolean take(double now, double rate, double capacity) {
        double saved = Math.min(capacity, tokens + rate * (now - updatedAt));
        updatedAt = now;
        tokens = saved < 1 ? saved : saved - 1;
        return saved >= 1;
    }
}
