package pepperdock.estimate;

import java.util.Arrays;

/**
 * The work of a part of each class, in seconds, from the time of parts that did not queue. Kept by class: one estimate for all
 * would follow the quickest class, and take ten heavy parts for ten light ones.
 */
public final class PartWork {

    /** Gain towards a shorter time; towards a longer one it is multiplied by {@link #GAIN}, as a part may have queued. */
    private static final double SHORTER_GAIN = 0.1;

    /** Weight of one part in the mean over classes: some sixty parts, a few seconds of traffic. */
    private static final double GAIN = 1.0 / 64;

    /** So many parts of a class are taken as they come: a first guess that is too short would last. */
    private static final int FIRST_PARTS = 16;

    private final double[] byClass;
    private final int[] seen;
    private double mean;
    private int seenInAll;

    /** Begins with a guess for all classes. */
    public PartWork(int classes, double guessS) {
        byClass = new double[classes];
        Arrays.fill(byClass, guessS);
        seen = new int[classes];
        mean = guessS;
    }

    /** Takes in a part that was served in so many seconds. */
    public void add(int classNo, double spentS) {
        double off = spentS - byClass[classNo];
        double gain = off < 0 ? SHORTER_GAIN : SHORTER_GAIN * GAIN;
        if (seen[classNo] < FIRST_PARTS) {
            gain = 1.0 / ++seen[classNo];
        }
        byClass[classNo] += gain * off;
        seenInAll += seenInAll < 1 / GAIN ? 1 : 0;
        mean += (byClass[classNo] - mean) / seenInAll;
    }

    /** That of a class. */
    public double of(int classNo) {
        return byClass[classNo];
    }

    /** The mean over the parts served. */
    public double mean() {
        return mean;
    }

    /** That of the lightest class. */
    public double least() {
        return Arrays.stream(byClass).min().orElseThrow();
    }

    /** That of the heaviest class. */
    public double most() {
        return Arrays.stream(byClass).max().orElseThrow();
    }
}
