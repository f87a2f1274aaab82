package pepperdock.scheduler;

/**
 * What all policies of one instance read: the time of the open batch and the settings in force. Written by
 * {@link AdaptiveScheduler} alone, between events.
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

    /** Settings in force. */
    SchedulerSettings settings() {
        return settings;
    }

    /** Shortest latency objective of all classes, in seconds: the time scale of the policies that know no class. */
    double shortestObjectiveS() {
        return shortestObjectiveS;
    }

    /** Time of the batch, in seconds. */
    double nowS() {
        return nowS;
    }

    /** Whether this process stood still before the batch, so that lateness seen in it says nothing about endpoints. */
    boolean stalled() {
        return stalled;
    }
}
