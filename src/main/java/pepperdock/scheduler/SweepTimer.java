package pepperdock.scheduler;

/**
 * Keeps a periodic timer while there is anything to look after, and notices when the process stood still.
 *
 * <p>Rule: while queries are open, or the endpoint list is not watched, a timer expires every {@link #PERIOD_TICKS} ticks.
 * A batch that opens long after the timer was due means that this process was paused. Input: the time in seconds. Reason:
 * time-outs have no event of their own. Guards against blaming endpoints for answers that waited in this process; harms by
 * one batch in which overdue attempts are not looked for.
 */
final class SweepTimer {

    /** Period in ticks: fine enough for time-outs, coarse enough to cost little. */
    static final int PERIOD_TICKS = 5;

    /** A timer late by so many periods shows that the process was paused: scheduling jitter stays well below. */
    private static final double STALL_PERIODS = 4;

    /** Token of the timer; it is the only one that the scheduler sets. */
    private static final String TOKEN = "sweep";

    private final SchedulerActions actions;
    private boolean armed;
    private double dueAtS;

    SweepTimer(SchedulerActions actions) {
        this.actions = actions;
    }

    /** Whether the timer is so late at {@code nowS} that the process must have been paused. */
    boolean isStalled(double nowS, double tickS) {
        return armed && nowS > dueAtS + STALL_PERIODS * PERIOD_TICKS * tickS;
    }

    /** Sets the timer unless it is set. */
    void arm(double nowS, double tickS) {
        if (armed) {
            return;
        }
        armed = true;
        dueAtS = nowS + PERIOD_TICKS * tickS;
        actions.setTimer(PERIOD_TICKS * tickS, TOKEN);
    }

    /** The timer has expired. */
    void onExpired() {
        armed = false;
    }
}
