package pepperdock.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when a running gatherer plans anew, from what, and whether a plan that comes back is still to be used. Owned by the
 * loop's thread; solving the problem in between may take any time, on another thread.
 *
 * <p>A plan is made of what this gatherer sees alone: which nodes are in service, how long their parts take compared to the
 * median, and how its parts fall on the ranges. Capacities are known only relative to each other, so they are taken large enough
 * for any work; what counts is the order of utilisations. What is learnt is bounded in three ways: a node's speed is clamped
 * between {@link #SLOWEST} and {@link #FASTEST} times the median, its share of a range never falls below {@code shareLeast} (so
 * that it goes on being measured, and a wrong factor can't starve it nor overload its partner beyond that), and it decays to the
 * median speed when no part of it is served.
 */
public final class Upkeep {

    static final double SLOWEST = 0.5;
    static final double FASTEST = 2;
    /**
     * Weight of one part in the exponential mean of a node's part times. Single times vary by half the mean, so that such a mean
     * is off by some 3 %, and the worst of a hundred nodes by 10; a larger weight would plan a large fleet anew at every check.
     */
    private static final double MEAN_WEIGHT = 1.0 / 128;
    /** Parts of a node before its time counts. */
    private static final int MIN_PARTS = 32;
    /** What is left, after one check, of counts and of a node's distance from the median speed. */
    private static final double DECAY = 0.9;
    /** Speeds are rounded to a twentieth: the plan must not follow measurement noise. */
    private static final double STEPS_PER_UNIT = 20;
    /** Shares this close to equal ones, relative to them, are equal. */
    private static final double EQUAL_TOLERANCE = 0.25;
    /** Parts that each range is assumed to have had besides those seen, as a few parts say little of how work falls on ranges. */
    private static final double PRIOR_PARTS = 50;

    private static final long CAPACITY = 1_000_000_000L;

    /** A node of the endpoint list; its cell determines which ranges it holds. */
    public record Member(String id, int cell, boolean inService) {}

    /** The replica placement: a range is held by the cells {@code (range + j) mod cells}, j from 0 to {@code span - 1}. */
    public record Ring(int ranges, int cells, int span) {}

    /** A problem to be solved, and the version of the endpoint list that it was made of. */
    public record Job(long version, Problem problem) {}

    /** Shares by range and node; a node that is not named counts as if all were equal. */
    public record Shares(Map<Integer, Map<String, Double>> byRange) {
        /** All replicas alike. */
        public static final Shares EQUAL = new Shares(Map.of());

        /** The weight of a node among the replicas of a range. */
        public double of(int range, String node) {
            return byRange.getOrDefault(range, Map.of()).getOrDefault(node, 1.0);
        }
    }

    /** The mean part time of a node, and the decayed count of parts behind it. */
    private static final class Heard {
        double meanS;
        double parts;
    }

    private final Ring ring;
    private final double everyS;
    private final double leastChange;
    private final double shareLeast;
    /** By id, so that the same state makes the same problem; holds listed nodes only. */
    private final TreeMap<String, Member> members = new TreeMap<>();
    /** Of listed nodes only. */
    private final Map<String, Heard> heard = new HashMap<>();

    /** Parts by range, decayed. */
    private final double[] asked;

    private long version;
    private long plannedVersion = -1;
    private boolean solving;
    private double nextAt = Double.NEGATIVE_INFINITY;
    private Map<String, Double> plannedSpeeds = Map.of();

    /** {@code leastChange}: a plan is made anew for speeds only when one has changed by this share. */
    public Upkeep(Ring ring, double everyS, double leastChange, double shareLeast) {
        this.ring = ring;
        this.everyS = everyS;
        this.leastChange = leastChange;
        this.shareLeast = shareLeast;
        asked = new double[ring.ranges()];
    }

    /** Takes the whole endpoint list. A change makes any plan that is being solved obsolete. */
    public void listed(List<Member> all) {
        TreeMap<String, Member> next = new TreeMap<>();
        all.forEach(m -> next.put(m.id(), m));
        if (!next.equals(members)) {
            members.clear();
            members.putAll(next);
            heard.keySet().retainAll(next.keySet());
            version++;
        }
    }

    /** A node has served a part of a query on a range. */
    public void served(String node, int range, double spentS) {
        if (members.containsKey(node) && range >= 0 && range < asked.length) {
            Heard h = heard.computeIfAbsent(node, n -> new Heard());
            h.parts++;
            h.meanS += Math.max(MEAN_WEIGHT, 1 / h.parts) * (spentS - h.meanS);
            asked[range]++;
        }
    }

    /** What to solve now, or null: a changed list is planned for at once, changed speeds at intervals; one job at a time. */
    public Job due(double now) {
        boolean look = now >= nextAt;
        if (solving || members.isEmpty() || version == plannedVersion && !look) {
            return null;
        }
        if (look) {
            nextAt = now + everyS;
            fade();
        }
        Map<String, Double> speeds = speeds();
        if (version == plannedVersion && !changed(speeds)) {
            return null;
        }
        solving = true;
        plannedSpeeds = speeds;
        return new Job(version, problem(speeds));
    }

    /** Takes the solution of a job; returns the shares to use from now on, or null where the list has changed since. */
    public Shares solved(Job job, Plan plan) {
        solving = false;
        if (job.version() != version) {
            return null;
        }
        plannedVersion = version;
        // Some range has no replica in service: equal shares everywhere until the list changes.
        return plan == null || !plan.solved() ? Shares.EQUAL : shares(job.problem(), plan);
    }

    private void fade() {
        double common = common();
        for (int r = 0; r < asked.length; r++) {
            asked[r] *= DECAY;
        }
        heard.values().forEach(h -> {
            h.parts *= DECAY;
            h.meanS = h.parts < MIN_PARTS && common > 0 ? common + DECAY * (h.meanS - common) : h.meanS;
        });
    }

    /** The median of the nodes' mean times; 0 while too few are known. */
    private double common() {
        double[] means = heard.values().stream()
                .filter(h -> h.parts >= MIN_PARTS)
                .mapToDouble(h -> h.meanS)
                .sorted()
                .toArray();
        return means.length == 0 ? 0 : means[means.length / 2];
    }

    private Map<String, Double> speeds() {
        double common = common();
        Map<String, Double> speeds = new TreeMap<>();
        members.keySet().forEach(id -> {
            Heard h = heard.get(id);
            double speed = h == null || common == 0 || h.parts < MIN_PARTS || h.meanS <= 0 ? 1 : common / h.meanS;
            speeds.put(id, Math.rint(Math.max(SLOWEST, Math.min(FASTEST, speed)) * STEPS_PER_UNIT) / STEPS_PER_UNIT);
        });
        return speeds;
    }

    private boolean changed(Map<String, Double> speeds) {
        return speeds.entrySet().stream()
                .anyMatch(e ->
                        Math.abs(e.getValue() / plannedSpeeds.getOrDefault(e.getKey(), 1.0) - 1) >= leastChange - 1e-9);
    }

    private Problem problem(Map<String, Double> speeds) {
        List<Problem.Node> nodes = new ArrayList<>();
        List<List<Integer>> cells = new ArrayList<>();
        for (int c = 0; c < ring.cells(); c++) {
            cells.add(new ArrayList<>());
        }
        for (Member m : members.values()) {
            cells.get(Math.floorMod(m.cell(), ring.cells())).add(nodes.size());
            nodes.add(new Problem.Node(m.id(), 0, Math.round(CAPACITY * speeds.get(m.id())), m.inService()));
        }
        double sum = Arrays.stream(asked).sum();
        List<Problem.Range> ranges = new ArrayList<>();
        for (int r = 0; r < ring.ranges(); r++) {
            List<Integer> holders = new ArrayList<>();
            for (int j = 0; j < ring.span(); j++) {
                holders.addAll(cells.get((r + j) % ring.cells()));
            }
            boolean anybody = holders.stream().anyMatch(n -> nodes.get(n).inService());
            // All work together is less than the slowest node can do, so that no set of nodes is ever overloaded. A
            // range without a replica in service has nothing to be shared.
            double part = (asked[r] + PRIOR_PARTS) / (sum + PRIOR_PARTS * ring.ranges());
            ranges.add(new Problem.Range(
                    r, anybody ? Math.max(1, Math.round(part * CAPACITY * SLOWEST / 2)) : 0, holders));
        }
        return new Problem(List.of("all"), new double[][] {{0}}, new long[] {1}, nodes, ranges, false);
    }

    private Shares shares(Problem p, Plan plan) {
        Map<Integer, Map<String, Double>> byRange = new HashMap<>();
        for (int r = 0; r < p.ranges().size(); r++) {
            List<Integer> holders = p.ranges().get(r).holders();
            long open =
                    holders.stream().filter(n -> p.nodes().get(n).inService()).count();
            Map<String, Double> shares = new HashMap<>();
            for (int i = 0; i < holders.size(); i++) {
                if (p.nodes().get(holders.get(i)).inService()) {
                    double equal = 1.0 / open;
                    double share = plan.shares().get(r).get(0)[i];
                    // Ties are kept: broken by noise they would always fall the same way.
                    share = Math.abs(share - equal) < EQUAL_TOLERANCE * equal ? equal : share;
                    shares.put(p.nodes().get(holders.get(i)).name(), Math.max(Math.min(shareLeast, equal), share));
                }
            }
            byRange.put(r, shares);
        }
        return new Shares(byRange);
    }
}
