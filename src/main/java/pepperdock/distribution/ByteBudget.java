package pepperdock.distribution;

/**
 * A token bucket of bytes that may be sent: so many a second, and so many at once. Owned by the thread that calls
 * {@link Publisher}.
 */
final class ByteBudget {

    private static final long MILLIS = 1000;

    private final long bytesPerSecond;
    private final long burst;
    /** Thousandths of a byte, so that no part of a byte is lost between two calls. */
    private long milliBytes;

    private long filledAt;

    ByteBudget(long bytesPerSecond, long burst, long now) {
        this.bytesPerSecond = bytesPerSecond;
        this.burst = burst;
        milliBytes = burst * MILLIS;
        filledAt = now;
    }

    /** Whether so many bytes may be sent now; a message larger than the burst may once the budget is full. */
    boolean allows(int bytes, long now) {
        fill(now);
        return milliBytes >= Math.min(bytes, burst) * MILLIS;
    }

    /** So many bytes are sent; the budget may be overdrawn by the last message. */
    void spend(int bytes) {
        milliBytes -= bytes * MILLIS;
    }

    private void fill(long now) {
        milliBytes = Math.min(burst * MILLIS, milliBytes + (now - filledAt) * bytesPerSecond);
        filledAt = now;
    }
}
