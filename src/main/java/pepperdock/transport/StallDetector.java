package pepperdock.transport;

import java.util.Locale;
import pepperdock.core.Clock;
import pepperdock.core.LogRateLimiter;

/**
 * Measures for how long the loop may have left input unread, by the lateness of a periodic timer: the thread was busy,
 * got no processor, or the process was stopped. A request that is read then has waited for that time at most. Used on
 * the loop's thread.
 */
final class StallDetector {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");

    /** Seconds between two runs of the timer; stalls shorter than this go unnoticed. */
    private static final double INTERVAL_S = 0.05;
    /** Seconds between a late run and the next one: what was unread then is read in the meantime. */
    private static final double INTERVAL_AFTER_STALL_S = 0.005;
    /** Lateness below which the loop counts as running. */
    private static final double MIN_STALL_S = 0.03;
    /** Lateness that is logged and counted: requests with short time limits miss them. */
    private static final double MIN_LOGGED_STALL_S = 0.1;

    private final Clock clock;
    private final TransportMetrics metrics;
    private final InputAccounting input;
    private final LogRateLimiter log;
    private boolean started;
    private double dueAtS;
    private double lastStallS;

    StallDetector(Clock clock, TransportMetrics metrics, InputAccounting input) {
        this.clock = clock;
        this.metrics = metrics;
        this.input = input;
        log = new LogRateLimiter(LOG, clock, "stalls of the event loop");
    }

    /** Starts the timer, if it is not running yet. */
    void start() {
        if (!started) {
            started = true;
            schedule(INTERVAL_S);
        }
    }

    /** Returns for how many seconds what is read now may have been unread; 0 if the loop has not stalled. */
    double unreadForS() {
        if (!started) {
            return 0;
        }
        double lateS = latenessS();
        return lateS > 0 ? lateS : lastStallS;
    }

    private double latenessS() {
        double lateS = clock.now() - dueAtS;
        return lateS > MIN_STALL_S ? lateS : 0;
    }

    private void schedule(double afterS) {
        dueAtS = clock.now() + afterS;
        clock.after(afterS, this::run);
    }

    private void run() {
        lastStallS = latenessS();
        if (lastStallS > MIN_LOGGED_STALL_S) {
            double lateS = lastStallS;
            metrics.recordStall(lateS);
            log.log(
                    System.Logger.Level.WARNING,
                    () -> String.format(Locale.ROOT, "event loop late by %.3f s, %s", lateS, input.describe()));
        }
        input.reset();
        schedule(lastStallS > 0 ? INTERVAL_AFTER_STALL_S : INTERVAL_S);
    }
}
