package pepperdock.core;

import java.util.List;
import pepperdock.scheduler.SchedulerSettings;

/**
 * The settings in force, the names of their query classes, and how many instances share the fleet with this process.
 * Immutable settings are replaced as a whole. Owned by the gatherer's thread.
 */
final class SettingsHolder {

    /** Counts this process as one of so many once the other has all queries: its share of any allowance is next to nothing. */
    private static final int PROCESSES_AFTER_HANDOVER = 1000;

    private final Metrics metrics;
    private SchedulerSettings settings;
    /** Processes of this gatherer that share what one gatherer may do. */
    private int processes = 1;
    /** In the order of the classes of the settings; a class beyond them is named by its number. */
    private List<String> classNames = List.of();

    SettingsHolder(SchedulerSettings settings, Metrics metrics) {
        this.settings = settings;
        this.metrics = metrics;
    }

    SchedulerSettings current() {
        return settings;
    }

    /** The settings as the scheduler has to apply them: each process of a gatherer counts as an instance. */
    SchedulerSettings forScheduler() {
        return settings.withInstances(settings.instances() * processes);
    }

    void replace(SchedulerSettings replacement, List<String> names) {
        settings = replacement;
        setClassNames(names);
    }

    /** Names the classes of the settings in force, in their order, and has the metrics count them. */
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
