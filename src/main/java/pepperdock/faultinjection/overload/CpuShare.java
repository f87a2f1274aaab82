package pepperdock.faultinjection.overload;

import java.io.IOException;
import java.io.UncheckedIOException;
import pepperdock.faultinjection.upgrade.GathererProcess;

/** Holds a process to a share of processor time by stopping it for a part of each period. Runs on a thread of its own. */
final class CpuShare implements AutoCloseable {

    private static final double PERIOD_MS = 10;
    private static final double NANOS_PER_MS = 1e6;

    private final GathererProcess process;
    private final double runMs;
    private final Thread thread;
    private volatile boolean closed;

    /** Starts to hold the process to {@code share} of each period, above 0 and at most 1. */
    CpuShare(GathererProcess process, double share) {
        this.process = process;
        runMs = share * PERIOD_MS;
        thread = RigThreads.start(share < 1 ? this::run : () -> {}, "cpu share");
    }

    private void run() {
        try {
            while (!closed && process.isAlive()) {
                sleepMs(runMs);
                process.signal("STOP");
                sleepMs(PERIOD_MS - runMs);
                process.signal("CONT");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepMs(double ms) throws InterruptedException {
        long nanos = (long) (ms * NANOS_PER_MS);
        Thread.sleep(nanos / (long) NANOS_PER_MS, (int) (nanos % (long) NANOS_PER_MS));
    }

    /** Lets the process run freely again. */
    @Override
    public void close() throws IOException {
        closed = true;
        RigThreads.join(thread);
        process.signal("CONT");
    }
}
