package pepperdock.simulation.raft;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;

/** Walks of steps drawn by seeds, and the shortening of one that fails. */
public final class Explorer {

    /** How often each kind of step comes, as parts of the sum of all. */
    public enum Mix {
        /** A bit of everything. */
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
        /** One leader after the other, most of whom don't get far. */
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
        /** Peers that fall behind what is kept, and answers that come late. */
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

        @SuppressWarnings("ImmutableEnumChecker") // Filled in the constructor and only read after it.
        private final EnumMap<Step.Kind, Integer> parts;

        private final int sum;

        Mix(Map<Step.Kind, Integer> parts) {
            this.parts = new EnumMap<>(parts);
            sum = parts.values().stream().mapToInt(Integer::intValue).sum();
        }

        private Step drawn(Random chance) {
            int x = chance.nextInt(sum);
            for (Map.Entry<Step.Kind, Integer> p : parts.entrySet()) {
                x -= p.getValue();
                if (x < 0) {
                    return new Step(p.getKey(), chance.nextInt(1 << 20), chance.nextInt(1 << 20));
                }
            }
            throw new IllegalStateException();
        }
    }

    private static final int SETTLE_ROUNDS = 120;
    private static final int SHORTER_TRIES = 4000;

    /** What a walk found, empty where nothing; its steps up to there; and what it saw. */
    public record Walk(long seed, List<String> violations, List<Step> steps, long[] counts) {}

    private final LongFunction<World> worlds;
    private final Mix mix;

    /** {@code worlds} makes a new one for a seed, the same for the same. */
    public Explorer(LongFunction<World> worlds, Mix mix) {
        this.worlds = worlds;
        this.mix = mix;
    }

    /** Draws that many steps from the seed and plays them. */
    public Walk walk(long seed, int length) {
        Random chance = new Random(seed * 7919 + 13);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            steps.add(mix.drawn(chance));
        }
        return play(seed, steps);
    }

    /** Plays steps up to the first finding, and where there is none to a settled end. */
    public Walk play(long seed, List<Step> steps) {
        World world = worlds.apply(seed);
        int taken = 0;
        try {
            while (taken < steps.size() && world.violations().isEmpty()) {
                world.take(steps.get(taken++));
            }
            if (world.violations().isEmpty()) {
                world.settle(SETTLE_ROUNDS);
            }
        } catch (IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException e) {
            world.violations().add("the machine broke: " + e);
        }
        return new Walk(seed, List.copyOf(world.violations()), List.copyOf(steps.subList(0, taken)), world.counts());
    }

    /** A shorter walk that still fails: parts are left out, large ones first, as long as something is found. */
    public Walk shortened(Walk failing) {
        Walk best = failing;
        int tries = 0;
        for (int part = best.steps().size() / 2; part >= 1; part /= 2) {
            for (int from = 0; from < best.steps().size() && tries < SHORTER_TRIES; ) {
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
