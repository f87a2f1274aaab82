package pepperdock.core;

import java.util.List;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Holds the current settings, the names of their query classes, and the number of processes of this gatherer among
 * which its share of the fleet is divided. The settings are immutable and replaced as a whole. Owned by the gatherer's
 * thread.
 */
final class SettingsHolder {

    /**
     * Number of processes that this one assumes after the upgrade peer has taken over all queries, which reduces its
     * share of any allowance to almost nothing.
     */
    private static final int PROCESSES_AFTER_HANDOVER = 1000;

    private final Metrics metrics;
    private SchedulerSettings settings;
    /** Number of processes of this gatherer that share the allowances of one gatherer. */
    private int processes = 1;
    /** Names in the order of the classes of the settings; a class without a name here is named by its number. */
    private List<String> classNames = List.of();

    SettingsHolder(SchedulerSettings settings, Metrics metrics) {
        this.settings = settings;
        this.metrics = metrics;
    }

    SchedulerSettings current() {
        return settings;
    }

    /** Returns the settings for the scheduler, in which each process of a gatherer counts as an instance. */
    SchedulerSettings forScheduler() {
        return settings.withInstances(settings.instances() * processes);
    }

    /** Replaces the settings; returns whether some class number now denotes a class of another name, or none. */
    boolean replace(SchedulerSettings replacement, List<String> names) {
        boolean renumbered = !names.equals(classNames);
        settings = replacement;
        setClassNames(names);
        return renumbered;
    }

    /**
     * Sets the names of the classes of the current settings, in the order of the classes, and adds them to the metrics.
     */
    void setClassNames(List<String> names) {
        classNames = List.copyOf(names);
        for (int i = 0; i < settings.classes().size(); i++) {
            metrics.addClass(className(i));
        }
    }

    String className(int queryClass) {
        return queryClass < classNames.size() ? classNames.get(queryClass) : "class-" + queryClass;
    }

    void setUpgradePeerActive(boolean active) {
        processes = active ? 2 : 1;
    }

    void yieldToUpgradePeer() {
        processes = PROCESSES_AFTER_HANDOVER;
    }
}
