package pepperdock.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when a running gatherer plans anew, from what, and whether a plan that comes back is still to be used. Fed by
 * the loop, asked by the loop; whoever solves the problem in between may take as long as it likes.
 *
 * <p>A plan is made of what this gatherer sees alone: which nodes are in service, how long their parts take next to the
 * common time, and how its parts fall on the ranges. Capacities are known only relative to each other, so they are taken
 * large enough for any work; what counts is the order of utilisations. What is learnt is bounded thrice: a node's speed is
 * held between {@link #SLOWEST} and {@link #FASTEST} times the common, its share of a range never falls below
 * {@code shareLeast} (so it goes on being measured, and a wrong factor can't starve it nor flood its partner beyond that),
 * and it drifts back to the common speed when nothing is heard of it.
 */
public final class Upkeep {

    static final double SLOWEST = 0.5;
    static final double FASTEST = 2;
    /**
     * Weight of one part in a node's mean time, once that many were heard: parts differ by half their time, so that such a
     * mean is off by some 3 %, the worst of a hundred by 10. With 1/32 a fleet of 100 was planned anew at every look.
     */
    private static final double GAIN = 1.0 / 128;
    /** Parts of a node before its time counts. */
    private static final int HEARD_LEAST = 32;
    /** What is left, after one look, of counts and of a node's distance from the common speed. */
    private static final double KEPT = 0.9;
    /** Speeds are told apart by steps of a twentieth: the plan shall not follow the last digit. */
    private static final double STEP = 20;
    /** Shares this near to equal ones, in shares of them, are equal. */
    private static final double ALIKE = 0.25;
    /** Parts that each range is thought to have had besides those seen: few seen say little of how work falls on ranges. */
    private static final double PRIOR = 50;

    private static final long CAPACITY = 1_000_000_000L;

    /** A node of the list; {@code cell} says which ranges it holds. */
    public record Member(String id, int cell, boolean inService) {}

    /** Who holds which range: those of cells {@code (range + j) mod cells}, j from 0 to {@code span - 1}. */
    public record Ring(int ranges, int cells, int span) {}

    /** A problem to be solved, and the state of the list that it was made of. */
    public record Job(long version, Problem problem) {}

    /** Shares by range and node; whoever is not named counts as if all were alike. */
    public record Shares(Map<Integer, Map<String, Double>> byRange) {
        public static final Shares EQUAL = new Shares(Map.of());

        public double of(int range, String node) {
            return byRange.getOrDefault(range, Map.of()).getOrDefault(node, 1.0);
        }
    }

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

    /** The whole list as now known. A change of who is in service makes any plan in the making too late. */
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

    /** A part was served. */
    public void served(String node, int range, double spentS) {
        if (members.containsKey(node) && range >= 0 && range < asked.length) {
            Heard h = heard.computeIfAbsent(node, n -> new Heard());
            h.parts++;
            h.meanS += Math.max(GAIN, 1 / h.parts) * (spentS - h.meanS);
            asked[range]++;
        }
    }

    /** What to solve now, or null: for a changed list at once, for changed speeds now and then; one at a time. */
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

    /** A plan has come; returns the shares to use from now on, or null where it is too late for its list or there is none. */
    public Shares solved(Job job, Plan plan) {
        solving = false;
        if (job.version() != version) {
            return null;
        }
        plannedVersion = version;
        // Work without any holder in service: nothing to choose there, and equal shares elsewhere until the list
        // changes.
        return plan == null || !plan.solved() ? Shares.EQUAL : shares(job.problem(), plan);
    }

    private void fade() {
        double common = common();
        for (int r = 0; r < asked.length; r++) {
            asked[r] *= KEPT;
        }
        heard.values().forEach(h -> {
            h.parts *= KEPT;
            h.meanS = h.parts < HEARD_LEAST && common > 0 ? common + KEPT * (h.meanS - common) : h.meanS;
        });
    }

    /** The median of the nodes' mean times; 0 while too few are known. */
    private double common() {
        double[] means = heard.values().stream()
                .filter(h -> h.parts >= HEARD_LEAST)
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
            double speed = h == null || common == 0 || h.parts < HEARD_LEAST || h.meanS <= 0 ? 1 : common / h.meanS;
            speeds.put(id, Math.rint(Math.max(SLOWEST, Math.min(FASTEST, speed)) * STEP) / STEP);
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
            // All work together is less than the slowest node can do, so that no set is ever too much. A range without
            // a
            // holder has nothing to be shared.
            double part = (asked[r] + PRIOR) / (sum + PRIOR * ring.ranges());
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
                    // Ties are worth keeping: broken by a digit they would always fall the same way.
                    share = Math.abs(share - equal) < ALIKE * equal ? equal : share;
                    shares.put(p.nodes().get(holders.get(i)).name(), Math.max(Math.min(shareLeast, equal), share));
                }
            }
            byRange.put(r, shares);
        }
        return new Shares(byRange);
    }
}
