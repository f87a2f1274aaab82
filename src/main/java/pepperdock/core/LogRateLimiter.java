package pepperdock.core;

import java.util.function.Supplier;

/**
 * Lines of one kind for the log, so many a second at most; the rest of a second are counted, and told in one line a second later.
 * Guards against a hundred workers that fail in the same second, or a client that asks at full speed: their lines would fill
 * the log, and their writing would cost the loop more than the trouble itself.
 */
public final class LogRateLimiter {

    /** Enough to see which workers or clients it is about. */
    public static final int MOST = 20;

    private static final double WINDOW_S = 1;

    private final System.Logger log;
    private final Clock clock;
    private final String kind;
    private double since = Double.NEGATIVE_INFINITY;
    private int lines;
    private int rest;

    /** {@code kind} ends the line that tells of the rest: "and 80 more " and it. */
    public LogRateLimiter(System.Logger log, Clock clock, String kind) {
        this.log = log;
        this.clock = clock;
        this.kind = kind;
    }

    /** Writes the line, or counts it; its text is made only if it is written. */
    public void note(System.Logger.Level level, Supplier<String> text) {
        double now = clock.now();
        if (now - since > WINDOW_S) {
            since = now;
            lines = 0;
        }
        if (++lines <= MOST) {
            log.log(level, text);
        } else if (++rest == 1) {
            clock.after(WINDOW_S, () -> {
                log.log(System.Logger.Level.INFO, "and {0} more {1}", rest, kind);
                rest = 0;
            });
        }
    }
}
