package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdaptiveSchedulerTest {

    @Test
    void abortedQueriesLateOutcomesAndUnknownIdsAreHarmless() {
        SchedulerFixture scene = new SchedulerFixture().start("a");
        scene.query(1, 6, SchedulerFixture.equal(4));
        scene.module.endBatch();
        scene.at(100.1);
        scene.module.onQueryCancelled(1);
        scene.module.onQueryCancelled(77);
        scene.end(100, 0, AttemptOutcome.OK, 0.1);
        scene.module.onAttemptResult(new AttemptResult(4242, 3, "z", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        scene.module.onPart(new PartArrival(4243, 999, 0, 1));
        scene.query(5, 6);
        scene.module.endBatch();
        scene.sweep(107);
        assertEquals(List.of(), scene.did.endings(1));
        assertEquals(List.of("refuse 5"), scene.did.endings(5));
    }

    @Test
    void theSameEventsGiveTheSameActionsAndTheSeedBreaksTies() {
        List<List<String>> runs = new ArrayList<>();
        for (long seed : new long[] {1, 1, 2}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.seed = seed;
            scene.start("a", "b", "c");
            for (int i = 1; i <= 20; i++) {
                scene.query(i, 6, SchedulerFixture.equal(5));
                scene.module.endBatch();
                scene.sweep(scene.now + 0.1);
            }
            runs.add(scene.did.all);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertNotEquals(runs.get(0), runs.get(2));
    }
}
