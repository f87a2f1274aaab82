package pepperdock.distribution;

import java.util.Random;

/** How many snapshots may be under way at once, and when the others should ask again. */
final class Admission {

    private static final double JITTER = 0.25;

    private final int most;
    private final Random chance;
    private int underWay;
    /** Turned away, and not back yet. */
    private int waiting;

    Admission(int most, Random chance) {
        this.most = most;
        this.chance = chance;
    }

    /** Whether a snapshot may begin now; one that does must be {@link #finished} once. */
    boolean admits() {
        if (underWay >= most) {
            return false;
        }
        underWay++;
        return true;
    }

    void finished() {
        underWay--;
    }

    /** One that was turned away is back, or gone. */
    void returned() {
        waiting--;
    }

    int underWay() {
        return underWay;
    }

    /** Milliseconds after which one that was not admitted should ask again, where a snapshot takes so many. It counts as waiting until {@link #returned}. */
    int retryAfterMillis(int snapshotMillis) {
        int roundsAhead = 1 + waiting / most;
        waiting++;
        double jitter = 1 - JITTER + 2 * JITTER * chance.nextDouble();
        return (int) (roundsAhead * snapshotMillis * jitter);
    }
}
