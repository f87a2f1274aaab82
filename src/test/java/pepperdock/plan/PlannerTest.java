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

/** Random small fleets against brute force, exactly; and the hard cases by hand. */
class PlannerTest {

    private static final double NEAR = 1e-6;

    private static Problem random(Random random, double load) {
        int zones = 1 + random.nextInt(2);
        double[][] crossing = new double[zones][zones];
        for (double[] row : crossing) {
            for (int to = 0; to < zones; to++) {
                row[to] = random.nextInt(4) == 0 ? Double.POSITIVE_INFINITY : random.nextInt(3);
            }
        }
        long[] rates = random.longs(zones, 0, 4).toArray();
        rates[0]++;
        List<Problem.Node> nodes = new ArrayList<>();
        int count = 1 + random.nextInt(8);
        for (int n = 0; n < count; n++) {
            nodes.add(new Problem.Node(
                    "n" + n,
                    random.nextInt(zones),
                    random.nextInt(10) == 0 ? 0 : 1 + random.nextInt(30),
                    random.nextInt(8) > 0));
        }
        List<Problem.Range> ranges = new ArrayList<>();
        for (int r = 0; r < 1 + random.nextInt(3 * count); r++) {
            List<Integer> all =
                    new ArrayList<>(IntStream.range(0, count).boxed().toList());
            Collections.shuffle(all, random);
            ranges.add(new Problem.Range(
                    r,
                    random.nextInt(6) == 0 ? 0 : (long) (random.nextInt(20) * load),
                    all.subList(0, 1 + random.nextInt(Math.min(3, count)))));
        }
        return new Problem(
                IntStream.range(0, zones).mapToObj(z -> "z" + z).toList(), crossing, rates, nodes, ranges, false);
    }

    private static List<Conflict.Work> all(Problem p) {
        return IntStream.range(0, p.ranges().size())
                .boxed()
                .flatMap(r -> IntStream.range(0, p.zones().size()).mapToObj(z -> new Conflict.Work(r, z)))
                .toList();
    }

    private static void sharesKeepTheLoads(Problem p, Plan plan) {
        double[] load = new double[p.nodes().size()];
        double rates = java.util.Arrays.stream(p.rates()).sum();
        for (int r = 0; r < p.ranges().size(); r++) {
            for (int z = 0; z < p.zones().size(); z++) {
                double sum = 0;
                for (int i = 0; i < p.ranges().get(r).holders().size(); i++) {
                    int node = p.ranges().get(r).holders().get(i);
                    double share = plan.shares().get(r).get(z)[i];
                    assertTrue(
                            share >= 0 && (share == 0 || p.mayServe(z, node)),
                            "a share for a node that may not have one");
                    sum += share;
                    load[node] += share * p.ranges().get(r).work() * p.rates()[z] / rates;
                }
                boolean open = false;
                for (int n : p.ranges().get(r).holders()) {
                    open |= p.mayServe(z, n);
                }
                assertEquals(open ? 1 : 0, sum, NEAR);
            }
        }
        for (int n = 0; n < load.length; n++) {
            if (plan.utilisation().get(n) != null && p.nodes().get(n).capacity() > 0) {
                double used = plan.utilisation().get(n).value();
                assertEquals(
                        used, load[n] / p.nodes().get(n).capacity(), NEAR * (1 + used), "utilisation of node " + n);
            }
        }
    }

    @Test
    void equalsBruteForceExactlyAndConflictsAreSmallest() {
        Random random = new Random(20261201);
        int solved = 0;
        int conflicts = 0;
        for (int i = 0; i < 3000; i++) {
            Problem p = random(random, i % 2 == 0 ? 1 : 0.4);
            Ratio brute = BruteForce.greatest(p, all(p), -1);
            Plan plan = Planner.plan(p);
            if (brute != null && !brute.aboveOne()) {
                assertTrue(plan.solved(), "case " + i + ": a plan exists, at " + brute);
                assertEquals(brute, plan.greatest(), "case " + i);
                sharesKeepTheLoads(p, plan);
                solved++;
            } else {
                assertFalse(plan.solved(), "case " + i + ": no plan exists");
                smallest(p, plan.conflict(), "case " + i);
                conflicts++;
            }
        }
        assertTrue(solved > 600 && conflicts > 600, solved + " solved, " + conflicts + " without a solution");
    }

    private static boolean holds(Ratio greatest) {
        return greatest != null && !greatest.aboveOne();
    }

    private static void smallest(Problem p, Conflict c, String about) {
        assertFalse(holds(BruteForce.greatest(p, c.work(), -1)), about);
        for (Conflict.Work w : c.work()) {
            List<Conflict.Work> less =
                    c.work().stream().filter(x -> !x.equals(w)).toList();
            assertTrue(holds(BruteForce.greatest(p, less, -1)), about + " without " + w);
        }
        for (int n : c.nodes()) {
            assertTrue(holds(BruteForce.greatest(p, c.work(), n)), about + " with node " + n + " unbounded");
        }
        assertEquals(c.need() == null, c.nodes().isEmpty());
        assertTrue(c.need() == null || c.need().aboveOne(), about);
    }

    private static final double[][] ONE = {{0}};

    private static Problem ring(boolean spare, long[] capacity, boolean[] in, long... work) {
        List<Problem.Node> nodes = new ArrayList<>();
        List<Problem.Range> ranges = new ArrayList<>();
        for (int n = 0; n < capacity.length; n++) {
            nodes.add(new Problem.Node("n" + n, 0, capacity[n], in[n]));
        }
        for (int r = 0; r < work.length; r++) {
            ranges.add(new Problem.Range(r, work[r], List.of(r % capacity.length, (r + 1) % capacity.length)));
        }
        return new Problem(List.of("room"), ONE, new long[] {1}, nodes, ranges, spare);
    }

    private static final boolean[] ALL_IN = {true, true, true, true};

    /** A slow node whose partner drains keeps the range that only it can serve; its other range moves over. */
    @Test
    void aSlowNodeWhosePartnerDrainsGivesAwayWhatOthersHoldToo() {
        Plan plan = Planner.plan(
                ring(false, new long[] {100, 50, 100, 100}, new boolean[] {true, true, false, true}, 10, 30, 30, 10));
        assertTrue(plan.solved());
        assertEquals(1, plan.shares().get(1).get(0)[0], NEAR, "range 1: its other holder drains");
        assertEquals(1, plan.shares().get(0).get(0)[0], NEAR, "range 0 goes to its other holder");
        assertEquals(0.6, plan.greatest().value(), NEAR);
    }

    /** The second level is as low as it can be too, not only the greatest. */
    @Test
    void belowTheFullestNodeTheOthersAreEvenedOutToo() {
        Plan plan = Planner.plan(
                ring(false, new long[] {10, 100, 100, 100}, new boolean[] {true, true, true, true}, 0, 60, 60, 0));
        assertEquals(new Ratio(java.math.BigInteger.valueOf(2), java.math.BigInteger.valueOf(5)), plan.greatest());
        assertEquals(Ratio.ZERO, plan.utilisation().get(0));
    }

    @Test
    void aRangeWhoseHoldersAllDrainIsNamed() {
        Conflict c = Planner.plan(
                        ring(false, new long[] {9, 9, 9, 9}, new boolean[] {true, false, false, true}, 1, 1, 1))
                .conflict();
        assertEquals(List.of(new Conflict.Work(1, 0)), c.work());
        assertEquals(List.of(), c.nodes());
    }

    @Test
    void withAnyOneNodeAwayCapacityMustSufficeWhereAsked() {
        long[] capacity = {100, 100, 100, 100};
        assertTrue(Planner.plan(ring(false, capacity, ALL_IN, 80, 80, 80, 80)).solved());
        Conflict c = Planner.plan(ring(true, capacity, ALL_IN, 80, 80, 80, 80)).conflict();
        assertNotNull(c);
        assertEquals("n0", c.away());
        assertTrue(Planner.plan(ring(true, capacity, ALL_IN, 50, 50, 50, 50)).solved());
    }

    @Test
    void amongSpreadsOfTheSameLoadsTheOneOfFewestCrossingsIsTaken() {
        double[][] crossing = {{0, 1}, {1, 0}};
        List<Problem.Node> nodes = List.of(new Problem.Node("a", 0, 100, true), new Problem.Node("b", 1, 100, true));
        List<Problem.Range> ranges =
                List.of(new Problem.Range(0, 40, List.of(0, 1)), new Problem.Range(1, 40, List.of(0, 1)));
        Plan plan =
                Planner.plan(new Problem(List.of("east", "west"), crossing, new long[] {1, 1}, nodes, ranges, false));
        assertEquals(0, plan.crossings(), NEAR);
        assertEquals(1, plan.shares().get(0).get(0)[0], NEAR);
        assertEquals(1, plan.shares().get(0).get(1)[1], NEAR);
        Plan barred = Planner.plan(new Problem(
                List.of("east", "west"),
                new double[][] {{0, 1}, {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY}},
                new long[] {1, 1},
                nodes,
                ranges,
                false));
        assertEquals(List.of(new Conflict.Work(0, 1)), barred.conflict().work());
    }

    @Test
    void nothingToDoIsSharedAlike() {
        Plan plan = Planner.plan(ring(false, new long[] {5, 7, 0, 9}, ALL_IN, 0, 0, 0, 0));
        assertEquals(Ratio.ZERO, plan.greatest());
        assertEquals(0.5, plan.shares().get(0).get(0)[1]);
        assertEquals(1, plan.shares().get(1).get(0)[0], "a node without capacity gets nothing");
    }
}
