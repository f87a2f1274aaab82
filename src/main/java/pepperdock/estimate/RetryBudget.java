package pepperdock.estimate;

/**
 * How many retries may be made: a share of the first attempts, saved up to a limit, and where the settings state a budget over a
 * window, that as well. Guards against retry storms.
 */
public final class RetryBudget {

    /** Retries earned by a first attempt: ordinary faults hit fewer, and load grows by no more than this share. */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.15;

    /** Most retries saved up, so that a quiet hour is no burst of retries. */
    private static final double MAX_SAVED_RETRIES = 10;

    /** Most retries saved up while queries have many parts, as a share of a query's parts. */
    private static final double MAX_SAVED_SHARE_OF_QUERY = 0.25;

    /** Retries of the stated budget left unused, against rounding at the window's edge. */
    private static final double UNUSED_RETRIES = 1;

    /** Seconds added to the window in which retries are counted, against rounding at its edge. */
    private static final double WINDOW_TOLERANCE_S = 1e-6;

    /**
     * The budget that the settings state.
     *
     * @param windowS length of the window in seconds, 0 where no budget is stated
     * @param free retries within the window that are always allowed
     * @param share further retries, as a share of the queries and parts that arrived within the window
     */
    public record Stated(double windowS, double free, double share) {}

    private final SlidingWindow arrivals = new SlidingWindow();
    private final SlidingWindow retries = new SlidingWindow();
    private Stated stated;
    private double savedRetries = MAX_SAVED_RETRIES;

    /** Begins with as much saved up as may be. */
    public RetryBudget(Stated stated) {
        this.stated = stated;
    }

    /** Replaces the stated budget. */
    public void update(Stated newStated) {
        stated = newStated;
    }

    /** Whether the settings state a budget. */
    public boolean isStated() {
        return stated.windowS() > 0;
    }

    /** Counts a query or part that has arrived; nothing is kept where no budget is stated. */
    public void onArrival(double now) {
        if (isStated()) {
            arrivals.add(now);
            arrivals.countSince(now - stated.windowS());
        }
    }

    /** Counts a first attempt, at a part of a query of so many parts. */
    public void onFirstAttempt(int partsOfQuery) {
        double most = Math.max(MAX_SAVED_RETRIES, MAX_SAVED_SHARE_OF_QUERY * partsOfQuery);
        savedRetries = Math.max(savedRetries, Math.min(savedRetries + RETRIES_PER_FIRST_ATTEMPT, most));
    }

    /** Counts a retry; one after a response of failure costs nothing of what is saved, as the endpoint did little work. */
    public void onRetry(double now, boolean afterFailureResponse) {
        savedRetries -= afterFailureResponse ? 0 : 1;
        if (isStated()) {
            retries.add(now);
        }
    }

    /** Whether a retry may be made now. */
    public boolean allows(double now, boolean afterFailureResponse) {
        if (savedRetries < 1 && !afterFailureResponse) {
            return false;
        }
        if (!isStated()) {
            return true;
        }
        int arrived = arrivals.countSince(now - stated.windowS());
        int made = retries.countSince(now - stated.windowS() - WINDOW_TOLERANCE_S);
        return made + 1 <= stated.free() + stated.share() * arrived - UNUSED_RETRIES;
    }
}
