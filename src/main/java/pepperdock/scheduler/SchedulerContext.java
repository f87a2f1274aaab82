package pepperdock.scheduler;

/**
 * The state that all policies of one instance read: the time of the open batch and the settings in force. Only
 * {@link AdaptiveScheduler} writes it, between events.
 */
final class SchedulerContext {

    private SchedulerSettings settings;
    private double shortestObjectiveS;
    private double nowS;
    private boolean stalled;

    SchedulerContext(SchedulerSettings settings) {
        updateSettings(settings);
    }

    /** Replaces the settings. */
    void updateSettings(SchedulerSettings newSettings) {
        settings = newSettings;
        shortestObjectiveS = newSettings.classes().stream()
                .mapToDouble(QueryClass::latencyObjectiveS)
                .min()
                .orElseThrow();
    }

    /** Opens a batch at the time {@code newNowS}; {@code isStalled} as in {@link #stalled}. */
    void beginBatch(double newNowS, boolean isStalled) {
        nowS = newNowS;
        stalled = isStalled;
    }

    /** Returns the settings in force. */
    SchedulerSettings settings() {
        return settings;
    }

    /**
     * Returns the shortest latency objective of all classes, in seconds: the time scale of policies that do not depend
     * on a class.
     */
    double shortestObjectiveS() {
        return shortestObjectiveS;
    }

    /** Returns the time of the batch, in seconds. */
    double nowS() {
        return nowS;
    }

    /**
     * Returns whether this process was paused before the batch, so that delays seen in it say nothing about endpoints.
     */
    boolean stalled() {
        return stalled;
    }
}
