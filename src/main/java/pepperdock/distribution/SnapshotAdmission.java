package pepperdock.distribution;

import java.util.Random;

/**
 * Admission control of snapshots: how many may be under way at once, and when the others should retry. Owned by the thread that
 * calls {@link Publisher}.
 */
final class SnapshotAdmission {

    private static final double JITTER = 0.25;

    private final int limit;
    private final Random random;
    private int underWay;
    /** Rejected, and not back yet. */
    private int waiting;

    SnapshotAdmission(int limit, Random random) {
        this.limit = limit;
        this.random = random;
    }

    /** Whether a snapshot may begin now; each that does must be {@link #finished} once. */
    boolean admits() {
        if (underWay >= limit) {
            return false;
        }
        underWay++;
        return true;
    }

    /** An admitted snapshot has ended. */
    void finished() {
        underWay--;
    }

    /** One that was rejected is back, or gone. */
    void returned() {
        waiting--;
    }

    /** Snapshots that are under way. */
    int underWay() {
        return underWay;
    }

    /**
     * When one that was not admitted should retry. It counts as waiting until {@link #returned}.
     *
     * @param snapshotMillis how long one snapshot takes
     */
    int retryAfterMillis(int snapshotMillis) {
        int roundsAhead = 1 + waiting / limit;
        waiting++;
        double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
        return (int) (roundsAhead * snapshotMillis * jitter);
    }
}
