package pepperdock.distribution;

import java.util.Random;

/**
 * Admission control for snapshots: limits how many are transferred at once, and tells the others when to retry. Not
 * thread-safe: used only by the thread that calls {@link Publisher}.
 */
final class SnapshotAdmission {

    private static final double JITTER = 0.25;

    private final int limit;
    private final Random random;
    private int underWay;
    /** The number of subscribers that were rejected and have not retried yet. */
    private int waiting;

    SnapshotAdmission(int limit, Random random) {
        this.limit = limit;
        this.random = random;
    }

    /** Returns whether a snapshot may start now; {@link #finished} must be called once for each that does. */
    boolean tryAdmit() {
        if (underWay >= limit) {
            return false;
        }
        underWay++;
        return true;
    }

    /** Records that an admitted snapshot has ended. */
    void finished() {
        underWay--;
    }

    /** Records that a rejected subscriber has retried or disconnected. */
    void returned() {
        waiting--;
    }

    /** Returns the number of snapshots that are being transferred. */
    int underWay() {
        return underWay;
    }

    /**
     * Returns the milliseconds after which a subscriber that was not admitted should retry. The subscriber counts as
     * waiting until {@link #returned} is called.
     *
     * @param snapshotMillis the time that one snapshot takes
     */
    int retryAfterMillis(int snapshotMillis) {
        int roundsAhead = 1 + waiting / limit;
        waiting++;
        double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
        return (int) (roundsAhead * snapshotMillis * jitter);
    }
}
