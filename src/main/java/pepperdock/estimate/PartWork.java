package pepperdock.estimate;

import java.util.Arrays;

/**
 * Estimates the work of a part of each class, in seconds, from the time of parts that did not queue. Each class has its
 * own estimate: a single estimate would follow the class with the shortest parts, and would count ten heavy parts as
 * ten light ones.
 *
 * <p>Class numbers are valid only for the list of classes that this was created for. Whoever may outlive that list
 * keeps the {@link ClassEstimate}, which stays valid.
 */
public final class PartWork {

    /** Weight of a part that took less time than the estimate: its time shows the work without queueing. */
    private static final double SHORTER_GAIN = 0.1;

    /** Weight of one part in the mean over classes, which thus spans about sixty parts: a few seconds of traffic. */
    private static final double MEAN_GAIN = 1.0 / 64;

    /** Weight of a part that took more time than the estimate: queueing may have caused the difference. */
    private static final double LONGER_GAIN = SHORTER_GAIN * MEAN_GAIN;

    /**
     * Number of first parts of a class that have equal weight; otherwise an initial guess that is too short would last.
     */
    private static final int FIRST_PARTS = 16;

    private final ClassEstimate[] classes;
    private double meanS;
    private int partsInMean;

    /** Creates an estimate that starts with the same guess for all classes, in seconds. */
    public PartWork(int classes, double guessS) {
        this.classes = new ClassEstimate[classes];
        Arrays.setAll(this.classes, index -> new ClassEstimate(guessS));
        meanS = guessS;
    }

    /** The estimate of one class. It stays usable after the list of classes has been replaced. */
    public final class ClassEstimate {

        private double workS;
        private int firstPartsSeen;

        private ClassEstimate(double guessS) {
            workS = guessS;
        }

        /** Records a part of the class that was answered after {@code elapsedS}. */
        public void add(double elapsedS) {
            double difference = elapsedS - workS;
            double gain = difference < 0 ? SHORTER_GAIN : LONGER_GAIN;
            if (firstPartsSeen < FIRST_PARTS) {
                gain = 1.0 / ++firstPartsSeen;
            }
            workS += gain * difference;
            partsInMean += partsInMean < 1 / MEAN_GAIN ? 1 : 0;
            meanS += (workS - meanS) / partsInMean;
        }

        /** Returns the work of a part of the class, in seconds. */
        public double workS() {
            return workS;
        }
    }

    /** Returns the estimate of the class with this number in the list of classes that this was created for. */
    public ClassEstimate ofClass(int classIndex) {
        return classes[classIndex];
    }

    /** Returns the mean over the parts answered, in seconds. */
    public double meanS() {
        return meanS;
    }

    /** Returns the work of a part of the lightest class, in seconds. */
    public double minS() {
        return Arrays.stream(classes).mapToDouble(ClassEstimate::workS).min().orElseThrow();
    }

    /** Returns the work of a part of the heaviest class, in seconds. */
    public double maxS() {
        return Arrays.stream(classes).mapToDouble(ClassEstimate::workS).max().orElseThrow();
    }
}
