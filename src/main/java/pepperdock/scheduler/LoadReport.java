package pepperdock.scheduler;

/**
 * A load report of an endpoint, with one figure for each of {@link SchedulerSettings#reportNames}, in that order.
 * Immutable.
 */
public final class LoadReport {

    /** Represents the absence of a report. */
    public static final LoadReport NONE = new LoadReport(new double[0]);

    private final double[] figures;

    private LoadReport(double[] figures) {
        this.figures = figures;
    }

    /**
     * Returns a report of these figures, which the caller must not change afterwards; null means that there is no
     * report.
     */
    public static LoadReport of(double[] figures) {
        return figures == null ? NONE : new LoadReport(figures);
    }

    /** Returns the number of figures, 0 if there is no report. */
    public int size() {
        return figures.length;
    }

    /** Returns the figure of the report name at {@code index}. */
    public double figure(int index) {
        return figures[index];
    }
}
