package pepperdock.scheduler;

/** A load report of an endpoint: one figure for each of {@link SchedulerSettings#reportNames}, in that order. Immutable. */
public final class LoadReport {

    /** Stands for an absent report. */
    public static final LoadReport NONE = new LoadReport(new double[0]);

    private final double[] figures;

    private LoadReport(double[] figures) {
        this.figures = figures;
    }

    /** Wraps figures that the caller must not change afterwards; null means that there is no report. */
    public static LoadReport of(double[] figures) {
        return figures == null ? NONE : new LoadReport(figures);
    }

    /** Number of figures, 0 where there is no report. */
    public int size() {
        return figures.length;
    }

    /** The figure of the report name at {@code index}. */
    public double figure(int index) {
        return figures[index];
    }
}
