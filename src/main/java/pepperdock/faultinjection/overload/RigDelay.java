package pepperdock.faultinjection.overload;

import java.util.concurrent.locks.LockSupport;
import pepperdock.faultinjection.upgrade.MonotonicClock;

/** Measures by how much threads of the rig itself run late, which the times of clients and workers include. */
final class RigDelay implements AutoCloseable {

    private static final long INTERVAL_NANOS = 2_000_000;
    private static final double NANOS_PER_S = 1e9;

    private final Thread thread;
    private volatile boolean closed;
    private volatile double longestS;

    RigDelay() {
        thread = RigThreads.start(this::run, "rig delay");
    }

    private void run() {
        while (!closed) {
            double startS = MonotonicClock.now();
            LockSupport.parkNanos(INTERVAL_NANOS);
            double lateS = MonotonicClock.now() - startS - INTERVAL_NANOS / NANOS_PER_S;
            if (lateS > longestS) {
                longestS = lateS;
            }
        }
    }

    /** Returns the longest delay so far, in seconds. */
    double longestS() {
        return longestS;
    }

    @Override
    public void close() {
        closed = true;
        RigThreads.join(thread);
    }
}
