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

/** Judges a course by its history and by what is there at its end. */
final class DistributionInvariants {

    /** In any second, for control, at a gatherer. */
    static final int BUDGET_BYTES = 15_000;

    static final int IN_FORCE_MILLIS = 11_000;
    /** The control machine in a cut-off region may take itself for confirmed for an election's time. */
    private static final int AGE_SLACK_MILLIS = 4000;

    private final Simulation world;
    private final History history;
    private final List<Finding> found = new ArrayList<>();

    private DistributionInvariants(Simulation world) {
        this.world = world;
        history = world.history();
    }

    static List<Finding> all(Simulation world, DistributionMetrics figures) {
        DistributionInvariants checks = new DistributionInvariants(world);
        checks.neverBackwards();
        checks.neverHalf();
        checks.allLevel();
        checks.acknowledgedChangesStay();
        checks.savedVersionsStay();
        checks.ageTold();
        checks.withinBudget();
        checks.withinTime(figures);
        return checks.found;
    }

    private void found(Promise promise, long at, String what) {
        found.add(new Finding(promise, at, what));
    }

    private void neverBackwards() {
        Map<String, ConfigurationVersion> newest = new HashMap<>();
        for (Event event : history.events()) {
            if (event instanceof Event.Stopped stopped && stopped.diskLost()) {
                newest.remove(stopped.gatherer());
            } else if (event instanceof Event.InForce next) {
                ConfigurationVersion before = newest.getOrDefault(next.gatherer(), ConfigurationVersion.NONE);
                if (before.newerThan(next.version())) {
                    found(
                            Promise.NEVER_BACKWARDS,
                            next.at(),
                            next.gatherer() + " has " + next.version() + " in force after " + before);
                }
                newest.put(next.gatherer(), next.version());
            }
        }
    }

    private void neverHalf() {
        Map<ConfigurationVersion, ConfigurationDigest> settled = new HashMap<>();
        for (Event event : history.events()) {
            if (event instanceof Event.Settled s) {
                ConfigurationDigest before = settled.putIfAbsent(s.version(), s.digest());
                if (before != null && !before.equals(s.digest())) {
                    found(Promise.NEVER_HALF, s.at(), "two settled contents of " + s.version());
                }
            } else if (event instanceof Event.InForce next && !next.digest().equals(settled.get(next.version()))) {
                found(
                        Promise.NEVER_HALF,
                        next.at(),
                        next.gatherer() + " has something in force as " + next.version() + " that was not settled");
            }
        }
    }

    private void allLevel() {
        ConfigurationSnapshot newest = world.newest();
        for (GathererNode gatherer : world.gatherers()) {
            Subscriber subscriber = gatherer.subscriber();
            if (subscriber == null) {
                found(Promise.ALL_LEVEL, world.now(), gatherer.place().name() + " is down");
            } else if (!subscriber.inForce().digest().equals(newest.digest())
                    || subscriber.durability() != Durability.SAVED) {
                found(
                        Promise.ALL_LEVEL,
                        world.now(),
                        gatherer.place().name() + " has " + subscriber.inForce().version() + " in force, "
                                + subscriber.durability() + ", where " + newest.version() + " is settled");
            }
        }
    }

    private void acknowledgedChangesStay() {
        Set<Long> acknowledged = history.of(Event.Acknowledged.class)
                .map(Event.Acknowledged::command)
                .collect(Collectors.toSet());
        for (GathererNode gatherer : world.gatherers()) {
            if (gatherer.up()) {
                ConfigurationSnapshot inForce = gatherer.subscriber().inForce();
                for (long command : acknowledged) {
                    if (inForce.item(Simulation.marker(command)).isEmpty()) {
                        found(
                                Promise.NOTHING_ACKNOWLEDGED_LOST,
                                world.now(),
                                gatherer.place().name() + " does not have change " + command);
                    }
                }
            }
        }
    }

    private void savedVersionsStay() {
        Map<String, ConfigurationVersion> told = new HashMap<>();
        for (Event event : history.events()) {
            if (event instanceof Event.Said said && said.durability() != Durability.MEMORY_ONLY) {
                told.put(said.gatherer(), said.version());
            } else if (event instanceof Event.Stopped stopped && stopped.diskLost()) {
                told.remove(stopped.gatherer());
            } else if (event instanceof Event.Started started) {
                ConfigurationVersion before = told.getOrDefault(started.gatherer(), ConfigurationVersion.NONE);
                if (before.newerThan(started.onDisk())) {
                    found(
                            Promise.NOTHING_ACKNOWLEDGED_LOST,
                            started.at(),
                            started.gatherer() + " said that its disk knows of " + before + ", and finds "
                                    + started.onDisk());
                }
            }
        }
    }

    private void ageTold() {
        history.of(Event.Aged.class)
                .filter(a -> Math.abs(a.ageMillis() - a.cutOffMillis()) > AGE_SLACK_MILLIS)
                .forEach(a -> found(
                        Promise.AGE_TOLD,
                        a.at(),
                        a.gatherer() + " says " + a.ageMillis() + " ms, cut off for " + a.cutOffMillis()));
    }

    private void withinTime(DistributionMetrics figures) {
        if (figures.neverInForce() > 0 || figures.each(1) > IN_FORCE_MILLIS) {
            found(
                    Promise.WITHIN_TIME,
                    world.now(),
                    "a change took " + figures.each(1) + " ms at a gatherer; " + figures.neverInForce()
                            + " never came");
        }
    }

    private void withinBudget() {
        for (GathererNode gatherer : world.gatherers()) {
            if (gatherer.bytes().most() > BUDGET_BYTES) {
                found(
                        Promise.WITHIN_BUDGET,
                        world.now(),
                        gatherer.place().name() + " has had " + gatherer.bytes().most() + " bytes in a second");
            }
        }
    }
}
