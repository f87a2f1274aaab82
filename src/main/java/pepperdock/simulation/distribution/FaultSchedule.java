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
    /** When the faults begin. */
    static final int BEGIN = 60 * SECOND;

    private static final int HALF_MINUTE = 30 * SECOND;
    private static final int MINUTE = 60 * SECOND;
    private static final int ONE_WAY = 20 * SECOND;
    private static final int FIFTY = 50;
    private static final int MIXED_CASES = 3;
    /** The leader is lost so soon after a change was asked for, at most: within the round trip that settles it. */
    private static final int MIDDLE_OF_A_CHANGE = 60;

    private final Simulation world;
    private final Random chance;
    private final Timeline time;
    private final ControlGroup group;

    private long begin = BEGIN;
    /** Several hard cases at a time: what each is to show by itself is not judged. */
    private boolean mixed;

    FaultSchedule(Simulation world, Random chance) {
        this.world = world;
        this.chance = chance;
        time = world.time();
        group = world.group();
    }

    /** Returns when the last fault is over. */
    long plan(HardCase hardCase) {
        return switch (hardCase) {
            case CALM -> begin + MINUTE;
            case LEADER_LOST -> leaderLost();
            case REGION_CUT -> regionCut();
            case MACHINE_STOPPED -> leaderFor(HALF_MINUTE, ControlNode::stop, ControlNode::goOn);
            case MACHINE_PASSES_NOTHING -> leaderFor(HALF_MINUTE, n -> n.passNothing(true), n -> n.passNothing(false));
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
        Collections.shuffle(drawn, chance);
        long over = BEGIN;
        for (HardCase hardCase : drawn.subList(0, MIXED_CASES)) {
            begin = (long) BEGIN + chance.nextInt(HALF_MINUTE);
            over = Math.max(over, plan(hardCase));
        }
        // Whoever depends on several things that fail may wait for the last of them.
        hindered(g -> true, BEGIN, over);
        return over;
    }

    // ---- Control machines ------------------------------------------------------------

    /** Does this with the one that leads, as soon as one does. */
    private void withLeader(Consumer<ControlNode> action) {
        ControlNode leader = group.leader();
        if (leader == null) {
            time.after(100, () -> withLeader(action));
        } else {
            action.accept(leader);
        }
    }

    private long leaderFor(int millis, Consumer<ControlNode> fault, Consumer<ControlNode> repair) {
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
            world.change();
            time.after(
                    1 + chance.nextInt(MIDDLE_OF_A_CHANGE),
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
        group.nodes().forEach(n -> time.at(back + chance.nextInt(SECOND), n::start));
        hindered(g -> true, begin, back + SECOND);
        return back + 5 * SECOND;
    }

    private long oldDisk() {
        ControlNode node = group.nodes().get(group.nodes().size() - 1);
        time.at(begin, () -> {
            List<ConfigurationSnapshot> first =
                    List.copyOf(node.after(ConfigurationSnapshot.NONE.version()).subList(0, 2));
            node.serveOldDisk(first);
        });
        time.at(begin + 40 * SECOND, () -> node.serveOldDisk(null));
        world.gatherers().stream()
                .filter(g -> chance.nextInt(10) == 0)
                .forEach(g -> restart(g, begin + chance.nextInt(HALF_MINUTE), 2 * SECOND, chance.nextBoolean()));
        return begin + 40 * SECOND;
    }

    // ---- Links ------------------------------------------------------------

    private void cutFor(Network.Cut cut, long from, long until) {
        time.at(from, () -> world.network().cut(cut));
        time.at(until, () -> world.network().heal(cut));
    }

    private long regionCut() {
        String region = "r" + (1 + chance.nextInt(3));
        long until = begin + world.setup().longCutMillis();
        cutFor((a, b) -> a.region().equals(region) != b.region().equals(region), begin, until);
        hindered(g -> g.place().region().equals(region), begin, until);
        if (!mixed) {
            time.at(until - 1, () -> tellAges(region));
        }
        return until;
    }

    private void tellAges(String region) {
        world.gatherers().stream()
                .filter(g -> g.place().region().equals(region))
                .forEach(this::tellAge);
    }

    private void tellAge(GathererNode gatherer) {
        boolean nothing = gatherer.subscriber().inForce().version().equals(ConfigurationSnapshot.NONE.version());
        long age = nothing ? -1 : gatherer.subscriber().age(time.now()).millis();
        world.history()
                .add(new Event.Aged(
                        time.now(), gatherer.place().name(), world.setup().longCutMillis(), age));
    }

    private long oneWayCuts() {
        long until = begin + ONE_WAY;
        cutFor((a, b) -> a.name().equals("c1") && b.zone().equals("r1z3"), begin, until);
        cutFor((a, b) -> a.zone().equals("r2z2") && b.name().equals("c2"), begin, until);
        cutFor((a, b) -> a.name().equals("c1") && b.name().equals("c2"), begin, until);
        return until;
    }

    // ---- Gatherers ------------------------------------------------------------

    private void hindered(Predicate<GathererNode> which, long from, long until) {
        world.gatherers().stream()
                .filter(which)
                .forEach(g ->
                        world.history().add(new Event.Hindered(from, g.place().name(), until)));
    }

    private void restart(GathererNode gatherer, long at, long downMillis, boolean newDisk) {
        time.at(at, () -> gatherer.stop(newDisk ? world.newDisk() : null));
        time.at(at + downMillis, gatherer::start);
        world.history().add(new Event.Hindered(at, gatherer.place().name(), at + downMillis));
    }

    private long zoneLost() {
        ControlNode node = group.nodes().get(1 + chance.nextInt(2));
        String zone = node.place().zone();
        long back = begin + 40 * SECOND;
        time.at(begin, node::vanish);
        time.at(back, node::start);
        world.gatherers().stream()
                .filter(g -> g.place().zone().equals(zone))
                .forEach(g -> restart(g, begin, 40 * SECOND + chance.nextInt(2 * SECOND), false));
        return back + 5 * SECOND;
    }

    private long zoneRestart() {
        String zone = "r" + (1 + chance.nextInt(3)) + "z" + (1 + chance.nextInt(3));
        world.gatherers().stream()
                .filter(g -> g.place().zone().equals(zone))
                .forEach(g -> restart(
                        g, begin + chance.nextInt(SECOND), SECOND + chance.nextInt(SECOND), chance.nextInt(4) == 0));
        for (int i = 0; i < 6; i++) {
            time.at(begin + i * 500L, world::change);
        }
        return begin + 10 * SECOND;
    }

    private long allRestart(int within, int newDiskOneIn) {
        world.gatherers()
                .forEach(
                        g -> restart(g, begin + chance.nextInt(within), 2 * SECOND, chance.nextInt(newDiskOneIn) == 0));
        return begin + within + 10 * SECOND;
    }

    private long diskFull() {
        List<GathererNode> full =
                world.gatherers().stream().filter(g -> chance.nextInt(10) == 0).toList();
        for (GathererNode gatherer : full) {
            time.at(begin, () -> gatherer.disk().full(true));
            restart(gatherer, begin + HALF_MINUTE + chance.nextInt(5 * SECOND), SECOND, false);
            time.at(begin + MINUTE, () -> gatherer.disk().full(false));
        }
        return begin + MINUTE;
    }

    // ---- Changes ------------------------------------------------------------

    private long fiftyChanges() {
        for (int i = 0; i < FIFTY; i++) {
            time.at(begin + chance.nextInt(MINUTE), world::change);
        }
        return begin + MINUTE;
    }

    private long unreadable() {
        long until = begin + HALF_MINUTE;
        time.at(begin, () -> {
            world.format(Simulation.FORMAT_SECOND);
            world.change();
        });
        time.at(until, () -> {
            world.format(1);
            world.change();
        });
        hindered(g -> g.reads() < Simulation.FORMAT_SECOND, begin, until);
        return until + SECOND;
    }

    private long crossing() {
        for (int i = 0; i < 5; i++) {
            String key = "item/" + i;
            for (int operator = 0; operator < 2; operator++) {
                time.at(begin + 3L * i * SECOND + (long) operator * chance.nextInt(20), () -> world.change(key));
            }
        }
        return begin + 20 * SECOND;
    }
}
