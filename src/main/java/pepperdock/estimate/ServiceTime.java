package pepperdock.estimate;

/**
 * Estimates how long endpoints take for a part, in seconds: exponentially weighted means and a quantile, updated with
 * each answer.
 */
public final class ServiceTime {

    /** Weight of one sample in the means, which thus span about sixty parts: a few seconds of traffic. */
    private static final double GAIN = 1.0 / 64;

    /** Step of the lower quartile for one sample, as a share of the quartile. */
    private static final double QUARTILE_STEP = 0.1;

    /**
     * Upper limit for the sum of the steps of all parts of one query, as a share of the quartile: the answers of a
     * query arrive sorted by time, and the slow ones, which come last, must not move the estimate to their time.
     */
    private static final double QUARTILE_STEP_PER_QUERY = 2;

    /** Share of answers that are quicker than the lower quartile. */
    private static final double QUARTILE = 0.25;

    private double mean;
    private double lowerQuartile;
    private double deviation;

    /** Creates an estimate that starts with a guess, in seconds, which applies until answers have arrived. */
    public ServiceTime(double guessS) {
        mean = guessS;
        lowerQuartile = guessS;
        deviation = guessS / 2;
    }

    /**
     * Records an answer that took {@code elapsedS} seconds, for a part of a query that has {@code partsOfQuery} parts.
     */
    public void add(double elapsedS, int partsOfQuery) {
        double step = Math.min(QUARTILE_STEP, QUARTILE_STEP_PER_QUERY / Math.max(1, partsOfQuery));
        lowerQuartile *= 1 + step * (elapsedS > lowerQuartile ? QUARTILE : QUARTILE - 1);
        double difference = Math.abs(elapsedS - mean);
        mean += GAIN * (elapsedS - mean);
        deviation += GAIN * (difference - deviation);
    }

    /** Returns the mean, in seconds. */
    public double meanS() {
        return mean;
    }

    /** Returns the mean absolute deviation from the mean, in seconds. */
    public double deviationS() {
        return deviation;
    }

    /**
     * Returns the time that a quarter of the answers stay under, in seconds. It stays correct while up to three
     * quarters of the endpoints are slow.
     */
    public double lowerQuartileS() {
        return lowerQuartile;
    }
}
