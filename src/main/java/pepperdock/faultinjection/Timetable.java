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
import pepperdock.faultinjection.Script.Targets;
import pepperdock.faultinjection.Script.What;

/**
 * A script with everything drawn and spread out in time: phases, each some timed steps and what is awaited at its end. Pure;
 * the same script and seed give the same timetable, whatever then happens.
 */
record Timetable(List<Phase> phases) {

    /** Kinds that a {@code drawn} act may take. */
    static final List<String> DRAWN =
            List.of("stop", "kill", "lost", "cut", "one-way", "loss", "delay", "partition", "reset");

    private static final double DRAWN_LOSS = 0.3;
    private static final double DRAWN_DELAY_S = 0.2;

    /** What is awaited is null at the end of the last phase, where the rig awaits what its checkers want. */
    record Phase(List<Timed> steps, Script.Await then) {}

    /** Seconds from the start of the phase. */
    record Timed(double at, Step step) {}

    /** One thing that the rig does at a time. */
    sealed interface Step permits On, Off, Cut, Signal, Start, Disk, Clock {}

    /** Fault number so-and-so begins. */
    record On(int number, LinkFaults.Fault fault) implements Step {}

    /** The fault of that number ends. */
    record Off(int number) implements Step {}

    /** Streams on these pairs are reset. */
    record Cut(Set<Pair> pairs) implements Step {}

    /** Signals to a process. */
    enum Sent {
        STOP,
        CONT,
        KILL,
        TERM
    }

    /** The signal goes to these members. */
    record Signal(Sent what, List<String> members) implements Step {}

    /** These members are started, with an empty folder or on new ports where it says so. */
    record Start(List<String> members, boolean emptyFolder, boolean newPorts) implements Step {}

    /** What is with these members' disks from now on, as {@link FaultyDisk} reads it; empty where nothing is. */
    record Disk(List<String> members, String is) implements Step {}

    /** The clocks of these members are moved by so many seconds. */
    record Clock(List<String> members, double byS) implements Step {}

    boolean any(Class<? extends Step> kind) {
        return phases.stream().flatMap(p -> p.steps().stream()).anyMatch(s -> kind.isInstance(s.step()));
    }

    static Timetable of(Script script) {
        Random chance = new Random(script.seed());
        Writer writer = new Writer(script.names(), chance);
        List<Phase> phases = new ArrayList<>();
        for (Action act : script.acts()) {
            if (act instanceof Script.Await await) {
                phases.add(new Phase(
                        writer.taken(),
                        new Script.Await(await.condition(), new Targets(writer.drawn(await.whom()), 0))));
            } else {
                writer.add(act);
            }
        }
        phases.add(new Phase(writer.taken(), null));
        return new Timetable(List.copyOf(phases));
    }

    /** Writes acts out into steps. */
    private static final class Writer {
        private final List<String> names;
        private final Random chance;
        private final List<Timed> steps = new ArrayList<>();
        private final List<Integer> endless = new ArrayList<>();
        private int number;

        Writer(List<String> names, Random chance) {
            this.names = names;
            this.chance = chance;
        }

        /** The steps so far in the order of their times; those of one time in the order of the script. */
        List<Timed> taken() {
            steps.sort(Comparator.comparingDouble(Timed::at));
            List<Timed> all = List.copyOf(steps);
            steps.clear();
            return all;
        }

        List<String> drawn(Targets whom) {
            return whom.drawn() > 0 ? some(whom.drawn()) : whom.names().isEmpty() ? names : whom.names();
        }

        private List<String> some(int count) {
            List<String> all = new ArrayList<>(names);
            Collections.shuffle(all, chance);
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

        private void add(Action act) {
            if (act instanceof Script.OnLinks a) {
                fault(
                        a.at(),
                        a.lastS(),
                        a.flipS(),
                        new LinkFaults.Fault(
                                a.kind(), pairs(drawn(a.from()), drawn(a.to()), a.both()), a.amount(), a.spread()));
            } else if (act instanceof Script.Reset r) {
                steps.add(new Timed(r.at(), new Cut(pairs(drawn(r.from()), drawn(r.to()), r.both()))));
            } else if (act instanceof Script.Heal h) {
                endless.forEach(no -> steps.add(new Timed(h.at(), new Off(no))));
                endless.clear();
            } else if (act instanceof Script.Partition p) {
                partition(p);
            } else if (act instanceof Script.OnProcesses p) {
                processes(p);
            } else if (act instanceof Script.OnDisks d) {
                List<String> whom = drawn(d.whom());
                steps.add(new Timed(d.at(), new Disk(whom, d.byS() > 0 ? d.is() + ' ' + d.byS() : d.is())));
                if (!Double.isInfinite(d.lastS())) {
                    steps.add(new Timed(d.at() + d.lastS(), new Disk(whom, "")));
                }
            } else if (act instanceof Script.OnClocks c) {
                steps.add(new Timed(c.at(), new Clock(drawn(c.whom()), c.byS())));
            } else if (act instanceof Script.Draw d) {
                draw(d);
            }
        }

        private void fault(double at, double last, double flip, LinkFaults.Fault fault) {
            int no = number++;
            double end = at + last;
            if (flip <= 0) {
                steps.add(new Timed(at, new On(no, fault)));
                if (Double.isInfinite(end)) {
                    endless.add(no);
                } else {
                    steps.add(new Timed(end, new Off(no)));
                }
                return;
            }
            for (double t = at; t < end; t += 2 * flip) {
                steps.add(new Timed(t, new On(no, fault)));
                steps.add(new Timed(Math.min(t + flip, end), new Off(no)));
            }
        }

        private void partition(Script.Partition p) {
            double each = p.moveS() > 0 ? p.moveS() : p.lastS();
            double end = p.at() + p.lastS();
            double t = p.at();
            do {
                List<List<String>> groups = p.groups().isEmpty() ? split(p.drawn()) : p.groups();
                Set<Pair> apart = new LinkedHashSet<>();
                for (List<String> a : groups) {
                    groups.stream().filter(b -> b != a).forEach(b -> apart.addAll(pairs(a, b, true)));
                }
                fault(t, Math.min(each, end - t), 0, new LinkFaults.Fault(Kind.CUT, apart, 0, 0));
                t += each;
            } while (t < end && !Double.isInfinite(each));
        }

        private List<List<String>> split(int into) {
            List<String> all = some(names.size());
            List<List<String>> groups = new ArrayList<>();
            for (int g = 0; g < into; g++) {
                groups.add(all.subList(g * all.size() / into, (g + 1) * all.size() / into));
            }
            return groups;
        }

        private void processes(Script.OnProcesses p) {
            List<String> whom = drawn(p.whom());
            if (p.apartS() > 0) {
                for (int i = 0; i < whom.size(); i++) {
                    befall(p.at() + i * p.apartS(), p, List.of(whom.get(i)));
                }
            } else {
                befall(p.at(), p, whom);
            }
        }

        private void befall(double at, Script.OnProcesses p, List<String> whom) {
            Start start = new Start(whom, p.emptyFolder(), p.newPorts());
            if (p.what() == What.START) {
                steps.add(new Timed(at, start));
                return;
            }
            if (p.what() == What.CONTINUE) {
                steps.add(new Timed(at, new Signal(Sent.CONT, whom)));
                return;
            }
            steps.add(new Timed(at, new Signal(Sent.valueOf(p.what().name()), whom)));
            if (!Double.isInfinite(p.lastS())) {
                steps.add(new Timed(at + p.lastS(), p.what() == What.STOP ? new Signal(Sent.CONT, whom) : start));
            }
        }

        /** No two drawn faults of a process overlap: each takes its own members, free again when it ends. */
        private void draw(Script.Draw drawn) {
            double[] freeAt = new double[names.size()];
            for (double at = drawn.at(); at < drawn.at() + drawn.forS(); at += drawn.everyS()) {
                String kind = drawn.kinds().get(chance.nextInt(drawn.kinds().size()));
                double last = Math.min(
                        drawn.leastS() + chance.nextDouble() * (drawn.mostS() - drawn.leastS()),
                        drawn.at() + drawn.forS() - at);
                int count = 1 + chance.nextInt(Math.min(drawn.mostMembers(), names.size()));
                List<String> whom = freeMembers(count, freeAt, at);
                if (whom.isEmpty()) {
                    continue;
                }
                switch (kind) {
                    case "stop", "kill", "lost" -> drawnOnProcesses(kind, at, last, whom, freeAt, drawn.mostMembers());
                    default -> drawnOnLinks(kind, at, last, whom);
                }
            }
        }

        /** At most so many members, in a drawn order, that no drawn fault holds at that time. */
        private List<String> freeMembers(int count, double[] freeAt, double at) {
            List<String> free = new ArrayList<>();
            for (String member : some(names.size())) {
                if (free.size() < count && freeAt[names.indexOf(member)] <= at) {
                    free.add(member);
                }
            }
            return free;
        }

        /** Takes fewer members where more than {@code mostMembers} would be down at once. */
        private void drawnOnProcesses(
                String kind, double at, double last, List<String> free, double[] freeAt, int mostMembers) {
            int down = 0;
            for (double until : freeAt) {
                down += until > at ? 1 : 0;
            }
            List<String> whom = free.subList(0, Math.max(0, Math.min(free.size(), mostMembers - down)));
            for (String member : whom) {
                freeAt[names.indexOf(member)] = at + last;
            }
            if (whom.isEmpty()) {
                return;
            }
            What what = kind.equals("stop") ? What.STOP : What.KILL;
            boolean emptyFolder = kind.equals("lost");
            befall(at, new Script.OnProcesses(at, what, Targets.ALL, last, 0, emptyFolder, false), List.copyOf(whom));
        }

        private void drawnOnLinks(String kind, double at, double last, List<String> whom) {
            switch (kind) {
                case "cut" -> drawnFault(at, last, Kind.CUT, pairs(whom, names, true), 0, 0);
                case "one-way" -> {
                    Set<Pair> pairs = chance.nextBoolean() ? pairs(whom, names, false) : pairs(names, whom, false);
                    drawnFault(at, last, Kind.CUT, pairs, 0, 0);
                }
                case "loss" -> drawnFault(at, last, Kind.LOSS, pairs(names, names, false), DRAWN_LOSS, 0);
                case "delay" ->
                    drawnFault(at, last, Kind.DELAY, pairs(whom, names, true), DRAWN_DELAY_S, DRAWN_DELAY_S);
                case "partition" -> partition(new Script.Partition(at, List.of(), 2, last, 0));
                case "reset" -> steps.add(new Timed(at, new Cut(pairs(whom, names, true))));
                default -> throw new IllegalArgumentException(kind);
            }
        }

        private void drawnFault(double at, double last, Kind kind, Set<Pair> pairs, double amount, double spread) {
            fault(at, last, 0, new LinkFaults.Fault(kind, pairs, amount, spread));
        }
    }
}
