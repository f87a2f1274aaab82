package pepperdock.scheduler;

/**
 * Runs a periodic timer while there is anything to check, and detects that the process was paused.
 *
 * <p>While queries are open, or the endpoint list is not watched, a timer expires every {@link #PERIOD_TICKS} ticks. A
 * batch that opens long after the timer was due means that this process was paused. Its input is the time in seconds.
 * The timer is needed because time-outs cause no events.
 *
 * <p>Detecting pauses keeps answers that waited in this process from being counted against endpoints. It costs one
 * batch in which overdue attempts are not checked.
 */
final class SweepTimer {

    /** Period in ticks: short enough for time-outs, long enough to cost little. */
    static final int PERIOD_TICKS = 5;

    /**
     * Number of periods by which a timer must be late to show that the process was paused; scheduling jitter is well
     * below.
     */
    private static final double STALL_PERIODS = 4;

    /** Token of the only timer that the scheduler sets. */
    private static final String TOKEN = "sweep";

    private final SchedulerActions actions;
    private boolean armed;
    private double dueAtS;

    SweepTimer(SchedulerActions actions) {
        this.actions = actions;
    }

    /** Returns whether the timer is so late at {@code nowS} that the process must have been paused. */
    boolean isStalled(double nowS, double tickS) {
        return armed && nowS > dueAtS + STALL_PERIODS * PERIOD_TICKS * tickS;
    }

    /** Sets the timer unless it is already set. */
    void arm(double nowS, double tickS) {
        if (armed) {
            return;
        }
        armed = true;
        dueAtS = nowS + PERIOD_TICKS * tickS;
        actions.setTimer(PERIOD_TICKS * tickS, TOKEN);
    }

    /** Records that the timer has expired. */
    void onExpired() {
        armed = false;
    }
}
