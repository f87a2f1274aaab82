package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {

    @Test
    void nonIdempotentPartThatMayHaveExecutedIsNotRetriedAndItsQueryFails() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.retrySafety = RetrySafety.NOT_IDEMPOTENT;
        fixture.start("a", "b");
        fixture.query(1, 3, 1.0);
        fixture.scheduler.endBatch();
        fixture.beginBatch(100.1);
        fixture.endAttempt(100, 0, AttemptOutcome.RESET, 0.1);
        fixture.scheduler.endBatch();
        fixture.sweep(103);
        assertEquals(1, fixture.actions.sends.size());
        assertEquals(List.of("fail 1"), fixture.actions.endings(1));
    }

    @Test
    void nonIdempotentPartThatNeverExecutedIsRetried() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.retrySafety = RetrySafety.NOT_IDEMPOTENT;
        fixture.start("a", "b");
        fixture.query(1, 3, 1.0);
        fixture.scheduler.endBatch();
        fixture.beginBatch(100.1);
        fixture.endAttempt(100, 0, AttemptOutcome.CONNECT_FAILED, 0.1);
        fixture.scheduler.endBatch();
        assertEquals(2, fixture.actions.sends.size());
        assertNotEquals(
                fixture.actions.sends.get(0).endpointId(),
                fixture.actions.sends.get(1).endpointId());
    }

    @Test
    void partWithIdempotencyKeyIsRetriedOnlyWithinItsWindow() {
        for (double after : new double[] {0.9, 1.1}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.retrySafety = RetrySafety.IDEMPOTENCY_KEY;
            fixture.start("a", "b");
            fixture.query(1, 6, 1.0);
            fixture.scheduler.endBatch();
            fixture.beginBatch(100 + after);
            fixture.endAttempt(100, 0, AttemptOutcome.RESET, after);
            fixture.scheduler.endBatch();
            assertEquals(after < 1 ? 2 : 1, fixture.actions.sends.size());
        }
    }

    @Test
    void attemptsStayWithinTheLimit() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.maxAttempts = 3;
        fixture.start("a", "b");
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        for (int i = 0; i < 3; i++) {
            fixture.beginBatch(fixture.now + 0.05);
            fixture.endAttempt(100, i, AttemptOutcome.ERROR, 0.05);
            fixture.scheduler.endBatch();
        }
        assertEquals(3, fixture.actions.sends.size());
        assertEquals(List.of("reject 1"), fixture.actions.endings(1));
    }

    @Test
    void retriesStayWithinTheWindowBudget() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.retryBudgetWindowS = 10;
        fixture.retryBudgetFree = 2;
        fixture.retryBudgetShare = 0.1;
        fixture.start("a", "b");
        fixture.query(1, 6, SchedulerFixture.equalWeights(29));
        fixture.scheduler.endBatch();
        fixture.beginBatch(100.1);
        for (long part : SchedulerFixture.partIds(1, 29)) {
            fixture.endAttempt(part, 0, AttemptOutcome.ERROR, 0.1);
        }
        fixture.scheduler.endBatch();
        fixture.sweep(103);
        int retries = fixture.actions.sends.size() - 29;
        assertTrue(retries >= 1 && retries <= 5, "retries, expected 1 to 5: " + retries);
    }
}
