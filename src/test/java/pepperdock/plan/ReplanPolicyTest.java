package pepperdock.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pepperdock.plan.ReplanPolicy.Job;
import pepperdock.plan.ReplanPolicy.Member;
import pepperdock.plan.ReplanPolicy.RangeShares;

class ReplanPolicyTest {

    private static final int NODES = 4;
    private static final double LEAST = 0.1;
    private final ReplanPolicy upkeep = new ReplanPolicy(new ReplanPolicy.ReplicaRing(12, NODES, 2), 5, 0.15, LEAST);

    private static List<Member> nodes(int... draining) {
        return IntStream.range(0, NODES)
                .mapToObj(n -> new Member("n" + n, n, IntStream.of(draining).noneMatch(d -> d == n)))
                .toList();
    }

    /** Each node serves so many parts; n1 takes {@code factor} times the common time. */
    private void heard(int parts, double factor) {
        for (int i = 0; i < parts; i++) {
            for (int n = 0; n < NODES; n++) {
                upkeep.onPartServed("n" + n, (n + NODES * (i % 3)) % 12, n == 1 ? 0.1 * factor : 0.1);
            }
        }
    }

    private RangeShares plan(double now) {
        Job job = upkeep.nextJob(now);
        assertNotNull(job);
        return upkeep.onPlan(job, Planner.plan(job.problem()));
    }

    @Test
    void aListIsPlannedForAtOnceAndOnlyOnce() {
        assertNull(upkeep.nextJob(0), "no list yet");
        upkeep.onEndpointList(nodes());
        assertNotNull(plan(0));
        assertNull(upkeep.nextJob(0.1));
        upkeep.onEndpointList(nodes());
        assertNull(upkeep.nextJob(0.2), "the same list again is no news");
        upkeep.onEndpointList(nodes(2));
        RangeShares drained = plan(0.3);
        assertEquals(1, drained.of(1, "n1"), 1e-9, "range 1: its other holder drains");
        assertEquals(1.0 / 3, drained.of(0, "n1"), 1e-6, "so that three nodes have four ranges' work each");
    }

    /** The endpoint list changes while a plan is being solved. The plan is dropped, and a new one made. */
    @Test
    void aPlanThatComesLateForItsListIsThrownAway() {
        upkeep.onEndpointList(nodes());
        Job job = upkeep.nextJob(0);
        assertNull(upkeep.nextJob(0.1), "one at a time");
        upkeep.onEndpointList(nodes(2));
        assertNull(upkeep.onPlan(job, Planner.plan(job.problem())));
        assertEquals(1, plan(0.2).of(1, "n1"), 1e-9);
    }

    @Test
    void smallNoiseChangesNothingAndASlowNodeGetsLess() {
        upkeep.onEndpointList(nodes());
        plan(0);
        heard(100, 1.08);
        assertNull(upkeep.nextJob(6), "8 % slower is within the least change");
        heard(200, 1.6);
        RangeShares shares = plan(12);
        assertTrue(shares.of(0, "n1") + shares.of(1, "n1") < 0.95, "alike, n1 had a whole range's work: " + shares);
        assertNull(upkeep.nextJob(12.1));
    }

    /** A factor that proves wrong: however slow a node is thought, it keeps its least share, and is believed again. */
    @Test
    void aWrongFactorNeitherStarvesNorFloodsAndFades() {
        upkeep.onEndpointList(nodes());
        plan(0);
        heard(300, 1000);
        RangeShares shares = plan(6);
        for (int r = 0; r < 12; r++) {
            assertTrue(r % NODES > 1 || shares.of(r, "n1") >= LEAST, "range " + r);
        }
        Job wrong = null;
        for (double now = 12; now < 500 && wrong == null; now += 6) {
            wrong = upkeep.nextJob(now);
            if (wrong != null) {
                assertTrue(wrong.problem().nodes().get(1).capacity() >= 500_000_000L);
            }
        }
        assertNotNull(wrong, "with nothing heard of it any more the node is thought common again");
        assertTrue(wrong.problem().nodes().get(1).capacity() > 500_000_000L);
    }

    /** All replicas of one range drain. The other ranges are still planned for. */
    @Test
    void withAllHoldersOfARangeAwayTheOthersAreStillPlannedFor() {
        upkeep.onEndpointList(nodes(1, 2));
        RangeShares shares = plan(0);
        assertEquals(1, shares.of(0, "n0"), 1e-9);
        assertEquals(1.0, shares.of(1, "n1"), "nobody named: as if alike");
        assertNull(upkeep.nextJob(0.1));
    }

    @Test
    void withoutAPlanSharesAreEqualAndNodesThatLeaveAreForgotten() {
        upkeep.onEndpointList(nodes());
        Job job = upkeep.nextJob(0);
        assertEquals(RangeShares.EQUAL, upkeep.onPlan(job, null));
        heard(100, 1.5);
        upkeep.onEndpointList(List.of(new Member("n0", 0, true)));
        upkeep.onPartServed("n1", 0, 9);
        assertEquals(1, upkeep.nextJob(0.1).problem().nodes().size());
    }
}
