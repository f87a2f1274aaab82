package pepperdock.estimate;

/**
 * How long workers take for a part, in seconds: exponentially weighted means and a quantile, updated one answer at a time.
 */
public final class ServiceTime {

    /** Weight of one sample in the means: some sixty parts, a few seconds of traffic. */
    private static final double GAIN = 1.0 / 64;

    /** Gain towards a shorter time in {@link #unqueuedS}; towards a longer one it is multiplied by {@link #GAIN}. */
    private static final double SHORTER_GAIN = 0.1;

    /**
     * Step of the lower quartile as a share of itself, and the most that the parts of one query may move it together: they
     * come in sorted, and must not carry the estimate to the time of the slowest.
     */
    private static final double QUARTILE_STEP = 0.1;

    private static final double QUARTILE_STEP_PER_QUERY = 2;

    /** The share of answers that are quicker than the lower quartile. */
    private static final double QUARTILE = 0.25;

    private double mean;
    private double unqueued;
    private double lowerQuartile;
    private double deviation;

    /** Begins with a guess, in seconds, for the time before any answer has come. */
    public ServiceTime(double guessS) {
        mean = guessS;
        unqueued = guessS;
        lowerQuartile = guessS;
        deviation = guessS / 2;
    }

    /** Takes in one answer that took so many seconds, to a part of a query of so many parts. */
    public void add(double spentS, int partsOfQuery) {
        double step = Math.min(QUARTILE_STEP, QUARTILE_STEP_PER_QUERY / Math.max(1, partsOfQuery));
        lowerQuartile *= 1 + step * (spentS > lowerQuartile ? QUARTILE : QUARTILE - 1);
        double off = Math.abs(spentS - mean);
        mean += GAIN * (spentS - mean);
        unqueued += (spentS < unqueued ? SHORTER_GAIN : SHORTER_GAIN * GAIN) * (spentS - unqueued);
        deviation += GAIN * (off - deviation);
    }

    /** The mean, in seconds. */
    public double meanS() {
        return mean;
    }

    /** The mean absolute deviation from the mean, in seconds. */
    public double deviationS() {
        return deviation;
    }

    /** The time that a quarter of the answers stay under, in seconds: true while up to three quarters of workers are slow. */
    public double lowerQuartileS() {
        return lowerQuartile;
    }

    /** The time of parts that did not queue, in seconds: follows shorter times at once and longer ones slowly. */
    public double unqueuedS() {
        return unqueued;
    }
}
