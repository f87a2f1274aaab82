package pepperdock.simulation.distribution;

/**
 * Measures bytes over time: the sum of each whole second, and the maximum over one-second windows that begin every
 * 100 ms.
 */
final class ByteMeter {

    private static final int SLOT_MILLIS = 100;
    private static final int SLOTS = 10;

    private final long[] slots = new long[SLOTS];
    private final Samples perSecond = new Samples();
    /** Whole seconds before this time, in milliseconds, are left out of {@link #perSecond}. */
    private final long fromMillis;

    private long slot;
    private long sum;
    private long maxPerSecond;

    ByteMeter(long fromMillis) {
        this.fromMillis = fromMillis;
    }

    void add(long now, int bytes) {
        advance(now / SLOT_MILLIS);
        slots[(int) (slot % SLOTS)] += bytes;
        sum += bytes;
        maxPerSecond = Math.max(maxPerSecond, sum);
    }

    /** Ends the measurement. */
    void end(long now) {
        advance(now / SLOT_MILLIS);
    }

    long maxPerSecond() {
        return maxPerSecond;
    }

    Samples perSecond() {
        return perSecond;
    }

    private void advance(long to) {
        while (slot < to) {
            slot++;
            if (slot % SLOTS == 0 && slot * SLOT_MILLIS > fromMillis) {
                perSecond.add(sum);
            }
            sum -= slots[(int) (slot % SLOTS)];
            slots[(int) (slot % SLOTS)] = 0;
        }
    }
}
