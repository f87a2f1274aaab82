package pepperdock.simulation.distribution;

/** Bytes over time: how many in each whole second, and the most in any second that begins at a tenth of one. */
final class ByteMeter {

    private static final int SLOT_MILLIS = 100;
    private static final int SLOTS = 10;

    private final long[] slots = new long[SLOTS];
    private final Samples perSecond = new Samples();
    /** Whole seconds before this don't count among {@link #perSecond}. */
    private final long from;

    private long slot;
    private long sum;
    private long most;

    ByteMeter(long from) {
        this.from = from;
    }

    void add(long now, int bytes) {
        advance(now / SLOT_MILLIS);
        slots[(int) (slot % SLOTS)] += bytes;
        sum += bytes;
        most = Math.max(most, sum);
    }

    /** Ends the measurement. */
    void end(long now) {
        advance(now / SLOT_MILLIS);
    }

    long most() {
        return most;
    }

    Samples perSecond() {
        return perSecond;
    }

    private void advance(long to) {
        while (slot < to) {
            slot++;
            if (slot % SLOTS == 0 && slot * SLOT_MILLIS > from) {
                perSecond.add(sum);
            }
            sum -= slots[(int) (slot % SLOTS)];
            slots[(int) (slot % SLOTS)] = 0;
        }
    }
}
