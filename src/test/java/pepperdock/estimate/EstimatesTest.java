package pepperdock.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EstimatesTest {

    @Test
    void tokenBucketGivesItsRateAndAtMostItsCapacityAtOnce() {
        TokenBucket bucket = new TokenBucket();
        int taken = 0;
        for (int i = 0; i < 10; i++) {
            taken += bucket.take(100, 2, 3) ? 1 : 0;
        }
        assertEquals(3, taken);
        assertFalse(bucket.take(100.4, 2, 3));
        assertTrue(bucket.take(100.5, 2, 3));
    }

    @Test
    void retriesAreAShareOfFirstAttemptsAndFreeAfterAFailureResponse() {
        RetryBudget budget = new RetryBudget(new RetryBudget.WindowBudget(0, 0, 0));
        int made = 0;
        while (budget.allows(1, false)) {
            budget.onRetry(1, false);
            made++;
        }
        assertEquals(10, made);
        assertTrue(budget.allows(1, true));
        for (int i = 0; i < 7; i++) {
            budget.onFirstAttempt(1);
        }
        assertTrue(budget.allows(1, false));
    }

    @Test
    void windowBudgetLimitsRetriesOverItsWindow() {
        RetryBudget budget = new RetryBudget(new RetryBudget.WindowBudget(10, 2, 0.1));
        for (int i = 0; i < 10; i++) {
            budget.onArrival(5);
        }
        budget.onRetry(5, true);
        budget.onRetry(5, true);
        assertFalse(budget.allows(6, true));
        assertTrue(budget.allows(15.1, true));
    }

    @Test
    void lowerQuartileStaysWhileThreeQuartersOfTheAnswersAreSlow() {
        ServiceTime time = new ServiceTime(0.1);
        PartWork work = new PartWork(1, 0.1);
        for (int i = 0; i < 4000; i++) {
            time.add(i % 4 == 0 ? 0.09 : 5, 4);
            work.ofClass(0).add(i % 4 == 0 ? 0.09 : 5);
        }
        assertTrue(time.lowerQuartileS() < 0.2, "lower quartile, expected below 0.2 s: " + time.lowerQuartileS());
        assertTrue(time.meanS() > 3, "mean, expected above 3 s: " + time.meanS());
        double workS = work.ofClass(0).workS();
        assertTrue(workS < 1, "estimated work, expected below 1 s: " + workS);
    }

    @Test
    void workIsEstimatedForEachClassByItself() {
        PartWork work = new PartWork(2, 0.1);
        for (int i = 0; i < 4000; i++) {
            work.ofClass(i % 10 == 0 ? 1 : 0).add(i % 10 == 0 ? 0.15 : 0.015);
        }
        assertEquals(0.015, work.ofClass(0).workS(), 1e-3);
        assertEquals(0.15, work.ofClass(1).workS(), 1e-2);
        assertEquals(0.0285, work.meanS(), 0.01);
        assertEquals(work.ofClass(0).workS(), work.minS());
        assertEquals(work.ofClass(1).workS(), work.maxS());
    }

    @Test
    void warmUpAllowanceEarnsAtItsRisingRateAndMayBeOverdrawnByOnePart() {
        WarmUpAllowance allowance = new WarmUpAllowance(10, 0.1, 0.05);
        assertFalse(allowance.allows(10, 0.1, 0));
        // The rate rises from 0.1 to 0.3 per second over half a second, which earns 0.1 in total.
        assertTrue(allowance.allows(10.5, 0.3, 0));
        allowance.onSend(0.3);
        assertFalse(allowance.allows(10.5, 0.3, 0));
        assertFalse(allowance.allows(11.4, 0.3, 0));
        assertTrue(allowance.allows(11.6, 0.3, 0));
        // No more than the limit is saved up, however long nothing is sent.
        assertTrue(allowance.allows(100, 0.3, 0.2));
        allowance.onSend(0.2);
        assertTrue(allowance.allows(100, 0.3, 0.2));
        allowance.onSend(0.2);
        assertFalse(allowance.allows(100, 0.3, 0.2));
    }

    @Test
    void decayingCountLosesAFactorOfEPerTimeConstant() {
        DecayingCount count = new DecayingCount();
        count.add(3, 10, 2);
        assertEquals(3 / Math.E, count.at(12, 2), 1e-9);
        assertEquals(10, count.updatedAt());
    }

    @Test
    void idleLimitIsHalfOfTheIdleTimeThatWasDroppedAndExpires() {
        IdleLimit limit = new IdleLimit();
        limit.recordCall(8, true, 100, 1);
        assertEquals(Double.POSITIVE_INFINITY, limit.limitS(100, 1));
        limit.recordCall(8, true, 100, 1);
        assertEquals(4, limit.limitS(100, 1));
        assertEquals(Double.POSITIVE_INFINITY, limit.limitS(121, 1));
        limit.recordCall(6, true, 121, 1);
        limit.recordCall(6, true, 121, 1);
        limit.reset();
        assertEquals(Double.POSITIVE_INFINITY, limit.limitS(121, 1));
    }
}
