package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pepperdock.distribution.ConfigurationSnapshot;

/** Plans the faults of one hard case. */
final class FaultSchedule {

    private static final int SECOND = 1000;
    /** The time at which the faults begin. */
    static final int BEGIN = 60 * SECOND;

    private static final int HALF_MINUTE = 30 * SECOND;
    private static final int MINUTE = 60 * SECOND;
    private static final int ONE_WAY_CUT = 20 * SECOND;
    private static final int CHANGES_IN_A_MINUTE = 50;
    private static final int MIXED_CASES = 3;
    /**
     * Maximum time from the request of a change to the loss of the leader: within the round trip that settles the
     * change.
     */
    private static final int MAX_LEADER_LOSS_DELAY = 60;

    private final Simulation simulation;
    private final Random random;
    private final Timeline time;
    private final ControlGroup group;

    private long begin = BEGIN;
    /** Whether several hard cases run at once, so that properties specific to one of them are not checked. */
    private boolean mixed;

    FaultSchedule(Simulation simulation, Random random) {
        this.simulation = simulation;
        this.random = random;
        time = simulation.time();
        group = simulation.group();
    }

    /** Schedules the faults of a hard case; returns the time at which the last one is over. */
    long plan(HardCase hardCase) {
        return switch (hardCase) {
            case CALM -> begin + MINUTE;
            case LEADER_LOST -> leaderLost();
            case REGION_CUT -> regionCut();
            case MACHINE_STOPPED -> withLeaderFor(HALF_MINUTE, ControlNode::pause, ControlNode::resume);
            case MACHINE_PASSES_NOTHING ->
                withLeaderFor(HALF_MINUTE, n -> n.discardOutput(true), n -> n.discardOutput(false));
            case ONE_WAY_CUTS -> oneWayCuts();
            case ZONE_LOST, ZONE_RESTART, ALL_RESTART, ALL_NEW, DISK_FULL -> gathererFaults(hardCase);
            case FIFTY_CHANGES -> fiftyChanges();
            case UNREADABLE -> unreadable();
            case CROSSING -> crossing();
            case ALL_CONTROL_AWAY -> allControlAway();
            case OLD_DISK -> oldDisk();
            case MIXED -> mixed();
        };
    }

    private long gathererFaults(HardCase hardCase) {
        return switch (hardCase) {
            case ZONE_LOST -> zoneLost();
            case ZONE_RESTART -> zoneRestart();
            case ALL_RESTART -> allRestart(MINUTE, 10);
            case ALL_NEW -> allRestart(SECOND, 1);
            case DISK_FULL -> diskFull();
            default -> throw new IllegalArgumentException(hardCase.toString());
        };
    }

    private long mixed() {
        mixed = true;
        List<HardCase> drawn = new ArrayList<>(List.of(HardCase.values()));
        drawn.remove(HardCase.MIXED);
        Collections.shuffle(drawn, random);
        long faultsEnd = BEGIN;
        for (HardCase hardCase : drawn.subList(0, MIXED_CASES)) {
            begin = (long) BEGIN + random.nextInt(HALF_MINUTE);
            faultsEnd = Math.max(faultsEnd, plan(hardCase));
        }
        // A gatherer that depends on several failed components may have to wait for the last of them.
        markUnreachable(g -> true, BEGIN, faultsEnd);
        return faultsEnd;
    }

    // ---- Control machines ------------------------------------------------------------

    /** Runs an action with the leader, as soon as there is one. */
    private void withLeader(Consumer<ControlNode> action) {
        ControlNode leader = group.leader();
        if (leader == null) {
            time.after(100, () -> withLeader(action));
        } else {
            action.accept(leader);
        }
    }

    private long withLeaderFor(int millis, Consumer<ControlNode> fault, Consumer<ControlNode> repair) {
        time.at(
                begin,
                () -> withLeader(n -> {
                    fault.accept(n);
                    time.after(millis, () -> repair.accept(n));
                }));
        return begin + millis + SECOND;
    }

    private long leaderLost() {
        time.at(begin, () -> {
            simulation.change();
            time.after(
                    1 + random.nextInt(MAX_LEADER_LOSS_DELAY),
                    () -> withLeader(n -> {
                        group.loseDisk(n);
                        time.after(HALF_MINUTE, n::start);
                    }));
        });
        return begin + HALF_MINUTE + 15 * SECOND;
    }

    private long allControlAway() {
        time.at(begin, () -> group.nodes().forEach(ControlNode::crash));
        long back = begin + HALF_MINUTE;
        group.nodes().forEach(n -> time.at(back + random.nextInt(SECOND), n::start));
        markUnreachable(g -> true, begin, back + SECOND);
        return back + 5 * SECOND;
    }

    private long oldDisk() {
        ControlNode node = group.nodes().get(group.nodes().size() - 1);
        time.at(begin, () -> {
            List<ConfigurationSnapshot> first =
                    List.copyOf(node.after(ConfigurationSnapshot.NONE.version()).subList(0, 2));
            node.serveStaleVersions(first);
        });
        time.at(begin + 40 * SECOND, () -> node.serveStaleVersions(null));
        simulation.gatherers().stream()
                .filter(g -> random.nextInt(10) == 0)
                .forEach(g -> restart(g, begin + random.nextInt(HALF_MINUTE), 2 * SECOND, random.nextBoolean()));
        return begin + 40 * SECOND;
    }

    // ---- Links ------------------------------------------------------------

    private void cutFor(Network.Cut cut, long from, long until) {
        time.at(from, () -> simulation.network().cut(cut));
        time.at(until, () -> simulation.network().heal(cut));
    }

    private long regionCut() {
        String region = "r" + (1 + random.nextInt(3));
        long until = begin + simulation.setup().longCutMillis();
        cutFor((a, b) -> a.region().equals(region) != b.region().equals(region), begin, until);
        markUnreachable(g -> g.place().region().equals(region), begin, until);
        if (!mixed) {
            time.at(until - 1, () -> reportAges(region));
        }
        return until;
    }

    private void reportAges(String region) {
        simulation.gatherers().stream()
                .filter(g -> g.place().region().equals(region))
                .forEach(this::reportAge);
    }

    private void reportAge(GathererNode gatherer) {
        boolean nothing = gatherer.subscriber().inForce().version().equals(ConfigurationSnapshot.NONE.version());
        long age = nothing ? -1 : gatherer.subscriber().age(time.now()).millis();
        simulation
                .history()
                .add(new Event.AgeReported(
                        time.now(), gatherer.place().name(), simulation.setup().longCutMillis(), age));
    }

    private long oneWayCuts() {
        long until = begin + ONE_WAY_CUT;
        cutFor((a, b) -> a.name().equals("c1") && b.zone().equals("r1z3"), begin, until);
        cutFor((a, b) -> a.zone().equals("r2z2") && b.name().equals("c2"), begin, until);
        cutFor((a, b) -> a.name().equals("c1") && b.name().equals("c2"), begin, until);
        return until;
    }

    // ---- Gatherers ------------------------------------------------------------

    private void markUnreachable(Predicate<GathererNode> which, long from, long until) {
        simulation.gatherers().stream()
                .filter(which)
                .forEach(g -> simulation
                        .history()
                        .add(new Event.Unreachable(from, g.place().name(), until)));
    }

    private void restart(GathererNode gatherer, long at, long downMillis, boolean newDisk) {
        time.at(at, () -> gatherer.stop(newDisk ? simulation.newDisk() : null));
        time.at(at + downMillis, gatherer::start);
        simulation.history().add(new Event.Unreachable(at, gatherer.place().name(), at + downMillis));
    }

    private long zoneLost() {
        ControlNode node = group.nodes().get(1 + random.nextInt(2));
        String zone = node.place().zone();
        long back = begin + 40 * SECOND;
        time.at(begin, node::failSilently);
        time.at(back, node::start);
        simulation.gatherers().stream()
                .filter(g -> g.place().zone().equals(zone))
                .forEach(g -> restart(g, begin, 40 * SECOND + random.nextInt(2 * SECOND), false));
        return back + 5 * SECOND;
    }

    private long zoneRestart() {
        String zone = "r" + (1 + random.nextInt(3)) + "z" + (1 + random.nextInt(3));
        simulation.gatherers().stream()
                .filter(g -> g.place().zone().equals(zone))
                .forEach(g -> restart(
                        g, begin + random.nextInt(SECOND), SECOND + random.nextInt(SECOND), random.nextInt(4) == 0));
        for (int i = 0; i < 6; i++) {
            time.at(begin + i * 500L, simulation::change);
        }
        return begin + 10 * SECOND;
    }

    private long allRestart(int withinMillis, int newDiskOneIn) {
        simulation
                .gatherers()
                .forEach(g -> restart(
                        g, begin + random.nextInt(withinMillis), 2 * SECOND, random.nextInt(newDiskOneIn) == 0));
        return begin + withinMillis + 10 * SECOND;
    }

    private long diskFull() {
        List<GathererNode> full = simulation.gatherers().stream()
                .filter(g -> random.nextInt(10) == 0)
                .toList();
        for (GathererNode gatherer : full) {
            time.at(begin, () -> gatherer.disk().setFull(true));
            restart(gatherer, begin + HALF_MINUTE + random.nextInt(5 * SECOND), SECOND, false);
            time.at(begin + MINUTE, () -> gatherer.disk().setFull(false));
        }
        return begin + MINUTE;
    }

    // ---- Changes ------------------------------------------------------------

    private long fiftyChanges() {
        for (int i = 0; i < CHANGES_IN_A_MINUTE; i++) {
            time.at(begin + random.nextInt(MINUTE), simulation::change);
        }
        return begin + MINUTE;
    }

    private long unreadable() {
        long until = begin + HALF_MINUTE;
        time.at(begin, () -> {
            simulation.setFormat(Simulation.SECOND_FORMAT);
            simulation.change();
        });
        time.at(until, () -> {
            simulation.setFormat(1);
            simulation.change();
        });
        markUnreachable(g -> g.maxFormat() < Simulation.SECOND_FORMAT, begin, until);
        return until + SECOND;
    }

    private long crossing() {
        for (int i = 0; i < 5; i++) {
            String key = "item/" + i;
            for (int operator = 0; operator < 2; operator++) {
                time.at(begin + 3L * i * SECOND + (long) operator * random.nextInt(20), () -> simulation.change(key));
            }
        }
        return begin + 20 * SECOND;
    }
}
