package pepperdock.store.raft;

import java.util.Random;

/**
 * Counts the ticks since the last sign of a leader. At each change of role the timeout is drawn again at random,
 * between one and two election timeouts, so that candidates seldom split the vote (thesis, 3.4). Used only on the
 * thread that calls {@link RaftServer}.
 */
final class ElectionTimer {

    private final int minimumTicks;
    private final Random random;
    private int ticks;
    private int timeoutTicks;

    ElectionTimer(int minimumTicks, Random random) {
        this.minimumTicks = minimumTicks;
        this.random = random;
    }

    void tick() {
        ticks++;
    }

    /** Resets the count because a leader was heard from or a vote was granted. */
    void reset() {
        ticks = 0;
    }

    /** Resets the count and draws a new timeout. */
    void restart() {
        ticks = 0;
        timeoutTicks = minimumTicks + random.nextInt(minimumTicks);
    }

    boolean timedOut() {
        return ticks >= timeoutTicks;
    }

    /**
     * Returns whether less than the minimum election timeout has passed since the last sign of a leader (thesis,
     * 4.2.3).
     */
    boolean withinMinimum() {
        return ticks < minimumTicks;
    }
}
