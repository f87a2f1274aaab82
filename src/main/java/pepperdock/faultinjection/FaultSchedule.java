package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import pepperdock.faultinjection.LinkFaults.Kind;
import pepperdock.faultinjection.LinkFaults.Pair;
import pepperdock.faultinjection.Script.Action;
import pepperdock.faultinjection.Script.ProcessAction;
import pepperdock.faultinjection.Script.Targets;

/**
 * A script with all random choices made and laid out in time: phases, each with timed steps and the condition awaited
 * at its end. Pure: the same script and seed give the same schedule, whatever happens during the run.
 */
record FaultSchedule(List<Phase> phases) {

    /** Kinds of faults that a {@code drawn} action may choose. */
    static final List<String> RANDOM_KINDS =
            List.of("stop", "kill", "lost", "cut", "one-way", "loss", "delay", "partition", "reset");

    private static final double RANDOM_LOSS = 0.3;
    private static final double RANDOM_DELAY_S = 0.2;

    /**
     * {@code awaited} is null in the last phase, after which the run awaits {@code settled}, the condition of its
     * checkers.
     */
    record Phase(List<TimedStep> steps, Script.AwaitAction awaited) {}

    /** A step and its time in seconds from the start of the phase. */
    record TimedStep(double at, Step step) {}

    /** A single operation that the rig performs at a given time. */
    sealed interface Step permits BeginFault, EndFault, ResetStreams, SendSignal, StartMembers, SetDisk, AdvanceClock {}

    /** Begins the fault of this number. */
    record BeginFault(int number, LinkFaults.Fault fault) implements Step {}

    /** Ends the fault of this number. */
    record EndFault(int number) implements Step {}

    /** Resets the streams on these pairs. */
    record ResetStreams(Set<Pair> pairs) implements Step {}

    /** Signals that are sent to a process. */
    enum ProcessSignal {
        STOP,
        CONT,
        KILL,
        TERM
    }

    /** Sends the signal to these members. */
    record SendSignal(ProcessSignal signal, List<String> members) implements Step {}

    /** Starts these members, with an empty folder or on new ports where the flags are set. */
    record StartMembers(List<String> members, boolean emptyFolder, boolean newPorts) implements Step {}

    /** Sets the fault of the disks of these members, in the form that {@link FaultyDisk} reads; empty for no fault. */
    record SetDisk(List<String> members, String diskFault) implements Step {}

    /** Moves the clocks of these members by this number of seconds. */
    record AdvanceClock(List<String> members, double byS) implements Step {}

    boolean has(Class<? extends Step> kind) {
        return phases.stream().flatMap(p -> p.steps().stream()).anyMatch(s -> kind.isInstance(s.step()));
    }

    static FaultSchedule of(Script script) {
        Random random = new Random(script.seed());
        StepBuilder stepBuilder = new StepBuilder(script.names(), random);
        List<Phase> phases = new ArrayList<>();
        for (Action action : script.actions()) {
            if (action instanceof Script.AwaitAction await) {
                phases.add(new Phase(
                        stepBuilder.takeSteps(),
                        new Script.AwaitAction(
                                await.condition(), new Targets(stepBuilder.resolve(await.targets()), 0))));
            } else {
                stepBuilder.add(action);
            }
        }
        phases.add(new Phase(stepBuilder.takeSteps(), null));
        return new FaultSchedule(List.copyOf(phases));
    }

    /** Converts actions into timed steps. */
    private static final class StepBuilder {
        private final List<String> names;
        private final Random random;
        private final List<TimedStep> steps = new ArrayList<>();
        private final List<Integer> faultsWithoutEnd = new ArrayList<>();
        private int nextNumber;

        StepBuilder(List<String> names, Random random) {
            this.names = names;
            this.random = random;
        }

        /**
         * Returns and clears the steps so far, ordered by time; steps of the same time keep the order of the script.
         */
        List<TimedStep> takeSteps() {
            steps.sort(Comparator.comparingDouble(TimedStep::at));
            List<TimedStep> all = List.copyOf(steps);
            steps.clear();
            return all;
        }

        List<String> resolve(Targets members) {
            return members.randomCount() > 0
                    ? randomMembers(members.randomCount())
                    : members.names().isEmpty() ? names : members.names();
        }

        private List<String> randomMembers(int count) {
            List<String> all = new ArrayList<>(names);
            Collections.shuffle(all, random);
            return List.copyOf(all.subList(0, count));
        }

        private static Set<Pair> pairs(List<String> from, List<String> to, boolean both) {
            Set<Pair> pairs = new LinkedHashSet<>();
            for (String a : from) {
                for (String b : to) {
                    if (!a.equals(b)) {
                        pairs.add(new Pair(a, b));
                        if (both) {
                            pairs.add(new Pair(b, a));
                        }
                    }
                }
            }
            return pairs;
        }

        private void add(Action action) {
            if (action instanceof Script.LinkFaultAction a) {
                addFault(
                        a.at(),
                        a.durationS(),
                        a.flipIntervalS(),
                        new LinkFaults.Fault(
                                a.kind(), pairs(resolve(a.from()), resolve(a.to()), a.both()), a.amount(), a.spread()));
            } else if (action instanceof Script.ResetAction r) {
                steps.add(new TimedStep(r.at(), new ResetStreams(pairs(resolve(r.from()), resolve(r.to()), r.both()))));
            } else if (action instanceof Script.HealAction h) {
                faultsWithoutEnd.forEach(number -> steps.add(new TimedStep(h.at(), new EndFault(number))));
                faultsWithoutEnd.clear();
            } else if (action instanceof Script.PartitionAction p) {
                addPartition(p);
            } else if (action instanceof Script.ProcessFaultAction p) {
                addProcessFault(p);
            } else if (action instanceof Script.DiskFaultAction d) {
                List<String> members = resolve(d.targets());
                steps.add(new TimedStep(
                        d.at(), new SetDisk(members, d.byS() > 0 ? d.diskFault() + ' ' + d.byS() : d.diskFault())));
                if (!Double.isInfinite(d.durationS())) {
                    steps.add(new TimedStep(d.at() + d.durationS(), new SetDisk(members, "")));
                }
            } else if (action instanceof Script.ClockFaultAction c) {
                steps.add(new TimedStep(c.at(), new AdvanceClock(resolve(c.targets()), c.byS())));
            } else if (action instanceof Script.RandomFaultsAction d) {
                addRandomFaults(d);
            }
        }

        private void addFault(double at, double duration, double flip, LinkFaults.Fault fault) {
            int number = nextNumber++;
            double end = at + duration;
            if (flip <= 0) {
                steps.add(new TimedStep(at, new BeginFault(number, fault)));
                if (Double.isInfinite(end)) {
                    faultsWithoutEnd.add(number);
                } else {
                    steps.add(new TimedStep(end, new EndFault(number)));
                }
                return;
            }
            for (double t = at; t < end; t += 2 * flip) {
                steps.add(new TimedStep(t, new BeginFault(number, fault)));
                steps.add(new TimedStep(Math.min(t + flip, end), new EndFault(number)));
            }
        }

        private void addPartition(Script.PartitionAction p) {
            double interval = p.moveIntervalS() > 0 ? p.moveIntervalS() : p.durationS();
            double end = p.at() + p.durationS();
            double t = p.at();
            do {
                List<List<String>> groups = p.groups().isEmpty() ? split(p.randomCount()) : p.groups();
                Set<Pair> separatedPairs = new LinkedHashSet<>();
                for (List<String> a : groups) {
                    groups.stream().filter(b -> b != a).forEach(b -> separatedPairs.addAll(pairs(a, b, true)));
                }
                addFault(t, Math.min(interval, end - t), 0, new LinkFaults.Fault(Kind.CUT, separatedPairs, 0, 0));
                t += interval;
            } while (t < end && !Double.isInfinite(interval));
        }

        private List<List<String>> split(int into) {
            List<String> all = randomMembers(names.size());
            List<List<String>> groups = new ArrayList<>();
            for (int g = 0; g < into; g++) {
                groups.add(all.subList(g * all.size() / into, (g + 1) * all.size() / into));
            }
            return groups;
        }

        private void addProcessFault(Script.ProcessFaultAction p) {
            List<String> members = resolve(p.targets());
            if (p.staggerS() > 0) {
                for (int i = 0; i < members.size(); i++) {
                    addProcessSteps(p.at() + i * p.staggerS(), p, List.of(members.get(i)));
                }
            } else {
                addProcessSteps(p.at(), p, members);
            }
        }

        private void addProcessSteps(double at, Script.ProcessFaultAction p, List<String> members) {
            StartMembers start = new StartMembers(members, p.emptyFolder(), p.newPorts());
            if (p.action() == ProcessAction.START) {
                steps.add(new TimedStep(at, start));
                return;
            }
            if (p.action() == ProcessAction.CONTINUE) {
                steps.add(new TimedStep(at, new SendSignal(ProcessSignal.CONT, members)));
                return;
            }
            steps.add(new TimedStep(
                    at, new SendSignal(ProcessSignal.valueOf(p.action().name()), members)));
            if (!Double.isInfinite(p.durationS())) {
                steps.add(new TimedStep(
                        at + p.durationS(),
                        p.action() == ProcessAction.STOP ? new SendSignal(ProcessSignal.CONT, members) : start));
            }
        }

        /**
         * Adds random faults. No two random faults of processes overlap on a member: each takes members of its own,
         * which are free again when it ends.
         */
        private void addRandomFaults(Script.RandomFaultsAction draw) {
            double[] freeAt = new double[names.size()];
            for (double at = draw.at(); at < draw.at() + draw.durationS(); at += draw.intervalS()) {
                String kind = draw.kinds().get(random.nextInt(draw.kinds().size()));
                double duration = Math.min(
                        draw.minDurationS() + random.nextDouble() * (draw.maxDurationS() - draw.minDurationS()),
                        draw.at() + draw.durationS() - at);
                int count = 1 + random.nextInt(Math.min(draw.maxMembers(), names.size()));
                List<String> members = freeMembers(count, freeAt, at);
                if (members.isEmpty()) {
                    continue;
                }
                switch (kind) {
                    case "stop", "kill", "lost" ->
                        addRandomProcessFault(kind, at, duration, members, freeAt, draw.maxMembers());
                    default -> addRandomLinkFault(kind, at, duration, members);
                }
            }
        }

        /** Returns up to {@code count} members in random order that no random fault holds at that time. */
        private List<String> freeMembers(int count, double[] freeAt, double at) {
            List<String> free = new ArrayList<>();
            for (String member : randomMembers(names.size())) {
                if (free.size() < count && freeAt[names.indexOf(member)] <= at) {
                    free.add(member);
                }
            }
            return free;
        }

        /** Adds a fault of processes, on fewer members if more than {@code maxMembers} would be down at once. */
        private void addRandomProcessFault(
                String kind, double at, double duration, List<String> free, double[] freeAt, int maxMembers) {
            int down = 0;
            for (double until : freeAt) {
                down += until > at ? 1 : 0;
            }
            List<String> members = free.subList(0, Math.max(0, Math.min(free.size(), maxMembers - down)));
            for (String member : members) {
                freeAt[names.indexOf(member)] = at + duration;
            }
            if (members.isEmpty()) {
                return;
            }
            ProcessAction action = kind.equals("stop") ? ProcessAction.STOP : ProcessAction.KILL;
            boolean emptyFolder = kind.equals("lost");
            addProcessSteps(
                    at,
                    new Script.ProcessFaultAction(at, action, Targets.ALL, duration, 0, emptyFolder, false),
                    List.copyOf(members));
        }

        private void addRandomLinkFault(String kind, double at, double duration, List<String> members) {
            switch (kind) {
                case "cut" -> addRandomFault(at, duration, Kind.CUT, pairs(members, names, true), 0, 0);
                case "one-way" -> {
                    Set<Pair> pairs =
                            random.nextBoolean() ? pairs(members, names, false) : pairs(names, members, false);
                    addRandomFault(at, duration, Kind.CUT, pairs, 0, 0);
                }
                case "loss" -> addRandomFault(at, duration, Kind.LOSS, pairs(names, names, false), RANDOM_LOSS, 0);
                case "delay" ->
                    addRandomFault(
                            at, duration, Kind.DELAY, pairs(members, names, true), RANDOM_DELAY_S, RANDOM_DELAY_S);
                case "partition" -> addPartition(new Script.PartitionAction(at, List.of(), 2, duration, 0));
                case "reset" -> steps.add(new TimedStep(at, new ResetStreams(pairs(members, names, true))));
                default -> throw new IllegalArgumentException(kind);
            }
        }

        private void addRandomFault(
                double at, double duration, Kind kind, Set<Pair> pairs, double amount, double spread) {
            addFault(at, duration, 0, new LinkFaults.Fault(kind, pairs, amount, spread));
        }
    }
}
