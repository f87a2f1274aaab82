package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class HedgingPolicyTest {

    @Test
    void hedgesOnlyWhereAllowed() {
        for (boolean allowed : new boolean[] {false, true}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.hedging = allowed;
            fixture.start("a", "b");
            fixture.serve(80, 0.1);
            double sent = fixture.now;
            fixture.query(1, 6, 1.0);
            fixture.scheduler.endBatch();
            fixture.sweep(sent + 1.5);
            assertEquals(allowed ? 2 : 1, fixture.actions.sends.size());
            assertEquals(
                    allowed ? 0 : 1,
                    fixture.actions.count("cancel"),
                    "the attempt is cancelled where it may not be hedged");
        }
    }

    @Test
    void overdueAttemptIsNotCancelledWhenARetryWouldBeTooLate() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.serve(200, 0.6);
        double sent = fixture.now;
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        fixture.sweep(sent + 1.3);
        fixture.actions.clear();
        fixture.sweep(sent + 1.9);
        assertEquals(0, fixture.actions.count("cancel"));
    }

    /** Serves queries of many parts whose answers come sorted, from 0.1 to 0.6 s. */
    private static SchedulerFixture afterSortedAnswers() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.hedging = true;
        fixture.retryBudgetFree = 5;
        fixture.retryBudgetShare = 0.2;
        fixture.retryBudgetWindowS = 5;
        fixture.start("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        for (int id = 1; id <= 6; id++) {
            double queryStart = fixture.now;
            fixture.query(id, 6, SchedulerFixture.equalWeights(100));
            fixture.scheduler.endBatch();
            for (int n = 0; n < 100; n++) {
                double spent = 0.1 + 0.005 * n;
                fixture.beginBatch(queryStart + spent);
                fixture.endAttempt(id * 100L + n, 0, AttemptOutcome.OK, spent);
                fixture.scheduler.endBatch();
            }
            fixture.sweep(queryStart + 3);
        }
        fixture.actions.clear();
        return fixture;
    }

    @Test
    void overduePartsAreHedgedThoughAnswersComeSorted() {
        SchedulerFixture fixture = afterSortedAnswers();
        double queryStart = fixture.now;
        fixture.query(7, 6, SchedulerFixture.equalWeights(100));
        fixture.scheduler.endBatch();
        fixture.beginBatch(queryStart + 0.15);
        for (int n = 15; n < 100; n++) {
            fixture.endAttempt(700L + n, 0, AttemptOutcome.OK, 0.15);
        }
        fixture.scheduler.endBatch();
        fixture.sweep(queryStart + 1.9);
        long retries = fixture.actions.sends.size() - 100L;
        // The window budget allows 5 retries and a fifth of the 101 arrivals, less the one left unused. This is more
        // than the ten retries saved up, and covers all 15 missing parts.
        assertEquals(15, retries);
    }

    @Test
    void latePartIsHedgedAtTheLastMomentOnlyWithWindowBudget() {
        for (boolean budgeted : new boolean[] {true, false}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.hedging = true;
            fixture.retryBudgetFree = budgeted ? 5 : 0;
            fixture.retryBudgetWindowS = budgeted ? 5 : 0;
            fixture.start("a", "b", "c");
            fixture.serve(200, 0.35);
            double queryStart = fixture.now;
            fixture.query(1, 6, 1.0);
            fixture.scheduler.endBatch();
            fixture.sweep(queryStart + 1.2);
            assertEquals(1, fixture.actions.sends.size(), "the part is not overdue, and it is not the last moment");
            fixture.sweep(queryStart + 1.75);
            assertEquals(budgeted ? 2 : 1, fixture.actions.sends.size());
        }
    }
}
