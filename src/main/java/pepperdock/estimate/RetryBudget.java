package pepperdock.estimate;

/**
 * How many further attempts may be made: a share of the first attempts, saved up to a limit, and where the settings state a
 * budget over a window, that as well. Guards against retry storms.
 */
public final class RetryBudget {

    /** Further attempts earned by a first attempt, and the most saved up: that, or a share of a query's parts. */
    private static final double EARNED = 0.15;

    private static final double SAVED_MOST = 10;
    private static final double SAVED_MOST_PER_PART = 0.25;

    /** Part of the stated budget left unused against rounding at the window's edge. */
    private static final double SLACK = 1;

    private static final double EPSILON = 1e-6;

    /**
     * The budget that the settings state: further attempts within a window, so many and a share of the queries and parts
     * taken in within it.
     *
     * @param windowS length of the window in seconds, 0 where none is stated
     */
    public record Stated(double windowS, double free, double share) {}

    private final SlidingWindow taken = new SlidingWindow();
    private final SlidingWindow further = new SlidingWindow();
    private Stated stated;
    private double saved = SAVED_MOST;

    /** Begins with as much saved up as may be. */
    public RetryBudget(Stated stated) {
        this.stated = stated;
    }

    /** Goes by another stated budget from now on. */
    public void stated(Stated now) {
        stated = now;
    }

    /** Whether the settings state a budget. */
    public boolean isStated() {
        return stated.windowS() > 0;
    }

    /** Counts a query or part that was taken in; nothing is kept where no budget is stated. */
    public void take(double now) {
        if (isStated()) {
            taken.add(now);
            taken.countSince(now - stated.windowS());
        }
    }

    /** Counts a first attempt, at a part of a query of so many parts. */
    public void first(int partsOfQuery) {
        double most = Math.max(SAVED_MOST, SAVED_MOST_PER_PART * partsOfQuery);
        saved = Math.max(saved, Math.min(saved + EARNED, most));
    }

    /** Counts a further attempt; one after an answered failure costs nothing of what is saved. */
    public void further(double now, boolean afterFailure) {
        saved -= afterFailure ? 0 : 1;
        if (isStated()) {
            further.add(now);
        }
    }

    /** Whether a further attempt may be made now. */
    public boolean allows(double now, boolean afterFailure) {
        if (saved < 1 && !afterFailure) {
            return false;
        }
        if (!isStated()) {
            return true;
        }
        int takenIn = taken.countSince(now - stated.windowS());
        int made = further.countSince(now - stated.windowS() - EPSILON);
        return made + 1 <= stated.free() + stated.share() * takenIn - SLACK;
    }
}
