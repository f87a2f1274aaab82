package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class CompletionPolicyTest {

    @Test
    void unservedQueryIsRejectedOnceBeforeItsDeadline() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.lateAnswerWeight = 0.3;
        fixture.start("a", "b");
        fixture.query(1, 3, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        fixture.sweep(102.99);
        assertEquals(List.of("reject 1"), fixture.actions.endings(1));
        int sends = fixture.actions.sends.size();
        for (long part : SchedulerFixture.partIds(1, 4)) {
            fixture.endAttempt(part, 0, AttemptOutcome.TIMEOUT, 3);
        }
        fixture.scheduler.endBatch();
        fixture.sweep(104);
        assertEquals(sends, fixture.actions.sends.size());
        assertEquals(1, fixture.actions.endings(1).size());
    }

    @Test
    void answerAtTheObjectiveNeedsMinimumCoverageAndIsIncomplete() {
        for (int answeredParts : new int[] {2, 3}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.minimumCoverage = 0.6;
            fixture.start("a", "b");
            fixture.query(1, 6, SchedulerFixture.equalWeights(4));
            fixture.scheduler.endBatch();
            fixture.beginBatch(100.2);
            for (long part : SchedulerFixture.partIds(1, answeredParts)) {
                fixture.endAttempt(part, 0, AttemptOutcome.OK, 0.2);
            }
            fixture.scheduler.endBatch();
            assertEquals(List.of(), fixture.actions.endings(1));
            fixture.sweep(102);
            assertEquals(List.of(answeredParts == 3 ? "answer 1 false" : "reject 1"), fixture.actions.endings(1));
        }
    }

    @Test
    void completeCoverageEndsTheQueryAndCancelsTheRest() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.minimumCoverage = fixture.completeCoverage = 2.0 / 3;
        fixture.start("a", "b");
        fixture.query(1, 6, SchedulerFixture.equalWeights(6));
        fixture.scheduler.endBatch();
        for (int n = 0; n < 4; n++) {
            assertEquals(List.of(), fixture.actions.endings(1));
            fixture.beginBatch(100.1 + 0.01 * n);
            fixture.endAttempt(100 + n, 0, AttemptOutcome.OK, 0.1);
            fixture.scheduler.endBatch();
        }
        assertEquals(List.of("answer 1 true"), fixture.actions.endings(1));
        assertEquals(
                List.of("cancel 104 0", "cancel 105 0"),
                fixture.actions.recorded.stream()
                        .filter(a -> a.startsWith("cancel"))
                        .toList());
        assertThrows(
                IllegalArgumentException.class,
                () -> {
                    SchedulerFixture invalid = new SchedulerFixture();
                    invalid.completeCoverage = 0.5;
                    invalid.start("a");
                },
                "minimum coverage above complete coverage");
    }

    @Test
    void duplicateAnswersOfAPartCountOnce() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.minimumCoverage = 0.6;
        fixture.hedging = true;
        fixture.start("a", "b");
        fixture.serve(80, 0.1);
        double sent = fixture.now;
        fixture.query(1, 6, 0.5, 0.5);
        fixture.scheduler.endBatch();
        fixture.sweep(sent + 1.2);
        fixture.endAttempt(100, 0, AttemptOutcome.OK, 1.2);
        fixture.endAttempt(100, 1, AttemptOutcome.OK, 1.0);
        fixture.scheduler.endBatch();
        fixture.sweep(sent + 2.1);
        assertEquals(List.of("reject 1"), fixture.actions.endings(1));
    }

    @Test
    void secondStageIsCompleteOnlyIfBothStagesAre() {
        for (boolean firstComplete : new boolean[] {true, false}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.minimumCoverage = 0.5;
            fixture.secondStageParts = 2;
            fixture.start("a", "b");
            fixture.query(1, 6, SchedulerFixture.equalWeights(4));
            fixture.scheduler.endBatch();
            fixture.beginBatch(100.2);
            for (long part : SchedulerFixture.partIds(1, firstComplete ? 4 : 3)) {
                fixture.endAttempt(part, 0, AttemptOutcome.OK, 0.2);
            }
            fixture.scheduler.endBatch();
            fixture.sweep(firstComplete ? 100.3 : 101.45);
            assertEquals(List.of("answer 1 " + firstComplete), fixture.actions.endings(1));
            fixture.actions.clear();
            fixture.beginBatch(fixture.now + 0.005);
            fixture.scheduler.onPart(new PartArrival(150, fixture.lastSequenceNumber, 0, 0.5));
            fixture.scheduler.onPart(new PartArrival(151, fixture.lastSequenceNumber, 1, 0.5));
            fixture.scheduler.endBatch();
            assertEquals(List.of(150L, 151L), fixture.actions.sentParts());
            fixture.beginBatch(fixture.now + 0.01);
            fixture.endAttempt(103, 0, AttemptOutcome.OK, 0.4);
            fixture.endAttempt(150, 0, AttemptOutcome.OK, 0.01);
            fixture.scheduler.endBatch();
            assertEquals(List.of(), fixture.actions.endings(1), "a late part of the first stage does not count");
            fixture.endAttempt(151, 0, AttemptOutcome.OK, 0.01);
            fixture.scheduler.endBatch();
            assertEquals(List.of("answer 1 " + firstComplete), fixture.actions.endings(1));
        }
    }

    /** Guards against rejecting such a query only near its deadline, which would cost its client the whole wait. */
    @Test
    void queryThatReachedNoEndpointIsRejectedByHalfItsTime() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.lateAnswerWeight = 0.3;
        fixture.start("a", "b");
        fixture.query(1, 6, SchedulerFixture.equalWeights(2));
        fixture.scheduler.endBatch();
        for (int done = 0; fixture.now < 102.99; fixture.sweep(fixture.now + 0.1)) {
            for (; done < fixture.actions.sends.size(); done++) {
                RecordingActions.Sent sent = fixture.actions.sends.get(done);
                long before = fixture.actions.sends.subList(0, done).stream()
                        .filter(attempt -> attempt.part() == sent.part())
                        .count();
                fixture.endAttempt(sent.part(), (int) before, AttemptOutcome.CONNECT_FAILED, 0.01);
            }
        }
        assertEquals(List.of("reject 1"), fixture.actions.endings(1));
    }
}
