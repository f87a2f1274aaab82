package pepperdock.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the operators' bound on the parts that a cold worker receives from all instances together. The measurement of
 * this bound uses some hundred seeds.
 */
class ColdWorkersTest {

    private static final int SEEDS = 3;

    private static double worst(ColdStartScenario scenario) {
        double worst = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            worst = Math.max(worst, ColdFleet.play(scenario, seed).worst());
        }
        return worst;
    }

    private static void assertStaysWithinBound(ColdStartScenario scenario) {
        double worst = worst(scenario);
        assertTrue(worst > 0 && worst <= 1, worst + " times the bound: " + scenario);
    }

    @Test
    void partsFromTwoTwentyOrThirtyInstancesStayWithinTheBound() {
        for (int instances : new int[] {2, 20, 30}) {
            assertStaysWithinBound(ColdStartScenario.single(instances, 1));
            assertStaysWithinBound(ColdStartScenario.single(instances, 1).traffic(1.2, 1.9));
            assertStaysWithinBound(ColdStartScenario.single(instances, 1).traffic(0.05, 20));
        }
        assertStaysWithinBound(ColdStartScenario.ledger(30, 2));
    }

    @Test
    void boundHoldsWithInstancesInformedLateReplacedOrLost() {
        for (ColdStartScenario scenario : List.of(ColdStartScenario.single(20, 1), ColdStartScenario.single(30, 1))) {
            assertStaysWithinBound(scenario.trouble(10, 0, 0));
            assertStaysWithinBound(scenario.trouble(2, 0.7, 0));
            assertStaysWithinBound(scenario.trouble(2, 0, 0.7));
        }
    }

    @Test
    void boundHoldsUnderOverloadOfLargeQueries() {
        for (int instances : new int[] {2, 20, 30}) {
            assertStaysWithinBound(overload(instances));
        }
    }

    /** A single estimate for all classes would follow the lightest, and count ten heavy parts as ten light ones. */
    @Test
    void boundHoldsWhereSomePartsAreTenTimesAsHeavy() {
        for (int seed = 0; seed < 10; seed++) {
            double worst = ColdFleet.play(ColdStartScenario.mixed(2, 1).traffic(0.05, 20), seed)
                    .worst();
            assertTrue(worst > 0 && worst <= 1, worst + " times the bound, seed " + seed);
        }
    }

    /** Checks the check itself: a fault that breaks the bound is detected. */
    @Test
    void instancesConfiguredAsTheOnlyOneBreakTheBound() {
        assertBreaksBound(overload(20).with(ColdFleet.Fault.SINGLE_INSTANCE));
        assertBreaksBound(overload(30).with(ColdFleet.Fault.SINGLE_INSTANCE));
    }

    @Test
    void instancesWithoutStartTimesBreakTheBound() {
        for (int instances : new int[] {2, 20, 30}) {
            assertBreaksBound(overload(instances).with(ColdFleet.Fault.NO_START_TIMES));
        }
    }

    /** Returns a scenario whose load exceeds what the instances' own limits keep from cold workers without the rule. */
    private static ColdStartScenario overload(int instances) {
        return ColdStartScenario.ledger(instances, 1).traffic(0.8, 25);
    }

    private static void assertBreaksBound(ColdStartScenario scenario) {
        double worst = worst(scenario);
        assertTrue(worst > 1, worst + " times the bound: " + scenario);
    }

    @Test
    void sameSeedGivesTheSameResult() {
        assertEquals(
                ColdFleet.play(ColdStartScenario.single(20, 1), 5), ColdFleet.play(ColdStartScenario.single(20, 1), 5));
    }
}
