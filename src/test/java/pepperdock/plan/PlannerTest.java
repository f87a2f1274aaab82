package pepperdock.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Compares the planner with brute force on small random fleets, exactly, and checks hard cases built by hand. */
class PlannerTest {

    private static final double TOLERANCE = 1e-6;

    private static Problem randomProblem(Random random, double load) {
        int zones = 1 + random.nextInt(2);
        double[][] crossingCost = new double[zones][zones];
        for (double[] row : crossingCost) {
            for (int to = 0; to < zones; to++) {
                row[to] = random.nextInt(4) == 0 ? Double.POSITIVE_INFINITY : random.nextInt(3);
            }
        }
        long[] rates = random.longs(zones, 0, 4).toArray();
        rates[0]++;
        List<Problem.Node> nodes = new ArrayList<>();
        int nodeCount = 1 + random.nextInt(8);
        for (int n = 0; n < nodeCount; n++) {
            nodes.add(new Problem.Node(
                    "n" + n,
                    random.nextInt(zones),
                    random.nextInt(10) == 0 ? 0 : 1 + random.nextInt(30),
                    random.nextInt(8) > 0));
        }
        List<Problem.Range> ranges = new ArrayList<>();
        for (int r = 0; r < 1 + random.nextInt(3 * nodeCount); r++) {
            List<Integer> shuffledNodes =
                    new ArrayList<>(IntStream.range(0, nodeCount).boxed().toList());
            Collections.shuffle(shuffledNodes, random);
            ranges.add(new Problem.Range(
                    r,
                    random.nextInt(6) == 0 ? 0 : (long) (random.nextInt(20) * load),
                    shuffledNodes.subList(0, 1 + random.nextInt(Math.min(3, nodeCount)))));
        }
        return new Problem(
                IntStream.range(0, zones).mapToObj(z -> "z" + z).toList(), crossingCost, rates, nodes, ranges, false);
    }

    private static List<Conflict.Work> allWork(Problem problem) {
        return IntStream.range(0, problem.ranges().size())
                .boxed()
                .flatMap(r -> IntStream.range(0, problem.zones().size()).mapToObj(z -> new Conflict.Work(r, z)))
                .toList();
    }

    private static void assertSharesMatchUtilisations(Problem problem, Plan plan) {
        double[] load = new double[problem.nodes().size()];
        double totalRate = java.util.Arrays.stream(problem.rates()).sum();
        for (int r = 0; r < problem.ranges().size(); r++) {
            for (int z = 0; z < problem.zones().size(); z++) {
                double sum = 0;
                for (int i = 0; i < problem.ranges().get(r).holders().size(); i++) {
                    int node = problem.ranges().get(r).holders().get(i);
                    double share = plan.shares().get(r).get(z)[i];
                    assertTrue(
                            share >= 0 && (share == 0 || problem.mayServe(z, node)),
                            "a node that may not serve the zone has a share");
                    sum += share;
                    load[node] += share * problem.ranges().get(r).work() * problem.rates()[z] / totalRate;
                }
                boolean servable = false;
                for (int n : problem.ranges().get(r).holders()) {
                    servable |= problem.mayServe(z, n);
                }
                assertEquals(servable ? 1 : 0, sum, TOLERANCE);
            }
        }
        for (int n = 0; n < load.length; n++) {
            if (plan.utilisation().get(n) != null && problem.nodes().get(n).capacity() > 0) {
                double used = plan.utilisation().get(n).value();
                assertEquals(
                        used,
                        load[n] / problem.nodes().get(n).capacity(),
                        TOLERANCE * (1 + used),
                        "utilisation of node " + n);
            }
        }
    }

    @Test
    void equalsBruteForceExactlyAndConflictsAreMinimal() {
        Random random = new Random(20261201);
        int solved = 0;
        int conflicts = 0;
        for (int i = 0; i < 3000; i++) {
            Problem problem = randomProblem(random, i % 2 == 0 ? 1 : 0.4);
            Ratio expected = BruteForce.greatest(problem, allWork(problem), -1);
            Plan plan = Planner.plan(problem);
            if (expected != null && !expected.aboveOne()) {
                assertTrue(plan.solved(), "case " + i + ": a plan exists, at " + expected);
                assertEquals(expected, plan.greatest(), "case " + i);
                assertSharesMatchUtilisations(problem, plan);
                solved++;
            } else {
                assertFalse(plan.solved(), "case " + i + ": no plan exists");
                assertMinimalConflict(problem, plan.conflict(), "case " + i);
                conflicts++;
            }
        }
        assertTrue(solved > 600 && conflicts > 600, solved + " solved, " + conflicts + " without a solution");
    }

    private static boolean isWithinCapacity(Ratio greatest) {
        return greatest != null && !greatest.aboveOne();
    }

    private static void assertMinimalConflict(Problem problem, Conflict conflict, String message) {
        assertFalse(isWithinCapacity(BruteForce.greatest(problem, conflict.work(), -1)), message);
        for (Conflict.Work pieceOfWork : conflict.work()) {
            List<Conflict.Work> others = conflict.work().stream()
                    .filter(other -> !other.equals(pieceOfWork))
                    .toList();
            assertTrue(isWithinCapacity(BruteForce.greatest(problem, others, -1)), message + " without " + pieceOfWork);
        }
        for (int n : conflict.nodes()) {
            assertTrue(
                    isWithinCapacity(BruteForce.greatest(problem, conflict.work(), n)),
                    message + " with node " + n + " unbounded");
        }
        assertEquals(conflict.requiredUtilisation() == null, conflict.nodes().isEmpty());
        assertTrue(
                conflict.requiredUtilisation() == null
                        || conflict.requiredUtilisation().aboveOne(),
                message);
    }

    private static final double[][] SINGLE_ZONE_COST = {{0}};

    private static Problem ring(boolean spareNode, long[] capacity, boolean[] inService, long... work) {
        List<Problem.Node> nodes = new ArrayList<>();
        List<Problem.Range> ranges = new ArrayList<>();
        for (int n = 0; n < capacity.length; n++) {
            nodes.add(new Problem.Node("n" + n, 0, capacity[n], inService[n]));
        }
        for (int r = 0; r < work.length; r++) {
            ranges.add(new Problem.Range(r, work[r], List.of(r % capacity.length, (r + 1) % capacity.length)));
        }
        return new Problem(List.of("room"), SINGLE_ZONE_COST, new long[] {1}, nodes, ranges, spareNode);
    }

    private static final boolean[] ALL_IN_SERVICE = {true, true, true, true};

    /**
     * The partner of a slow node drains. The slow node keeps the range that only it can serve; its other range moves
     * away.
     */
    @Test
    void slowNodeWhosePartnerDrainsGivesAwayItsSharedRange() {
        Plan plan = Planner.plan(
                ring(false, new long[] {100, 50, 100, 100}, new boolean[] {true, true, false, true}, 10, 30, 30, 10));
        assertTrue(plan.solved());
        assertEquals(1, plan.shares().get(1).get(0)[0], TOLERANCE, "range 1: its other replica drains");
        assertEquals(1, plan.shares().get(0).get(0)[0], TOLERANCE, "range 0 goes to its other replica");
        assertEquals(0.6, plan.greatest().value(), TOLERANCE);
    }

    /** Not only the greatest utilisation is least, but also the next one. */
    @Test
    void nodesBelowTheGreatestUtilisationAreBalancedToo() {
        Plan plan = Planner.plan(
                ring(false, new long[] {10, 100, 100, 100}, new boolean[] {true, true, true, true}, 0, 60, 60, 0));
        assertEquals(new Ratio(java.math.BigInteger.valueOf(2), java.math.BigInteger.valueOf(5)), plan.greatest());
        assertEquals(Ratio.ZERO, plan.utilisation().get(0));
    }

    @Test
    void conflictNamesRangeWhoseReplicasAllDrain() {
        Conflict conflict = Planner.plan(
                        ring(false, new long[] {9, 9, 9, 9}, new boolean[] {true, false, false, true}, 1, 1, 1))
                .conflict();
        assertEquals(List.of(new Conflict.Work(1, 0)), conflict.work());
        assertEquals(List.of(), conflict.nodes());
    }

    @Test
    void spareNodeRequiresCapacityWithAnyNodeAway() {
        long[] capacity = {100, 100, 100, 100};
        assertTrue(Planner.plan(ring(false, capacity, ALL_IN_SERVICE, 80, 80, 80, 80))
                .solved());
        Conflict conflict = Planner.plan(ring(true, capacity, ALL_IN_SERVICE, 80, 80, 80, 80))
                .conflict();
        assertNotNull(conflict);
        assertEquals("n0", conflict.away());
        assertTrue(Planner.plan(ring(true, capacity, ALL_IN_SERVICE, 50, 50, 50, 50))
                .solved());
    }

    @Test
    void prefersLeastCrossingCostAmongEqualLoads() {
        double[][] crossingCost = {{0, 1}, {1, 0}};
        List<Problem.Node> nodes = List.of(new Problem.Node("a", 0, 100, true), new Problem.Node("b", 1, 100, true));
        List<Problem.Range> ranges =
                List.of(new Problem.Range(0, 40, List.of(0, 1)), new Problem.Range(1, 40, List.of(0, 1)));
        Plan plan = Planner.plan(
                new Problem(List.of("east", "west"), crossingCost, new long[] {1, 1}, nodes, ranges, false));
        assertEquals(0, plan.crossings(), TOLERANCE);
        assertEquals(1, plan.shares().get(0).get(0)[0], TOLERANCE);
        assertEquals(1, plan.shares().get(0).get(1)[1], TOLERANCE);
        Plan westBarred = Planner.plan(new Problem(
                List.of("east", "west"),
                new double[][] {{0, 1}, {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY}},
                new long[] {1, 1},
                nodes,
                ranges,
                false));
        assertEquals(List.of(new Conflict.Work(0, 1)), westBarred.conflict().work());
    }

    @Test
    void rangesWithoutWorkGetEqualShares() {
        Plan plan = Planner.plan(ring(false, new long[] {5, 7, 0, 9}, ALL_IN_SERVICE, 0, 0, 0, 0));
        assertEquals(Ratio.ZERO, plan.greatest());
        assertEquals(0.5, plan.shares().get(0).get(0)[1]);
        assertEquals(1, plan.shares().get(1).get(0)[0], "a node without capacity gets nothing");
    }
}
