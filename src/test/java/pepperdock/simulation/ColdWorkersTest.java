package pepperdock.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The operators' bound on what a cold worker gets from all instances together; the measured form has some hundred seeds. */
class ColdWorkersTest {

    private static final int SEEDS = 3;

    private static double worst(ColdDay day) {
        double worst = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            worst = Math.max(worst, ColdFleet.play(day, seed).worst());
        }
        return worst;
    }

    private static void staysWithin(ColdDay day) {
        double worst = worst(day);
        assertTrue(worst > 0 && worst <= 1, worst + " of the bound: " + day);
    }

    @Test
    void theSumOfTwoTwentyAndThirtyInstancesStaysWithinTheBound() {
        for (int instances : new int[] {2, 20, 30}) {
            staysWithin(ColdDay.single(instances, 1));
            staysWithin(ColdDay.single(instances, 1).traffic(1.2, 1.9));
            staysWithin(ColdDay.single(instances, 1).traffic(0.05, 20));
        }
        staysWithin(ColdDay.ledger(30, 2));
    }

    @Test
    void soItDoesWithInstancesToldLateReplacedOrLost() {
        for (ColdDay day : List.of(ColdDay.single(20, 1), ColdDay.single(30, 1))) {
            staysWithin(day.trouble(10, 0, 0));
            staysWithin(day.trouble(2, 0.7, 0));
            staysWithin(day.trouble(2, 0, 0.7));
        }
    }

    @Test
    void soItDoesInAFloodOfLargeQueries() {
        for (int instances : new int[] {2, 20, 30}) {
            staysWithin(flood(instances));
        }
    }

    /** One estimate for all classes followed the lightest, and took ten heavy parts for ten light ones. */
    @Test
    void soItDoesWhereSomePartsAreTenTimesAsHeavyAsTheRest() {
        for (int seed = 0; seed < 10; seed++) {
            double worst =
                    ColdFleet.play(ColdDay.mixed(2, 1).traffic(0.05, 20), seed).worst();
            assertTrue(worst > 0 && worst <= 1, worst + " of the bound, seed " + seed);
        }
    }

    /** The check itself: what breaks the bound is found out. */
    @Test
    void instancesThatReckonThatTheyAreAloneBreakTheBound() {
        breaks(flood(20).with(ColdFleet.Fault.ALONE));
        breaks(flood(30).with(ColdFleet.Fault.ALONE));
    }

    @Test
    void instancesThatHearOfNoStartTimesBreakTheBound() {
        for (int instances : new int[] {2, 20, 30}) {
            breaks(flood(instances).with(ColdFleet.Fault.UNDATED));
        }
    }

    /** More than the instances' own ceilings keep from cold workers without the rule. */
    private static ColdDay flood(int instances) {
        return ColdDay.ledger(instances, 1).traffic(0.8, 25);
    }

    private static void breaks(ColdDay day) {
        double worst = worst(day);
        assertTrue(worst > 1, worst + " of the bound: " + day);
    }

    @Test
    void theSameSeedIsTheSameDay() {
        assertEquals(ColdFleet.play(ColdDay.single(20, 1), 5), ColdFleet.play(ColdDay.single(20, 1), 5));
    }
}
