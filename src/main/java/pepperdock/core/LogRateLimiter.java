package pepperdock.core;

import java.util.function.Supplier;

/**
 * Limits the number of log lines of one kind per second. Lines beyond the limit are only counted, and one line states
 * their number a second later. Prevents a hundred workers that fail within a second, or a client that sends requests at
 * full speed, from filling the log and from costing the I/O thread more than the fault itself. Used on the clock's
 * thread only.
 */
public final class LogRateLimiter {

    /** Maximum number of lines written per second: enough to see which workers or clients are affected. */
    public static final int MAX_LINES_PER_SECOND = 20;

    private static final double WINDOW_S = 1;

    private final System.Logger logger;
    private final Clock clock;
    private final String kind;
    private double windowStart = Double.NEGATIVE_INFINITY;
    private int linesInWindow;
    private int suppressed;

    /**
     * Creates a limiter for one kind of log line.
     *
     * @param kind description of the kind in the plural, for the line that states how many lines were suppressed: "log
     *     lines suppressed: 80 more KIND"
     */
    public LogRateLimiter(System.Logger logger, Clock clock, String kind) {
        this.logger = logger;
        this.clock = clock;
        this.kind = kind;
    }

    /** Writes the line or counts it as suppressed; {@code text} is evaluated only for a line that is written. */
    public void log(System.Logger.Level level, Supplier<String> text) {
        log(level, text, null);
    }

    /** Like {@link #log(System.Logger.Level, Supplier)}, with the stack trace of {@code cause} unless that is null. */
    public void log(System.Logger.Level level, Supplier<String> text, Throwable cause) {
        double now = clock.now();
        if (now - windowStart > WINDOW_S) {
            windowStart = now;
            linesInWindow = 0;
        }
        if (++linesInWindow <= MAX_LINES_PER_SECOND) {
            logger.log(level, text, cause);
        } else if (++suppressed == 1) {
            clock.after(WINDOW_S, this::logSuppressed);
        }
    }

    private void logSuppressed() {
        logger.log(System.Logger.Level.INFO, "log lines suppressed: {0} more {1}", suppressed, kind);
        suppressed = 0;
    }
}
