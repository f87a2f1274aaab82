package pepperdock.faultinjection;

/**
 * Detects when the machine, not the program, was late: a thread that wakes up at a fixed interval and records by how
 * much it was late. Findings count only while the total stays small.
 */
final class SchedulingDelayMonitor implements AutoCloseable {

    private static final long INTERVAL_MS = 20;
    private static final double THRESHOLD_S = 0.1;

    private final History history;
    private final Thread thread = new Thread(this::run, "heartbeat");
    private volatile boolean closed;
    private volatile double totalLateS;

    SchedulingDelayMonitor(History history) {
        this.history = history;
        thread.setDaemon(true);
        thread.setPriority(Thread.MAX_PRIORITY);
        thread.start();
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // Written by this thread only.
    private void run() {
        double last = history.now();
        while (!closed) {
            try {
                Thread.sleep(INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
            double now = history.now();
            double lateS = now - last - INTERVAL_MS / 1e3;
            if (lateS > THRESHOLD_S) {
                totalLateS += lateS;
                history.addRigEvent("late", "by", Math.round(lateS * 1e3) / 1e3);
            }
            last = now;
        }
    }

    /** Returns the total lateness in seconds. */
    double totalLateS() {
        return totalLateS;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
