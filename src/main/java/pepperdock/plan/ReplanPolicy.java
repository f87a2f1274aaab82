package pepperdock.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when a running gatherer computes a new plan, for which problem, and whether a computed plan may still be
 * used. Called on the loop's thread only; the problem may be solved on another thread and take any time.
 *
 * <p>A plan depends only on what this gatherer observes: which nodes are in service, how long their parts take compared
 * to the median, and how its parts are distributed over the ranges. Capacities are known only relative to each other,
 * so they are set large enough for any work; only the order of utilisations matters. The effect of measured speeds is
 * bounded in three ways: a node's speed is clamped between {@link #MIN_SPEED} and {@link #MAX_SPEED} times the median;
 * its share of a range never falls below {@code shareLeast}, so that it is still measured, and a wrong speed can
 * neither starve it nor overload its partner beyond that; and its speed decays to the median while it serves no parts.
 */
public final class ReplanPolicy {

    /** Bounds of a node's speed, relative to the median. */
    static final double MIN_SPEED = 0.5;

    static final double MAX_SPEED = 2;
    /**
     * Weight of one part in the exponential mean of a node's part times. Single times vary by half the mean, so such a
     * mean is off by about 3 %, and the worst of a hundred nodes by 10 %. With a larger weight, a large fleet would get
     * a new plan at every check.
     */
    private static final double MEAN_WEIGHT = 1.0 / 128;
    /** Minimum number of parts that a node must have served before its mean time is used. */
    private static final int MIN_PARTS = 32;
    /** Factor by which each check reduces the counts and a node's distance from the median part time. */
    private static final double DECAY = 0.9;
    /** Speeds are rounded to a twentieth, so that the plan does not follow measurement noise. */
    private static final double STEPS_PER_UNIT = 20;
    /** Relative difference from the equal share below which a share is set to the equal share. */
    private static final double EQUAL_TOLERANCE = 0.25;
    /**
     * Number of parts that each range is assumed to have had in addition to those counted, because a few parts say
     * little about how the work is distributed over the ranges.
     */
    private static final double PRIOR_PARTS = 50;

    /** Capacity of a node of median speed, in an arbitrary unit: only its ratio to other capacities matters. */
    private static final long MEDIAN_NODE_CAPACITY = 1_000_000_000L;

    /** A node of the endpoint list; its cell determines which ranges it holds. */
    public record Member(String id, int cell, boolean inService) {}

    /** The replica placement: the cells {@code (range + j) mod cells}, j from 0 to {@code span - 1}, hold a range. */
    public record ReplicaRing(int ranges, int cells, int span) {}

    /** A problem to solve, and the version of the endpoint list that it was built from. */
    public record Job(long version, Problem problem) {}

    /**
     * The shares of each range by node. A node without an entry has the weight 1, as if all shares of the range were
     * equal.
     */
    public record RangeShares(Map<Integer, Map<String, Double>> byRange) {
        /** Equal shares for all replicas of every range. */
        public static final RangeShares EQUAL = new RangeShares(Map.of());

        /** Returns the weight of a node among the replicas of a range. */
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
    /** The listed nodes, sorted by id so that the same state always gives the same problem. */
    private final TreeMap<String, Member> members = new TreeMap<>();
    /** The part times of the listed nodes, by id. */
    private final Map<String, PartTimes> partTimes = new HashMap<>();

    /** The decayed count of parts served, by range. */
    private final double[] partsByRange;

    private long version;
    private long plannedVersion = -1;
    private boolean solving;
    private double nextCheckAt = Double.NEGATIVE_INFINITY;
    private Map<String, Double> plannedSpeeds = Map.of();

    /**
     * Creates a policy that waits for its first endpoint list.
     *
     * @param everyS the interval in seconds between checks of the speeds
     * @param leastChange the smallest relative change of one node's speed that leads to a new plan
     * @param shareLeast the minimum share of a replica in service, or the equal share if that is less
     */
    public ReplanPolicy(ReplicaRing ring, double everyS, double leastChange, double shareLeast) {
        this.ring = ring;
        this.everyS = everyS;
        this.leastChange = leastChange;
        this.shareLeast = shareLeast;
        partsByRange = new double[ring.ranges()];
    }

    /** Replaces the endpoint list. A change makes a plan that is still being solved obsolete. */
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

    /** Records that a node has served a part of a query on a range. */
    public void onPartServed(String node, int range, double spentS) {
        if (members.containsKey(node) && range >= 0 && range < partsByRange.length) {
            PartTimes times = partTimes.computeIfAbsent(node, n -> new PartTimes());
            times.parts++;
            times.meanS += Math.max(MEAN_WEIGHT, 1 / times.parts) * (spentS - times.meanS);
            partsByRange[range]++;
        }
    }

    /**
     * Returns the problem to solve now, or null if there is none. A changed list is planned for at once, changed speeds
     * are checked every {@code everyS} seconds. There is one job at a time.
     */
    public Job nextJob(double now) {
        boolean checkDue = now >= nextCheckAt;
        if (solving || members.isEmpty() || version == plannedVersion && !checkDue) {
            return null;
        }
        if (checkDue) {
            nextCheckAt = now + everyS;
            decay();
        }
        Map<String, Double> speeds = relativeSpeeds();
        if (version == plannedVersion && !haveChanged(speeds)) {
            return null;
        }
        solving = true;
        plannedSpeeds = speeds;
        return new Job(version, buildProblem(speeds));
    }

    /**
     * Accepts the solution of a job. Returns the shares to use from now on, or null if the list has changed in the
     * meantime.
     */
    public RangeShares onPlan(Job job, Plan plan) {
        solving = false;
        if (job.version() != version) {
            return null;
        }
        plannedVersion = version;
        // Solving failed, or some range has no replica in service: equal shares everywhere until the list changes.
        return plan == null || !plan.solved() ? RangeShares.EQUAL : rangeShares(job.problem(), plan);
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

    /** Returns the median of the nodes' mean part times, or 0 while no node has served enough parts. */
    private double medianPartTime() {
        double[] means = partTimes.values().stream()
                .filter(times -> times.parts >= MIN_PARTS)
                .mapToDouble(times -> times.meanS)
                .sorted()
                .toArray();
        return means.length == 0 ? 0 : means[means.length / 2];
    }

    private Map<String, Double> relativeSpeeds() {
        double median = medianPartTime();
        Map<String, Double> speeds = new TreeMap<>();
        members.keySet().forEach(id -> {
            PartTimes times = partTimes.get(id);
            double speed = times == null || median == 0 || times.parts < MIN_PARTS || times.meanS <= 0
                    ? 1
                    : median / times.meanS;
            speeds.put(
                    id, Math.rint(Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed)) * STEPS_PER_UNIT) / STEPS_PER_UNIT);
        });
        return speeds;
    }

    private boolean haveChanged(Map<String, Double> speeds) {
        return speeds.entrySet().stream()
                .anyMatch(e ->
                        Math.abs(e.getValue() / plannedSpeeds.getOrDefault(e.getKey(), 1.0) - 1) >= leastChange - 1e-9);
    }

    private Problem buildProblem(Map<String, Double> speeds) {
        List<Problem.Node> nodes = new ArrayList<>();
        List<List<Integer>> cells = new ArrayList<>();
        for (int cell = 0; cell < ring.cells(); cell++) {
            cells.add(new ArrayList<>());
        }
        for (Member member : members.values()) {
            cells.get(Math.floorMod(member.cell(), ring.cells())).add(nodes.size());
            nodes.add(new Problem.Node(
                    member.id(), 0, Math.round(MEDIAN_NODE_CAPACITY * speeds.get(member.id())), member.inService()));
        }
        double totalParts = Arrays.stream(partsByRange).sum();
        List<Problem.Range> ranges = new ArrayList<>();
        for (int range = 0; range < ring.ranges(); range++) {
            List<Integer> holders = new ArrayList<>();
            for (int j = 0; j < ring.span(); j++) {
                holders.addAll(cells.get((range + j) % ring.cells()));
            }
            boolean anyInService = holders.stream().anyMatch(n -> nodes.get(n).inService());
            // The work of all ranges together is less than the capacity of the slowest node, so that no set of nodes is
            // ever overloaded. A range without a replica in service has no work to share.
            double fraction = (partsByRange[range] + PRIOR_PARTS) / (totalParts + PRIOR_PARTS * ring.ranges());
            ranges.add(new Problem.Range(
                    range,
                    anyInService ? Math.max(1, Math.round(fraction * MEDIAN_NODE_CAPACITY * MIN_SPEED / 2)) : 0,
                    holders));
        }
        return new Problem(List.of("all"), new double[][] {{0}}, new long[] {1}, nodes, ranges, false);
    }

    private RangeShares rangeShares(Problem problem, Plan plan) {
        Map<Integer, Map<String, Double>> byRange = new HashMap<>();
        for (int range = 0; range < problem.ranges().size(); range++) {
            List<Integer> holders = problem.ranges().get(range).holders();
            long inServiceCount = holders.stream()
                    .filter(n -> problem.nodes().get(n).inService())
                    .count();
            Map<String, Double> shares = new HashMap<>();
            for (int i = 0; i < holders.size(); i++) {
                if (problem.nodes().get(holders.get(i)).inService()) {
                    double equal = 1.0 / inServiceCount;
                    double share = plan.shares().get(range).get(0)[i];
                    // Keeps near-equal shares equal: noise would otherwise always break the tie in favour of the same
                    // replica.
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
