package pepperdock.simulation.distribution;

import java.util.Arrays;

/** Collects values of one kind; quantiles are by rank, rounded up. */
final class Samples {

    private long[] values = new long[16];
    private int count;
    private boolean sorted;

    void add(long value) {
        if (count == values.length) {
            values = Arrays.copyOf(values, 2 * count);
        }
        values[count++] = value;
        sorted = false;
    }

    void addAll(Samples other) {
        for (int i = 0; i < other.count; i++) {
            add(other.values[i]);
        }
    }

    int count() {
        return count;
    }

    /** Returns the smallest value that at least this share of the values does not exceed; 0 if there are none. */
    long quantile(double share) {
        if (count == 0) {
            return 0;
        }
        if (!sorted) {
            Arrays.sort(values, 0, count);
            sorted = true;
        }
        int rank = (int) Math.ceil(share * count);
        return values[Math.min(count, Math.max(1, rank)) - 1];
    }
}
