package pepperdock.faultinjection;

/**
 * Says when the machine, not the program, was late: a thread that wants to run every so often, and notes by how much it came
 * too late. What a run shows counts only while the sum stays small.
 */
final class Heartbeat implements AutoCloseable {

    private static final long EVERY_MS = 20;
    private static final double LATE_S = 0.1;

    private final History history;
    private final Thread thread = new Thread(this::run, "heartbeat");
    private volatile boolean closed;
    private volatile double late;

    Heartbeat(History history) {
        this.history = history;
        thread.setDaemon(true);
        thread.setPriority(Thread.MAX_PRIORITY);
        thread.start();
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // This thread alone writes it; others only read.
    private void run() {
        double last = history.now();
        while (!closed) {
            try {
                Thread.sleep(EVERY_MS);
            } catch (InterruptedException e) {
                return;
            }
            double now = history.now();
            double by = now - last - EVERY_MS / 1e3;
            if (by > LATE_S) {
                late += by;
                history.rig("late", "by", Math.round(by * 1e3) / 1e3);
            }
            last = now;
        }
    }

    /** Seconds by which it came too late, in all. */
    double late() {
        return late;
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
