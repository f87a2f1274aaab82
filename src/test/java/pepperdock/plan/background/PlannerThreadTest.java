package pepperdock.plan.background;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pepperdock.plan.Planner;
import pepperdock.plan.Problem;

/** Checks the log lines of the planner. Guards against a line "new plan" for a fleet that has none. */
class PlannerThreadTest {

    /**
     * Returns a ring of nodes where two adjacent nodes hold each range; the nodes in {@code away} are out of service.
     */
    private static Problem ring(int nodes, long capacity, long work, Integer... away) {
        return new Problem(
                List.of("z"),
                new double[][] {{0}},
                new long[] {1},
                IntStream.range(0, nodes)
                        .mapToObj(n -> new Problem.Node(
                                "n" + n, 0, capacity, !List.of(away).contains(n)))
                        .toList(),
                IntStream.range(0, nodes)
                        .mapToObj(r -> new Problem.Range(r, work, List.of(r, (r + 1) % nodes)))
                        .toList(),
                false);
    }

    private static String outcomeOf(Problem problem) {
        return PlannerThread.outcomeLine(problem, Planner.plan(problem));
    }

    @Test
    void newPlanIsLoggedAsNewPlan() {
        assertEquals("new plan for 4 nodes", outcomeOf(ring(4, 1_000_000, 500_000)));
    }

    /** No replica of a range is in service. The log names the range. */
    @Test
    void rangeWithoutReplicaInServiceIsNamed() {
        assertEquals(
                "no plan for 4 nodes, shares are equal: range 1: no replica in service",
                outcomeOf(ring(4, 1_000_000, 100_000, 1, 2)));
    }

    @Test
    void excessiveWorkIsNamedWithItsNodesAndLongListsAreTruncated() {
        assertEquals(
                "no plan for 2 nodes, shares are equal: ranges 0, 1: more work than the capacity of n0, n1 allows",
                outcomeOf(ring(2, 1_000_000, 1_100_000)));
        assertEquals(
                "no plan for 20 nodes, shares are equal: ranges 0, 1, 2, 3, 4, 5, 6, 7 and 12 more: more work than the "
                        + "capacity of n0, n1, n2, n3, n4, n5, n6, n7 and 12 more allows",
                outcomeOf(ring(20, 1_000_000, 1_010_000)));
    }

    /** The solver fails. The log line must not announce a plan. */
    @Test
    void solverFailureIsLoggedAsNoPlan() {
        assertEquals(
                "no plan for 3 nodes, shares are equal: solving failed",
                PlannerThread.outcomeLine(ring(3, 1, 1), null));
    }
}
