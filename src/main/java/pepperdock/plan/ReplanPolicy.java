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
public final class ReplanPolicy {

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
    public record ReplicaRing(int ranges, int cells, int span) {}

    /** A problem to be solved, and the version of the endpoint list that it was made of. */
    public record Job(long version, Problem problem) {}

    /** Shares by range and node; a node that is not named counts as if all were equal. */
    public record RangeShares(Map<Integer, Map<String, Double>> byRange) {
        /** All replicas alike. */
        public static final RangeShares EQUAL = new RangeShares(Map.of());

        /** The weight of a node among the replicas of a range. */
        public double of(int range, String node) {
            return byRange.getOrDefault(range, Map.of()).getOrDefault(node, 1.0);
        }
    }

    /** The mean part time of a node, and the decayed count of parts behind it. */
    private static final class PartTimes {
        double meanS;
        double parts;
    }

    private final ReplicaRing ring;
    private final double everyS;
    private final double leastChange;
    private final double shareLeast;
    /** By id, so that the same state makes the same problem; holds listed nodes only. */
    private final TreeMap<String, Member> members = new TreeMap<>();
    /** Of listed nodes only. */
    private final Map<String, PartTimes> partTimes = new HashMap<>();

    /** Parts by range, decayed. */
    private final double[] partsByRange;

    private long version;
    private long plannedVersion = -1;
    private boolean solving;
    private double nextAt = Double.NEGATIVE_INFINITY;
    private Map<String, Double> plannedSpeeds = Map.of();

    /** {@code leastChange}: a plan is made anew for speeds only when one has changed by this share. */
    public ReplanPolicy(ReplicaRing ring, double everyS, double leastChange, double shareLeast) {
        this.ring = ring;
        this.everyS = everyS;
        this.leastChange = leastChange;
        this.shareLeast = shareLeast;
        partsByRange = new double[ring.ranges()];
    }

    /** Takes the whole endpoint list. A change makes any plan that is being solved obsolete. */
    public void onEndpointList(List<Member> all) {
        TreeMap<String, Member> next = new TreeMap<>();
        all.forEach(member -> next.put(member.id(), member));
        if (!next.equals(members)) {
            members.clear();
            members.putAll(next);
            partTimes.keySet().retainAll(next.keySet());
            version++;
        }
    }

    /** A node has served a part of a query on a range. */
    public void onPartServed(String node, int range, double spentS) {
        if (members.containsKey(node) && range >= 0 && range < partsByRange.length) {
            PartTimes times = partTimes.computeIfAbsent(node, n -> new PartTimes());
            times.parts++;
            times.meanS += Math.max(MEAN_WEIGHT, 1 / times.parts) * (spentS - times.meanS);
            partsByRange[range]++;
        }
    }

    /** What to solve now, or null: a changed list is planned for at once, changed speeds at intervals; one job at a time. */
    public Job nextJob(double now) {
        boolean look = now >= nextAt;
        if (solving || members.isEmpty() || version == plannedVersion && !look) {
            return null;
        }
        if (look) {
            nextAt = now + everyS;
            decay();
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
    public RangeShares onPlan(Job job, Plan plan) {
        solving = false;
        if (job.version() != version) {
            return null;
        }
        plannedVersion = version;
        // Some range has no replica in service: equal shares everywhere until the list changes.
        return plan == null || !plan.solved() ? RangeShares.EQUAL : shares(job.problem(), plan);
    }

    private void decay() {
        double median = medianPartTime();
        for (int range = 0; range < partsByRange.length; range++) {
            partsByRange[range] *= DECAY;
        }
        partTimes.values().forEach(times -> {
            times.parts *= DECAY;
            times.meanS = times.parts < MIN_PARTS && median > 0 ? median + DECAY * (times.meanS - median) : times.meanS;
        });
    }

    /** The median of the nodes' mean times; 0 while too few are known. */
    private double medianPartTime() {
        double[] means = partTimes.values().stream()
                .filter(times -> times.parts >= MIN_PARTS)
                .mapToDouble(times -> times.meanS)
                .sorted()
                .toArray();
        return means.length == 0 ? 0 : means[means.length / 2];
    }

    private Map<String, Double> speeds() {
        double median = medianPartTime();
        Map<String, Double> speeds = new TreeMap<>();
        members.keySet().forEach(id -> {
            PartTimes times = partTimes.get(id);
            double speed = times == null || median == 0 || times.parts < MIN_PARTS || times.meanS <= 0
                    ? 1
                    : median / times.meanS;
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
        for (int cell = 0; cell < ring.cells(); cell++) {
            cells.add(new ArrayList<>());
        }
        for (Member member : members.values()) {
            cells.get(Math.floorMod(member.cell(), ring.cells())).add(nodes.size());
            nodes.add(new Problem.Node(
                    member.id(), 0, Math.round(CAPACITY * speeds.get(member.id())), member.inService()));
        }
        double sum = Arrays.stream(partsByRange).sum();
        List<Problem.Range> ranges = new ArrayList<>();
        for (int range = 0; range < ring.ranges(); range++) {
            List<Integer> holders = new ArrayList<>();
            for (int j = 0; j < ring.span(); j++) {
                holders.addAll(cells.get((range + j) % ring.cells()));
            }
            boolean anybody = holders.stream().anyMatch(n -> nodes.get(n).inService());
            // All work together is less than the slowest node can do, so that no set of nodes is ever overloaded. A
            // range without a replica in service has nothing to be shared.
            double part = (partsByRange[range] + PRIOR_PARTS) / (sum + PRIOR_PARTS * ring.ranges());
            ranges.add(new Problem.Range(
                    range, anybody ? Math.max(1, Math.round(part * CAPACITY * SLOWEST / 2)) : 0, holders));
        }
        return new Problem(List.of("all"), new double[][] {{0}}, new long[] {1}, nodes, ranges, false);
    }

    private RangeShares shares(Problem problem, Plan plan) {
        Map<Integer, Map<String, Double>> byRange = new HashMap<>();
        for (int range = 0; range < problem.ranges().size(); range++) {
            List<Integer> holders = problem.ranges().get(range).holders();
            long open = holders.stream()
                    .filter(n -> problem.nodes().get(n).inService())
                    .count();
            Map<String, Double> shares = new HashMap<>();
            for (int i = 0; i < holders.size(); i++) {
                if (problem.nodes().get(holders.get(i)).inService()) {
                    double equal = 1.0 / open;
                    double share = plan.shares().get(range).get(0)[i];
                    // Ties are kept: broken by noise they would always fall the same way.
                    share = Math.abs(share - equal) < EQUAL_TOLERANCE * equal ? equal : share;
                    shares.put(
                            problem.nodes().get(holders.get(i)).name(), Math.max(Math.min(shareLeast, equal), share));
                }
            }
            byRange.put(range, shares);
        }
        return new RangeShares(byRange);
    }
}
