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
