package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {

    @Test
    void anUnsafePartThatMayHaveRunIsNotSentAgainAndItsQueryFails() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.effect = RetrySafety.NOT_IDEMPOTENT;
        scene.start("a", "b");
        scene.query(1, 3, 1.0);
        scene.module.endBatch();
        scene.at(100.1);
        scene.end(100, 0, AttemptOutcome.RESET, 0.1);
        scene.module.endBatch();
        scene.sweep(103);
        assertEquals(1, scene.did.sends.size());
        assertEquals(List.of("fail 1"), scene.did.endings(1));
    }

    @Test
    void anUnsafePartThatNeverRanIsSentAgain() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.effect = RetrySafety.NOT_IDEMPOTENT;
        scene.start("a", "b");
        scene.query(1, 3, 1.0);
        scene.module.endBatch();
        scene.at(100.1);
        scene.end(100, 0, AttemptOutcome.CONNECT_FAILED, 0.1);
        scene.module.endBatch();
        assertEquals(2, scene.did.sends.size());
        assertNotEquals(
                scene.did.sends.get(0).searcher(), scene.did.sends.get(1).searcher());
    }

    @Test
    void aKeyedPartIsSentAgainOnlyWhileRepeatsAreRecognised() {
        for (double after : new double[] {0.9, 1.1}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.effect = RetrySafety.IDEMPOTENCY_KEY;
            scene.start("a", "b");
            scene.query(1, 6, 1.0);
            scene.module.endBatch();
            scene.at(100 + after);
            scene.end(100, 0, AttemptOutcome.RESET, after);
            scene.module.endBatch();
            assertEquals(after < 1 ? 2 : 1, scene.did.sends.size());
        }
    }

    @Test
    void attemptsAtAPartStayWithinTheLimit() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.maxAttempts = 3;
        scene.start("a", "b");
        scene.query(1, 6, 1.0);
        scene.module.endBatch();
        for (int i = 0; i < 3; i++) {
            scene.at(scene.now + 0.05);
            scene.end(100, i, AttemptOutcome.ERROR, 0.05);
            scene.module.endBatch();
        }
        assertEquals(3, scene.did.sends.size());
        assertEquals(List.of("refuse 1"), scene.did.endings(1));
    }

    @Test
    void furtherAttemptsStayWithinTheStatedBudget() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.budgetSpanS = 10;
        scene.budgetFree = 2;
        scene.budgetShare = 0.1;
        scene.start("a", "b");
        scene.query(1, 6, SchedulerFixture.equal(29));
        scene.module.endBatch();
        scene.at(100.1);
        for (long part : SchedulerFixture.parts(1, 29)) {
            scene.end(part, 0, AttemptOutcome.ERROR, 0.1);
        }
        scene.module.endBatch();
        scene.sweep(103);
        int further = scene.did.sends.size() - 29;
        assertTrue(further >= 1 && further <= 5, "further attempts: " + further);
    }
}
