package pepperdock.estimate;

import java.util.Arrays;

/**
 * The work of a part of each class, in seconds, from the time of parts that did not queue. Kept by class: one estimate for all
 * would follow the quickest class, and take ten heavy parts for ten light ones.
 */
public final class PartWork {

    /** Weight of one part towards a shorter time, which shows work without queueing. */
    private static final double SHORTER_GAIN = 0.1;

    /** Weight of one part in the mean over classes: some sixty parts, a few seconds of traffic. */
    private static final double MEAN_GAIN = 1.0 / 64;

    /** Weight of one part towards a longer time, which may be due to queueing. */
    private static final double LONGER_GAIN = SHORTER_GAIN * MEAN_GAIN;

    /** So many first parts of a class count alike: an initial guess that is too short would last. */
    private static final int FIRST_PARTS = 16;

    private final double[] workS;
    private final int[] firstPartsSeen;
    private double meanS;
    private int partsInMean;

    /** Begins with a guess for all classes, in seconds. */
    public PartWork(int classes, double guessS) {
        workS = new double[classes];
        Arrays.fill(workS, guessS);
        firstPartsSeen = new int[classes];
        meanS = guessS;
    }

    /** Takes in a part of a class that was answered after {@code elapsedS}. */
    public void add(int classIndex, double elapsedS) {
        double difference = elapsedS - workS[classIndex];
        double gain = difference < 0 ? SHORTER_GAIN : LONGER_GAIN;
        if (firstPartsSeen[classIndex] < FIRST_PARTS) {
            gain = 1.0 / ++firstPartsSeen[classIndex];
        }
        workS[classIndex] += gain * difference;
        partsInMean += partsInMean < 1 / MEAN_GAIN ? 1 : 0;
        meanS += (workS[classIndex] - meanS) / partsInMean;
    }

    /** Work of a part of the class, in seconds. */
    public double of(int classIndex) {
        return workS[classIndex];
    }

    /** Mean over the parts answered, in seconds. */
    public double mean() {
        return meanS;
    }

    /** Work of a part of the lightest class, in seconds. */
    public double least() {
        return Arrays.stream(workS).min().orElseThrow();
    }

    /** Work of a part of the heaviest class, in seconds. */
    public double most() {
        return Arrays.stream(workS).max().orElseThrow();
    }
}
