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
    private static final double LEAST_SHARE = 0.1;
    private final ReplanPolicy policy =
            new ReplanPolicy(new ReplanPolicy.ReplicaRing(12, NODES, 2), 5, 0.15, LEAST_SHARE);

    private static List<Member> nodes(int... draining) {
        return IntStream.range(0, NODES)
                .mapToObj(n -> new Member("n" + n, n, IntStream.of(draining).noneMatch(d -> d == n)))
                .toList();
    }

    /** Reports {@code parts} parts served by each node; n1 takes {@code factor} times as long as the other nodes. */
    private void servePartsOnEachNode(int parts, double factor) {
        for (int i = 0; i < parts; i++) {
            for (int n = 0; n < NODES; n++) {
                policy.onPartServed("n" + n, (n + NODES * (i % 3)) % 12, n == 1 ? 0.1 * factor : 0.1);
            }
        }
    }

    private RangeShares plan(double now) {
        Job job = policy.nextJob(now);
        assertNotNull(job);
        return policy.onPlan(job, Planner.plan(job.problem()));
    }

    @Test
    void endpointListIsPlannedForAtOnceAndOnlyOnce() {
        assertNull(policy.nextJob(0), "no list yet");
        policy.onEndpointList(nodes());
        assertNotNull(plan(0));
        assertNull(policy.nextJob(0.1));
        policy.onEndpointList(nodes());
        assertNull(policy.nextJob(0.2), "the same list again needs no new plan");
        policy.onEndpointList(nodes(2));
        RangeShares drained = plan(0.3);
        assertEquals(1, drained.of(1, "n1"), 1e-9, "range 1: its other replica drains");
        assertEquals(1.0 / 3, drained.of(0, "n1"), 1e-6, "each of the three nodes has the work of four ranges");
    }

    /** The endpoint list changes while a plan is being solved. The plan is discarded, and a new one is computed. */
    @Test
    void planForAnOutdatedListIsDiscarded() {
        policy.onEndpointList(nodes());
        Job job = policy.nextJob(0);
        assertNull(policy.nextJob(0.1), "one job at a time");
        policy.onEndpointList(nodes(2));
        assertNull(policy.onPlan(job, Planner.plan(job.problem())));
        assertEquals(1, plan(0.2).of(1, "n1"), 1e-9);
    }

    @Test
    void smallNoiseMakesNoNewPlanAndASlowNodeGetsLess() {
        policy.onEndpointList(nodes());
        plan(0);
        servePartsOnEachNode(100, 1.08);
        assertNull(policy.nextJob(6), "8 % slower is within the least change");
        servePartsOnEachNode(200, 1.6);
        RangeShares shares = plan(12);
        assertTrue(
                shares.of(0, "n1") + shares.of(1, "n1") < 0.95,
                "with equal shares n1 would have the work of a whole range: " + shares);
        assertNull(policy.nextJob(12.1));
    }

    /** A measured speed turns out to be wrong. The node keeps its minimum share, and its speed decays to the median. */
    @Test
    void wrongSpeedLeavesTheMinimumShareAndDecays() {
        policy.onEndpointList(nodes());
        plan(0);
        servePartsOnEachNode(300, 1000);
        RangeShares shares = plan(6);
        for (int r = 0; r < 12; r++) {
            assertTrue(r % NODES > 1 || shares.of(r, "n1") >= LEAST_SHARE, "range " + r);
        }
        Job laterJob = null;
        for (double now = 12; now < 500 && laterJob == null; now += 6) {
            laterJob = policy.nextJob(now);
            if (laterJob != null) {
                assertTrue(laterJob.problem().nodes().get(1).capacity() >= 500_000_000L);
            }
        }
        assertNotNull(laterJob, "without further parts, the speed of the node decays to the median");
        assertTrue(laterJob.problem().nodes().get(1).capacity() > 500_000_000L);
    }

    /** All replicas of one range drain. The other ranges still get planned shares. */
    @Test
    void otherRangesArePlannedWhenAllReplicasOfOneDrain() {
        policy.onEndpointList(nodes(1, 2));
        RangeShares shares = plan(0);
        assertEquals(1, shares.of(0, "n0"), 1e-9);
        assertEquals(1.0, shares.of(1, "n1"), "no node of the range has an entry: equal weights");
        assertNull(policy.nextJob(0.1));
    }

    @Test
    void sharesAreEqualWithoutAPlanAndRemovedNodesAreForgotten() {
        policy.onEndpointList(nodes());
        Job job = policy.nextJob(0);
        assertEquals(RangeShares.EQUAL, policy.onPlan(job, null));
        servePartsOnEachNode(100, 1.5);
        policy.onEndpointList(List.of(new Member("n0", 0, true)));
        policy.onPartServed("n1", 0, 9);
        assertEquals(1, policy.nextJob(0.1).problem().nodes().size());
    }
}
