package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class FanOutPolicyTest {

    @Test
    void anIdleInstanceSendsEveryPartAndAnswersWhole() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.query(1, 6, 0.4, 0.3, 0.2, 0.1);
        scene.module.endBatch();
        assertEquals(List.of(100L, 101L, 102L, 103L), scene.did.sentParts());
        scene.at(100.2);
        for (long part : SchedulerFixture.parts(1, 4)) {
            assertEquals(List.of(), scene.did.endings(1));
            scene.end(part, 0, AttemptOutcome.OK, 0.2);
            scene.module.endBatch();
        }
        assertEquals(List.of("answer 1 true"), scene.did.endings(1));
    }

    @Test
    void theHeadLeavesWithTheCountOfTheFormulaLightestPartsLeftOut() {
        SchedulerFixture scene = SchedulerFixture.atTheCeiling(0.2);
        scene.query(3, 6, 0.05, 0.3, 0.2, 0.15, 0.12, 0.08, 0.06, 0.04);
        scene.query(4, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        scene.did.clear();
        scene.at(scene.now + 0.1);
        // The part served raises the ceiling over 16: one waits behind, two are out: ceil(16.1 / (1 + 1 + 1.5)) = 5.
        scene.module.onAttemptResult(new AttemptResult(101, 0, "a", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        scene.module.endBatch();
        assertEquals(List.of(301L, 302L, 303L, 304L, 305L), scene.did.sentParts());
    }

    @Test
    void theCountIsClampedToTheFewestPartsThatReachTheFloor() {
        SchedulerFixture scene = SchedulerFixture.atTheCeiling(0.8);
        scene.query(3, 6, SchedulerFixture.equal(8));
        scene.query(4, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        scene.did.clear();
        scene.at(scene.now + 0.1);
        scene.module.onAttemptResult(new AttemptResult(101, 0, "a", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        scene.module.endBatch();
        assertEquals(7, scene.did.sends.size());
    }

    @Test
    void classesNeedingAllPartsLeaveTheFormulaIdle() {
        SchedulerFixture scene = SchedulerFixture.atTheCeiling(1);
        scene.query(3, 6, SchedulerFixture.equal(8));
        scene.query(4, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        scene.did.clear();
        scene.at(scene.now + 0.1);
        scene.module.onAttemptResult(new AttemptResult(101, 0, "a", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        scene.module.endBatch();
        assertEquals(SchedulerFixture.parts(3, 8), scene.did.sentParts());
    }

    /**
     * Guards against full fan-out into searchers that queue, where no query ever waits here: of 91 instances on a day at
     * full size each saw a query every 2.5 s, sent all of its parts, and answered half of them at the aim.
     */
    @Test
    void aQueryThatNeedNotWaitLeavesOutLightPartsWhilePartsTakeLong() {
        List<Long> all = List.of(200L, 201L, 202L, 203L, 204L, 205L);
        assertEquals(all.subList(1, 6), sentWhileSlow(0.6, 50), "all but the lightest");
        assertEquals(all, sentWhileSlow(1, 50), "all are needed");
        assertEquals(all, sentWhileSlow(0.6, 1), "the instance's own ceiling sees the load");
    }

    private static List<Long> sentWhileSlow(double floor, int instances) {
        double[] weights = {0.05, 0.3, 0.1, 0.25, 0.1, 0.2};
        SchedulerFixture scene = new SchedulerFixture();
        scene.floor = floor;
        scene.instances = instances;
        scene.shards = 6;
        scene.start("a", "b", "c");
        scene.serve(40, 6, 0.2 * SchedulerFixture.AIM);
        scene.query(1, 6, weights);
        scene.module.endBatch();
        assertEquals(6, scene.did.sends.size(), "while parts are quick");
        SchedulerFixture.parts(1, 6).forEach(p -> scene.end(p, 0, AttemptOutcome.OK, 0.1));
        scene.module.endBatch();
        scene.at(scene.now + 1).serve(60, 6, 0.36 * SchedulerFixture.AIM);
        scene.query(2, 6, weights);
        scene.module.endBatch();
        return scene.did.sends.stream()
                .map(RecordingActions.Sent::part)
                .sorted()
                .toList();
    }
}
