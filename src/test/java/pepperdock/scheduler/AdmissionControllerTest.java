package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {

    @Test
    void networkDelayIsNotTakenForAShortRequest() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.query(1, 4.0, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        fixture.beginBatch(100.1);
        fixture.query(2, 3.99, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        double until = fixture.actions.sends.get(4).until();
        assertTrue(until > 101.9, "deadline of the second query's first attempt: " + until);
    }

    @Test
    void shortRequestsAreServedAndNeverQueuedPastTheirDeadline() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.serve(100, 0.1);
        fixture.query(1, 0.6, 1.0);
        fixture.scheduler.endBatch();
        assertEquals(1, fixture.actions.sends.size());
        double start = fixture.now;
        fixture.sweep(start + 0.6);
        assertEquals(List.of("reject 1"), fixture.actions.endings(1));
        SchedulerFixture full = SchedulerFixture.atConcurrencyLimit(1);
        full.query(3, 0.9, SchedulerFixture.equalWeights(8));
        full.scheduler.endBatch();
        full.sweep(full.now + 0.9);
        assertEquals(List.of("reject 3"), full.actions.endings(3), "a queued query ends before its short deadline");
    }

    @Test
    void queryThatWouldWaitPastItsObjectiveIsRejectedAtOnce() {
        SchedulerFixture fixture = SchedulerFixture.atConcurrencyLimit(1);
        for (int i = 3; i < 83; i++) {
            fixture.query(i, 6, SchedulerFixture.equalWeights(8));
        }
        fixture.scheduler.endBatch();
        long rejected = fixture.actions.count("reject");
        assertTrue(rejected > 10 && rejected < 70, "queries rejected at once: " + rejected);
        assertEquals(List.of(), fixture.actions.endings(3), "the first query to wait is queued");
    }
}
