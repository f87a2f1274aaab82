package pepperdock.plan.background;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pepperdock.plan.Planner;
import pepperdock.plan.Problem;

/** What operators read. Guards against "new plan" over a fleet that none was found for. */
class PlannerThreadTest {

    /** A ring of nodes, each range held by two in a row; those named are out of service. */
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

    private static String outcome(Problem p) {
        return PlannerThread.outcome(p, Planner.plan(p));
    }

    @Test
    void aPlanIsToldAsOne() {
        assertEquals("new plan for 4 nodes", outcome(ring(4, 1_000_000, 500_000)));
    }

    /** No replica of a range is in service. The log names the range. */
    @Test
    void aRangeWithoutAHolderInServiceIsNamed() {
        assertEquals(
                "no plan for 4 nodes, shares are equal: range 1: no holder in service",
                outcome(ring(4, 1_000_000, 100_000, 1, 2)));
    }

    @Test
    void tooMuchWorkIsNamedWithTheNodesAndLongListsAreCut() {
        assertEquals(
                "no plan for 2 nodes, shares are equal: ranges 0, 1: more work than n0, n1 can do",
                outcome(ring(2, 1_000_000, 1_100_000)));
        assertEquals(
                "no plan for 20 nodes, shares are equal: ranges 0, 1, 2, 3, 4, 5, 6, 7 and 12 more: more work than "
                        + "n0, n1, n2, n3, n4, n5, n6, n7 and 12 more can do",
                outcome(ring(20, 1_000_000, 1_010_000)));
    }

    /** The solver fails. The log must not look as if there were a plan. */
    @Test
    void aFailureOfTheSolverIsNoPlan() {
        assertEquals(
                "no plan for 3 nodes, shares are equal: solving failed", PlannerThread.outcome(ring(3, 1, 1), null));
    }
}
