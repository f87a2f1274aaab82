package pepperdock.distribution;

/**
 * A token bucket that limits the bytes sent: by a rate and a burst size. Not thread-safe: used only by the thread that
 * calls {@link Publisher}.
 */
final class ByteBudget {

    private static final long MILLIS = 1000;

    private final long bytesPerSecond;
    private final long burst;
    /** The budget left, in thousandths of a byte, so that refilling loses no fraction of a byte between two calls. */
    private long milliBytes;

    private long filledAt;

    ByteBudget(long bytesPerSecond, long burst, long now) {
        this.bytesPerSecond = bytesPerSecond;
        this.burst = burst;
        milliBytes = burst * MILLIS;
        filledAt = now;
    }

    /** Returns whether a message may be sent now; one larger than the burst is allowed once the budget is full. */
    boolean allows(int bytes, long now) {
        fill(now);
        return milliBytes >= Math.min(bytes, burst) * MILLIS;
    }

    /** Deducts the bytes of a message that is sent; the last message may overdraw the budget. */
    void spend(int bytes) {
        milliBytes -= bytes * MILLIS;
    }

    private void fill(long now) {
        milliBytes = Math.min(burst * MILLIS, milliBytes + (now - filledAt) * bytesPerSecond);
        filledAt = now;
    }
}
