package pepperdock.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pepperdock.config.PlanConfig;
import pepperdock.core.ManualClock;
import pepperdock.scheduler.AttemptOutcome;

/** Checks that simulated days are reproducible, and the model of a worker node. */
class SimulatedFleetTest {

    private static final double[] MIXED = {0.7, 1.1};

    private static SimulatedFleet.Day day(long seed, PlanConfig plan) {
        return new SimulatedFleet.Day(6, 2, 0.6, MIXED, 0, 1, 25, seed, plan);
    }

    @Test
    void sameSeedGivesSameDayAndAnotherSeedDoesNot() {
        SimulatedFleet.Result result = SimulatedFleet.play(day(3, new PlanConfig(5, 0.15, 0.1)));
        assertEquals(result, SimulatedFleet.play(day(3, new PlanConfig(5, 0.15, 0.1))));
        assertTrue(!result.equals(SimulatedFleet.play(day(4, new PlanConfig(5, 0.15, 0.1)))));
        assertTrue(result.queries() > 20 && result.service() > 0.5, result.toString());
    }

    /**
     * The decisions of one arm must not shift the queries that the other receives: otherwise pairs with equal seeds
     * would compare different days.
     */
    @Test
    void bothArmsReceiveTheSameQueries() {
        assertEquals(
                SimulatedFleet.play(day(5, null)).queries(),
                SimulatedFleet.play(day(5, new PlanConfig(5, 0.15, 0.1))).queries());
    }

    private final ManualClock clock = new ManualClock(0);
    private final List<String> outcomes = new ArrayList<>();

    private WorkerNode node(int queueCapacity, int connections) {
        return new WorkerNode("n", new WorkerNode.Kind(1, 1, queueCapacity, 0.1, 0.05, connections, 10, 0.5, 4), clock);
    }

    private void call(WorkerNode node, int gatherer, double partsS) {
        node.call(gatherer, partsS, o -> outcomes.add(String.format(java.util.Locale.ROOT, "%s %.3f", o, clock.now())));
    }

    @Test
    void callAndNewConnectionCostTimeBesidesTheParts() {
        WorkerNode node = node(5, 5);
        call(node, 0, 0.2);
        call(node, 0, 0.2);
        clock.advance(20);
        assertEquals(List.of("OK 0.350", "OK 0.650"), outcomes);
        call(node, 0, 0.2);
        clock.advance(1);
        assertEquals("OK 20.350", outcomes.get(2), "the connection had been closed as idle");
        assertEquals(1.0, node.coreSeconds(), 1e-9);
    }

    @Test
    void fullQueueAndConnectionLimitRejectCalls() {
        WorkerNode node = node(1, 2);
        call(node, 0, 1);
        call(node, 1, 1);
        call(node, 0, 1);
        call(node, 2, 1);
        assertEquals(List.of(AttemptOutcome.OVERLOADED + " 0.000", AttemptOutcome.CONNECT_FAILED + " 0.000"), outcomes);
    }

    @Test
    void slowPausedAndColdPhasesTakeLonger() {
        WorkerNode node = node(5, 5);
        call(node, 0, 0.05);
        clock.advance(1);
        node.slow(2);
        call(node, 0, 0.1);
        clock.advance(1);
        node.slow(1);
        node.pause(0.5);
        call(node, 0, 0.1);
        clock.advance(1);
        node.restart();
        call(node, 0, 0.05);
        clock.advance(1);
        assertEquals(List.of("OK 0.200", "OK 1.400", "OK 2.700", "OK 3.400"), outcomes);
    }
}
