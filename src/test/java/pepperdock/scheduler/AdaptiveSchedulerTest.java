package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdaptiveSchedulerTest {

    @Test
    void cancelledQueriesLateResultsAndUnknownIdsAreIgnored() {
        SchedulerFixture fixture = new SchedulerFixture().start("a");
        fixture.query(1, 6, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        fixture.beginBatch(100.1);
        fixture.scheduler.onQueryCancelled(1);
        fixture.scheduler.onQueryCancelled(77);
        fixture.endAttempt(100, 0, AttemptOutcome.OK, 0.1);
        fixture.scheduler.onAttemptResult(new AttemptResult(4242, 3, "z", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        fixture.scheduler.onPart(new PartArrival(4243, 999, 0, 1));
        fixture.query(5, 6);
        fixture.scheduler.endBatch();
        fixture.sweep(107);
        assertEquals(List.of(), fixture.actions.endings(1));
        assertEquals(List.of("reject 5"), fixture.actions.endings(5));
    }

    /** Guards against queries that are never decided because a decision about another one of the batch failed. */
    @Test
    void decisionThatFailsEndsItsOwnQueryOnly() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.actions.failingPart = 200;
        fixture.start("a", "b");
        for (int query = 1; query <= 3; query++) {
            fixture.query(query, 6, 1.0);
        }
        fixture.scheduler.endBatch();
        fixture.sweep(100.1);
        assertEquals(List.of(100L, 300L), fixture.actions.sentParts());
        fixture.beginBatch(100.2);
        fixture.endAttempt(100, 0, AttemptOutcome.OK, 0.2);
        fixture.endAttempt(300, 0, AttemptOutcome.OK, 0.2);
        fixture.scheduler.endBatch();
        assertEquals(List.of("answer 1 true"), fixture.actions.endings(1));
        assertEquals(List.of("answer 3 true"), fixture.actions.endings(3));
        assertEquals(1, fixture.actions.count("decision failed 2"));
        assertEquals(1, fixture.actions.count("decision failed"));
    }

    /**
     * Guards against a query that waits for a free slot and is neither dispatched nor rejected any more, and against
     * those behind it, because its dispatch failed.
     */
    @Test
    void dispatchOfAQueuedQueryThatFailsDoesNotHoldUpTheQueue() {
        SchedulerFixture fixture = SchedulerFixture.atConcurrencyLimit(1);
        fixture.actions.failingPart = 300;
        fixture.query(3, 6, SchedulerFixture.equalWeights(8));
        fixture.query(4, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        assertEquals(0, fixture.actions.count("decision failed"));
        fixture.beginBatch(fixture.now + 0.05);
        for (long part : SchedulerFixture.partIds(2, 8)) {
            fixture.endAttempt(part, 0, AttemptOutcome.OK, 0.05);
        }
        fixture.scheduler.endBatch();
        assertEquals(1, fixture.actions.count("decision failed 3"));
        assertEquals(
                8,
                fixture.actions.sentParts().stream()
                        .filter(part -> part / 100 == 4)
                        .count());
    }

    @Test
    void sameEventsAndSeedGiveTheSameActions() {
        List<List<String>> runs = new ArrayList<>();
        for (long seed : new long[] {1, 1, 2}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.seed = seed;
            fixture.start("a", "b", "c");
            for (int i = 1; i <= 20; i++) {
                fixture.query(i, 6, SchedulerFixture.equalWeights(5));
                fixture.scheduler.endBatch();
                fixture.sweep(fixture.now + 0.1);
            }
            runs.add(fixture.actions.recorded);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertNotEquals(runs.get(0), runs.get(2));
    }
}
