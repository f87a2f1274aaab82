package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import pepperdock.distribution.ConfigurationDigest;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.Durability;
import pepperdock.distribution.Subscriber;
import pepperdock.simulation.distribution.Finding.Promise;

/** Checks a run by its history and by its state at the end. */
final class DistributionInvariants {

    /** The budget of a gatherer for control traffic in any second. */
    static final int BUDGET_BYTES = 15_000;

    static final int MAX_IN_FORCE_MILLIS = 11_000;
    /** The control machine in a cut-off region may consider itself confirmed for the duration of an election. */
    private static final int AGE_SLACK_MILLIS = 4000;

    private final Simulation simulation;
    private final History history;
    private final List<Finding> findings = new ArrayList<>();

    private DistributionInvariants(Simulation simulation) {
        this.simulation = simulation;
        history = simulation.history();
    }

    static List<Finding> all(Simulation simulation, DistributionMetrics metrics) {
        DistributionInvariants checks = new DistributionInvariants(simulation);
        checks.checkNeverBackwards();
        checks.checkNeverHalf();
        checks.checkAllLevel();
        checks.checkAcknowledgedChangesStay();
        checks.checkSavedVersionsStay();
        checks.checkAgeReported();
        checks.checkWithinBudget();
        checks.checkWithinTime(metrics);
        return checks.findings;
    }

    private void addFinding(Promise promise, long at, String description) {
        findings.add(new Finding(promise, at, description));
    }

    private void checkNeverBackwards() {
        Map<String, ConfigurationVersion> newest = new HashMap<>();
        for (Event event : history.events()) {
            if (event instanceof Event.Stopped stopped && stopped.diskLost()) {
                newest.remove(stopped.gatherer());
            } else if (event instanceof Event.InForce next) {
                ConfigurationVersion before = newest.getOrDefault(next.gatherer(), ConfigurationVersion.NONE);
                if (before.newerThan(next.version())) {
                    addFinding(
                            Promise.NEVER_BACKWARDS,
                            next.at(),
                            next.gatherer() + " put version " + next.version() + " in force after the newer version "
                                    + before);
                }
                newest.put(next.gatherer(), next.version());
            }
        }
    }

    private void checkNeverHalf() {
        Map<ConfigurationVersion, ConfigurationDigest> settled = new HashMap<>();
        for (Event event : history.events()) {
            if (event instanceof Event.Settled s) {
                ConfigurationDigest before = settled.putIfAbsent(s.version(), s.digest());
                if (before != null && !before.equals(s.digest())) {
                    addFinding(
                            Promise.NEVER_HALF,
                            s.at(),
                            "two different contents were settled as version " + s.version());
                }
            } else if (event instanceof Event.InForce next && !next.digest().equals(settled.get(next.version()))) {
                addFinding(
                        Promise.NEVER_HALF,
                        next.at(),
                        next.gatherer() + " put contents in force as version " + next.version()
                                + " that were not settled as that version");
            }
        }
    }

    private void checkAllLevel() {
        ConfigurationSnapshot newest = simulation.newest();
        for (GathererNode gatherer : simulation.gatherers()) {
            Subscriber subscriber = gatherer.subscriber();
            if (subscriber == null) {
                addFinding(Promise.ALL_LEVEL, simulation.now(), gatherer.place().name() + " is down at the end");
            } else if (!subscriber.inForce().digest().equals(newest.digest())
                    || subscriber.durability() != Durability.SAVED) {
                addFinding(
                        Promise.ALL_LEVEL,
                        simulation.now(),
                        gatherer.place().name() + " has version "
                                + subscriber.inForce().version()
                                + " in force with durability " + subscriber.durability()
                                + " at the end, but " + newest.version() + " is the newest settled version");
            }
        }
    }

    private void checkAcknowledgedChangesStay() {
        Set<Long> acknowledged = history.of(Event.Acknowledged.class)
                .map(Event.Acknowledged::command)
                .collect(Collectors.toSet());
        for (GathererNode gatherer : simulation.gatherers()) {
            if (gatherer.up()) {
                ConfigurationSnapshot inForce = gatherer.subscriber().inForce();
                for (long command : acknowledged) {
                    if (inForce.item(Simulation.marker(command)).isEmpty()) {
                        addFinding(
                                Promise.NOTHING_ACKNOWLEDGED_LOST,
                                simulation.now(),
                                gatherer.place().name() + " does not have the acknowledged change " + command);
                    }
                }
            }
        }
    }

    private void checkSavedVersionsStay() {
        Map<String, ConfigurationVersion> reported = new HashMap<>();
        for (Event event : history.events()) {
            if (event instanceof Event.VersionReported report && report.durability() != Durability.MEMORY_ONLY) {
                reported.put(report.gatherer(), report.version());
            } else if (event instanceof Event.Stopped stopped && stopped.diskLost()) {
                reported.remove(stopped.gatherer());
            } else if (event instanceof Event.Started started) {
                ConfigurationVersion before = reported.getOrDefault(started.gatherer(), ConfigurationVersion.NONE);
                if (before.newerThan(started.onDisk())) {
                    addFinding(
                            Promise.NOTHING_ACKNOWLEDGED_LOST,
                            started.at(),
                            started.gatherer() + " reported version " + before
                                    + " as saved, but started with a disk that holds version "
                                    + started.onDisk());
                }
            }
        }
    }

    private void checkAgeReported() {
        history.of(Event.AgeReported.class)
                .filter(a -> Math.abs(a.ageMillis() - a.cutOffMillis()) > AGE_SLACK_MILLIS)
                .forEach(a -> addFinding(
                        Promise.AGE_TOLD,
                        a.at(),
                        a.gatherer() + " reports an age of " + a.ageMillis() + " ms; time cut off in ms: "
                                + a.cutOffMillis()));
    }

    private void checkWithinTime(DistributionMetrics metrics) {
        if (metrics.neverInForce() > 0 || metrics.each(1) > MAX_IN_FORCE_MILLIS) {
            addFinding(
                    Promise.WITHIN_TIME,
                    simulation.now(),
                    "the slowest change came in force at a gatherer after " + metrics.each(1) + " ms; in "
                            + metrics.neverInForce() + " cases a change never came in force at a gatherer");
        }
    }

    private void checkWithinBudget() {
        for (GathererNode gatherer : simulation.gatherers()) {
            if (gatherer.bytes().maxPerSecond() > BUDGET_BYTES) {
                addFinding(
                        Promise.WITHIN_BUDGET,
                        simulation.now(),
                        gatherer.place().name() + " transferred "
                                + gatherer.bytes().maxPerSecond() + " bytes in one second");
            }
        }
    }
}
