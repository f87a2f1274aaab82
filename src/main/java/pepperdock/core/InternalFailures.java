package pepperdock.core;

/**
 * Records exceptions that show a fault of this program, at the places that keep such a fault from reaching queries
 * other than its own: each is counted in the {@link Metrics} and logged with its stack trace. A step that needs more
 * heap or stack than there is counts as such a fault: what it held is free once it has failed. Owned by the gatherer's
 * thread.
 */
final class InternalFailures {

    private static final System.Logger LOG = System.getLogger("pepperdock.core");

    private final Metrics metrics;
    private final LogRateLimiter log;

    InternalFailures(Clock clock, Metrics metrics) {
        this.metrics = metrics;
        log = new LogRateLimiter(LOG, clock, "internal failures");
    }

    /** Records an exception; {@code step} says what went on when it was thrown, as in "the backend sent a call". */
    void record(String step, Throwable cause) {
        metrics.recordInternalFailure();
        log.log(System.Logger.Level.ERROR, () -> "internal failure while " + step, cause);
    }

    /** Runs a step and records its exception, if any; returns whether there was none. */
    boolean run(String step, Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            record(step, e);
            return false;
        }
    }
}
