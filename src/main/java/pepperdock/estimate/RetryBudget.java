package pepperdock.estimate;

/**
 * Limits the number of retries to a share of the first attempts; unused retries are saved up to a limit. Where the
 * settings define a budget over a window, retries must also stay within that budget. Guards against retry storms.
 */
public final class RetryBudget {

    /**
     * Retries that each first attempt adds to those saved up: ordinary faults affect fewer attempts, and load grows by
     * no more than this share.
     */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.15;

    /** Most retries saved up, so that a quiet hour is not followed by a burst of retries. */
    private static final double MAX_SAVED_RETRIES = 10;

    /** Most retries saved up while queries have many parts, as a share of a query's parts. */
    private static final double MAX_SAVED_SHARE_OF_QUERY = 0.25;

    /** Retries of the window budget that are left unused, to allow for rounding at the window's edge. */
    private static final double UNUSED_RETRIES = 1;

    /** Seconds by which the window is extended when retries are counted, to allow for rounding at its edge. */
    private static final double WINDOW_TOLERANCE_S = 1e-6;

    /**
     * The budget over a window that the settings define.
     *
     * @param windowS length of the window in seconds, 0 where no budget is defined
     * @param free retries within the window that are always allowed
     * @param share further retries, as a share of the queries and parts that arrived within the window
     */
    public record WindowBudget(double windowS, double free, double share) {}

    private final SlidingWindow arrivals = new SlidingWindow();
    private final SlidingWindow retries = new SlidingWindow();
    private WindowBudget windowBudget;
    private double savedRetries = MAX_SAVED_RETRIES;

    /** Creates a budget that starts with the most retries that may be saved up. */
    public RetryBudget(WindowBudget windowBudget) {
        this.windowBudget = windowBudget;
    }

    /** Replaces the window budget. */
    public void update(WindowBudget newWindowBudget) {
        windowBudget = newWindowBudget;
    }

    /** Returns whether the settings define a window budget. */
    public boolean hasWindowBudget() {
        return windowBudget.windowS() > 0;
    }

    /** Counts a query or part that has arrived; keeps nothing where no window budget is defined. */
    public void onArrival(double now) {
        if (hasWindowBudget()) {
            arrivals.add(now);
            arrivals.countSince(now - windowBudget.windowS());
        }
    }

    /** Counts a first attempt at a part of a query that has {@code partsOfQuery} parts. */
    public void onFirstAttempt(int partsOfQuery) {
        double maxSaved = Math.max(MAX_SAVED_RETRIES, MAX_SAVED_SHARE_OF_QUERY * partsOfQuery);
        savedRetries = Math.max(savedRetries, Math.min(savedRetries + RETRIES_PER_FIRST_ATTEMPT, maxSaved));
    }

    /**
     * Counts a retry. A retry after a failure response uses none of the saved retries, as the endpoint did little work.
     */
    public void onRetry(double now, boolean afterFailureResponse) {
        savedRetries -= afterFailureResponse ? 0 : 1;
        if (hasWindowBudget()) {
            retries.add(now);
        }
    }

    /** Returns whether a retry may be made now. */
    public boolean allows(double now, boolean afterFailureResponse) {
        if (savedRetries < 1 && !afterFailureResponse) {
            return false;
        }
        if (!hasWindowBudget()) {
            return true;
        }
        int arrived = arrivals.countSince(now - windowBudget.windowS());
        int made = retries.countSince(now - windowBudget.windowS() - WINDOW_TOLERANCE_S);
        return made + 1 <= windowBudget.free() + windowBudget.share() * arrived - UNUSED_RETRIES;
    }
}
