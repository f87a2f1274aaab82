package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class FanOutPolicyTest {

    @Test
    void idleInstanceSendsAllPartsAndAnswersCompletely() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.query(1, 6, 0.4, 0.3, 0.2, 0.1);
        fixture.scheduler.endBatch();
        assertEquals(List.of(100L, 101L, 102L, 103L), fixture.actions.sentParts());
        fixture.beginBatch(100.2);
        for (long part : SchedulerFixture.partIds(1, 4)) {
            assertEquals(List.of(), fixture.actions.endings(1));
            fixture.endAttempt(part, 0, AttemptOutcome.OK, 0.2);
            fixture.scheduler.endBatch();
        }
        assertEquals(List.of("answer 1 true"), fixture.actions.endings(1));
    }

    @Test
    void queuedQueryGetsRmapCountWithoutLightestParts() {
        SchedulerFixture fixture = SchedulerFixture.atConcurrencyLimit(0.2);
        fixture.query(3, 6, 0.05, 0.3, 0.2, 0.15, 0.12, 0.08, 0.06, 0.04);
        fixture.query(4, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        fixture.actions.clear();
        fixture.beginBatch(fixture.now + 0.1);
        // The answered part raises the limit above 16. One query is queued behind and two are running, which gives
        // ceil(16.1 / (1 + 1 + 1.5)) = 5.
        fixture.scheduler.onAttemptResult(new AttemptResult(101, 0, "a", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        fixture.scheduler.endBatch();
        assertEquals(List.of(301L, 302L, 303L, 304L, 305L), fixture.actions.sentParts());
    }

    @Test
    void rmapCountReachesMinimumCoverage() {
        SchedulerFixture fixture = SchedulerFixture.atConcurrencyLimit(0.8);
        fixture.query(3, 6, SchedulerFixture.equalWeights(8));
        fixture.query(4, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        fixture.actions.clear();
        fixture.beginBatch(fixture.now + 0.1);
        fixture.scheduler.onAttemptResult(new AttemptResult(101, 0, "a", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        fixture.scheduler.endBatch();
        assertEquals(7, fixture.actions.sends.size());
    }

    @Test
    void classWithoutPartialAnswersSendsAllParts() {
        SchedulerFixture fixture = SchedulerFixture.atConcurrencyLimit(1);
        fixture.query(3, 6, SchedulerFixture.equalWeights(8));
        fixture.query(4, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        fixture.actions.clear();
        fixture.beginBatch(fixture.now + 0.1);
        fixture.scheduler.onAttemptResult(new AttemptResult(101, 0, "a", AttemptOutcome.OK, 0.1, LoadReport.NONE));
        fixture.scheduler.endBatch();
        assertEquals(SchedulerFixture.partIds(3, 8), fixture.actions.sentParts());
    }

    /**
     * Guards against full fan-out to endpoints that queue: one of many instances receives a query now and then, so no
     * query is queued at that instance.
     */
    @Test
    void slowPartsTrimQueriesThatNeedNotWait() {
        List<Long> all = List.of(200L, 201L, 202L, 203L, 204L, 205L);
        assertEquals(all.subList(1, 6), sentWhilePartsAreSlow(0.6, 50), "all parts but the lightest are sent");
        assertEquals(all, sentWhilePartsAreSlow(1, 50), "all parts are needed");
        assertEquals(all, sentWhilePartsAreSlow(0.6, 1), "a sole instance's own limit shows the load");
    }

    private static List<Long> sentWhilePartsAreSlow(double minimumCoverage, int instances) {
        double[] weights = {0.05, 0.3, 0.1, 0.25, 0.1, 0.2};
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.minimumCoverage = minimumCoverage;
        fixture.instances = instances;
        fixture.shards = 6;
        fixture.start("a", "b", "c");
        fixture.serve(40, 6, 0.2 * SchedulerFixture.OBJECTIVE_S);
        fixture.query(1, 6, weights);
        fixture.scheduler.endBatch();
        assertEquals(6, fixture.actions.sends.size(), "attempts sent while parts are quick");
        SchedulerFixture.partIds(1, 6).forEach(p -> fixture.endAttempt(p, 0, AttemptOutcome.OK, 0.1));
        fixture.scheduler.endBatch();
        fixture.beginBatch(fixture.now + 1).serve(60, 6, 0.36 * SchedulerFixture.OBJECTIVE_S);
        fixture.query(2, 6, weights);
        fixture.scheduler.endBatch();
        return fixture.actions.sends.stream()
                .map(RecordingActions.Sent::part)
                .sorted()
                .toList();
    }
}
