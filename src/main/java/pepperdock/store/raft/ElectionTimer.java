package pepperdock.store.raft;

import java.util.Random;

/**
 * Counts the ticks without a sign of a leader. The timeout is drawn anew with every change of role, from one to two election
 * timeouts, so that candidates seldom split the vote (thesis, 3.4). Owned by the thread that calls {@link RaftServer}.
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

    /** A leader was heard from, or a vote was given. */
    void reset() {
        ticks = 0;
    }

    /** Begins anew with a timeout of its own. */
    void restart() {
        ticks = 0;
        timeoutTicks = minimumTicks + random.nextInt(minimumTicks);
    }

    boolean timedOut() {
        return ticks >= timeoutTicks;
    }

    /** Whether less than the minimum election timeout has passed since the last sign of a leader (thesis, 4.2.3). */
    boolean withinMinimum() {
        return ticks < minimumTicks;
    }
}
