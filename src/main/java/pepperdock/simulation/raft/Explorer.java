package pepperdock.simulation.raft;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;

/** Runs walks of steps drawn from seeds, and shortens a walk that fails. */
public final class Explorer {

    /** How often each kind of step is drawn, as weights relative to their sum. */
    public enum Mix {
        /** All kinds of steps. */
        ALL(Map.ofEntries(
                Map.entry(Step.Kind.TICK, 90),
                Map.entry(Step.Kind.DELIVER, 500),
                Map.entry(Step.Kind.SYNC, 250),
                Map.entry(Step.Kind.DROP, 12),
                Map.entry(Step.Kind.TWICE, 12),
                Map.entry(Step.Kind.PROPOSE, 150),
                Map.entry(Step.Kind.READ, 30),
                Map.entry(Step.Kind.COMPACT, 8),
                Map.entry(Step.Kind.CRASH, 3),
                Map.entry(Step.Kind.START, 20),
                Map.entry(Step.Kind.LOSE, 1),
                Map.entry(Step.Kind.FAIL, 1),
                Map.entry(Step.Kind.CUT, 4),
                Map.entry(Step.Kind.HEAL, 4),
                Map.entry(Step.Kind.TRANSFER, 3),
                Map.entry(Step.Kind.ADD, 8),
                Map.entry(Step.Kind.PROMOTE, 8),
                Map.entry(Step.Kind.REMOVE, 3),
                Map.entry(Step.Kind.CALM, 40),
                Map.entry(Step.Kind.HASTE, 12),
                Map.entry(Step.Kind.AGAIN, 12))),
        /** Frequent elections, with leaders that mostly replicate little. */
        ELECTIONS(Map.of(
                Step.Kind.HASTE,
                10,
                Step.Kind.DELIVER,
                60,
                Step.Kind.SYNC,
                50,
                Step.Kind.DROP,
                20,
                Step.Kind.AGAIN,
                6,
                Step.Kind.CRASH,
                3,
                Step.Kind.START,
                6,
                Step.Kind.TICK,
                4)),
        /** Peers that fall behind the compacted log, and responses that arrive late. */
        SNAPSHOTS(Map.of(
                Step.Kind.PROPOSE,
                60,
                Step.Kind.DELIVER,
                100,
                Step.Kind.SYNC,
                60,
                Step.Kind.DROP,
                30,
                Step.Kind.TWICE,
                10,
                Step.Kind.COMPACT,
                30,
                Step.Kind.TICK,
                60,
                Step.Kind.HASTE,
                1,
                Step.Kind.CALM,
                6,
                Step.Kind.AGAIN,
                2));

        @SuppressWarnings("ImmutableEnumChecker") // Filled in the constructor and only read afterwards.
        private final EnumMap<Step.Kind, Integer> weights;

        private final int sum;

        Mix(Map<Step.Kind, Integer> weights) {
            this.weights = new EnumMap<>(weights);
            sum = weights.values().stream().mapToInt(Integer::intValue).sum();
        }

        private Step drawStep(Random random) {
            int remaining = random.nextInt(sum);
            for (Map.Entry<Step.Kind, Integer> p : weights.entrySet()) {
                remaining -= p.getValue();
                if (remaining < 0) {
                    return new Step(p.getKey(), random.nextInt(1 << 20), random.nextInt(1 << 20));
                }
            }
            throw new IllegalStateException();
        }
    }

    private static final int SETTLE_ROUNDS = 120;
    private static final int MAX_SHORTENING_TRIES = 4000;

    /**
     * The result of a walk: the violations, if any, the steps taken until then, and the counts of {@link
     * SimulatedRaftGroup#counts}.
     */
    public record Walk(long seed, List<String> violations, List<Step> steps, long[] counts) {}

    private final LongFunction<SimulatedRaftGroup> groups;
    private final Mix mix;

    /** Creates an explorer; {@code groups} must return a new, equal group whenever it is called with the same seed. */
    public Explorer(LongFunction<SimulatedRaftGroup> groups, Mix mix) {
        this.groups = groups;
        this.mix = mix;
    }

    /** Draws that many steps from the seed and runs them. */
    public Walk walk(long seed, int length) {
        Random random = new Random(seed * 7919 + 13);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            steps.add(mix.drawStep(random));
        }
        return play(seed, steps);
    }

    /** Runs steps until the first violation; if there is none, lets the group settle and checks it again. */
    public Walk play(long seed, List<Step> steps) {
        SimulatedRaftGroup group = groups.apply(seed);
        int taken = 0;
        try {
            while (taken < steps.size() && group.violations().isEmpty()) {
                group.take(steps.get(taken++));
            }
            if (group.violations().isEmpty()) {
                group.settle(SETTLE_ROUNDS);
            }
        } catch (IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException e) {
            group.violations().add("an exception was thrown: " + e);
        }
        return new Walk(seed, List.copyOf(group.violations()), List.copyOf(steps.subList(0, taken)), group.counts());
    }

    /**
     * Returns a shorter walk that still fails, by removing runs of steps, long runs first, as long as a violation
     * remains.
     */
    public Walk shortened(Walk failing) {
        Walk best = failing;
        int tries = 0;
        for (int part = best.steps().size() / 2; part >= 1; part /= 2) {
            for (int from = 0; from < best.steps().size() && tries < MAX_SHORTENING_TRIES; ) {
                List<Step> rest = new ArrayList<>(best.steps().subList(0, from));
                rest.addAll(best.steps()
                        .subList(
                                Math.min(from + part, best.steps().size()),
                                best.steps().size()));
                Walk w = play(best.seed(), rest);
                tries++;
                if (w.violations().isEmpty()) {
                    from += part;
                } else {
                    best = w;
                }
            }
        }
        return best;
    }
}
