package pepperdock.estimate;

/**
 * How long endpoints take for a part, in seconds: exponentially weighted means and a quantile, updated one answer at a time.
 */
public final class ServiceTime {

    /** Weight of one sample in the means: some sixty parts, a few seconds of traffic. */
    private static final double GAIN = 1.0 / 64;

    /** Step of the lower quartile for one sample, as a share of the quartile. */
    private static final double QUARTILE_STEP = 0.1;

    /**
     * Most that the parts of one query may move the quartile together, as a share of it: they come in sorted, and must not carry
     * the estimate to the time of the slowest.
     */
    private static final double QUARTILE_STEP_PER_QUERY = 2;

    /** The share of answers that are quicker than the lower quartile. */
    private static final double QUARTILE = 0.25;

    private double mean;
    private double lowerQuartile;
    private double deviation;

    /** Begins with a guess, in seconds, for the time before any answer has come. */
    public ServiceTime(double guessS) {
        mean = guessS;
        lowerQuartile = guessS;
        deviation = guessS / 2;
    }

    /** Takes in one answer that took so many seconds, to a part of a query of so many parts. */
    public void add(double elapsedS, int partsOfQuery) {
        double step = Math.min(QUARTILE_STEP, QUARTILE_STEP_PER_QUERY / Math.max(1, partsOfQuery));
        lowerQuartile *= 1 + step * (elapsedS > lowerQuartile ? QUARTILE : QUARTILE - 1);
        double difference = Math.abs(elapsedS - mean);
        mean += GAIN * (elapsedS - mean);
        deviation += GAIN * (difference - deviation);
    }

    /** The mean, in seconds. */
    public double meanS() {
        return mean;
    }

    /** The mean absolute deviation from the mean, in seconds. */
    public double deviationS() {
        return deviation;
    }

    /** The time that a quarter of the answers stay under, in seconds: true while up to three quarters of the endpoints are slow. */
    public double lowerQuartileS() {
        return lowerQuartile;
    }
}
