package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class CompletionPolicyTest {

    @Test
    void aQueryThatNobodyServesEndsOnceBeforeItsTime() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.lateWorth = 0.3;
        scene.start("a", "b");
        scene.query(1, 3, SchedulerFixture.equal(4));
        scene.module.endBatch();
        scene.sweep(102.99);
        assertEquals(List.of("refuse 1"), scene.did.endings(1));
        int sends = scene.did.sends.size();
        for (long part : SchedulerFixture.parts(1, 4)) {
            scene.end(part, 0, AttemptOutcome.TIMEOUT, 3);
        }
        scene.module.endBatch();
        scene.sweep(104);
        assertEquals(sends, scene.did.sends.size());
        assertEquals(1, scene.did.endings(1).size());
    }

    @Test
    void anAnswerAtTheAimNeedsTheFloorAndIsNotMarkedWhole() {
        for (int in : new int[] {2, 3}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.floor = 0.6;
            scene.start("a", "b");
            scene.query(1, 6, SchedulerFixture.equal(4));
            scene.module.endBatch();
            scene.at(100.2);
            for (long part : SchedulerFixture.parts(1, in)) {
                scene.end(part, 0, AttemptOutcome.OK, 0.2);
            }
            scene.module.endBatch();
            assertEquals(List.of(), scene.did.endings(1));
            scene.sweep(102);
            assertEquals(List.of(in == 3 ? "answer 1 false" : "refuse 1"), scene.did.endings(1));
        }
    }

    @Test
    void aClassThatNeedsAShareOfItsPartsIsWholeAtThatShareAndTheRestIsCalledOff() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.floor = scene.need = 2.0 / 3;
        scene.start("a", "b");
        scene.query(1, 6, SchedulerFixture.equal(6));
        scene.module.endBatch();
        for (int n = 0; n < 4; n++) {
            assertEquals(List.of(), scene.did.endings(1));
            scene.at(100.1 + 0.01 * n);
            scene.end(100 + n, 0, AttemptOutcome.OK, 0.1);
            scene.module.endBatch();
        }
        assertEquals(List.of("answer 1 true"), scene.did.endings(1));
        assertEquals(
                List.of("cancel 104 0", "cancel 105 0"),
                scene.did.all.stream().filter(a -> a.startsWith("cancel")).toList());
        assertThrows(
                IllegalArgumentException.class,
                () -> {
                    SchedulerFixture odd = new SchedulerFixture();
                    odd.need = 0.5;
                    odd.start("a");
                },
                "a floor above the need");
    }

    @Test
    void aPartCountsOnceHoweverManyOfItsAttemptsCome() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.floor = 0.6;
        scene.duplicate = true;
        scene.start("a", "b");
        scene.serve(80, 0.1);
        double sent = scene.now;
        scene.query(1, 6, 0.5, 0.5);
        scene.module.endBatch();
        scene.sweep(sent + 1.2);
        scene.end(100, 0, AttemptOutcome.OK, 1.2);
        scene.end(100, 1, AttemptOutcome.OK, 1.0);
        scene.module.endBatch();
        scene.sweep(sent + 2.1);
        assertEquals(List.of("refuse 1"), scene.did.endings(1));
    }

    @Test
    void theSecondStepIsFetchedAndWholeOnlyIfBothStepsWere() {
        for (boolean firstWhole : new boolean[] {true, false}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.floor = 0.5;
            scene.secondStep = 2;
            scene.start("a", "b");
            scene.query(1, 6, SchedulerFixture.equal(4));
            scene.module.endBatch();
            scene.at(100.2);
            for (long part : SchedulerFixture.parts(1, firstWhole ? 4 : 3)) {
                scene.end(part, 0, AttemptOutcome.OK, 0.2);
            }
            scene.module.endBatch();
            scene.sweep(firstWhole ? 100.3 : 101.45);
            assertEquals(List.of("answer 1 " + firstWhole), scene.did.endings(1));
            scene.did.clear();
            scene.at(scene.now + 0.005);
            scene.module.onPart(new PartArrival(150, scene.lastNo, 0, 0.5));
            scene.module.onPart(new PartArrival(151, scene.lastNo, 1, 0.5));
            scene.module.endBatch();
            assertEquals(List.of(150L, 151L), scene.did.sentParts());
            scene.at(scene.now + 0.01);
            scene.end(103, 0, AttemptOutcome.OK, 0.4);
            scene.end(150, 0, AttemptOutcome.OK, 0.01);
            scene.module.endBatch();
            assertEquals(List.of(), scene.did.endings(1), "a late part of the first step counts for nothing");
            scene.end(151, 0, AttemptOutcome.OK, 0.01);
            scene.module.endBatch();
            assertEquals(List.of("answer 1 " + firstWhole), scene.did.endings(1));
        }
    }

    /** Refused near its deadline with nothing ever sent, it would cost its client the whole wait. */
    @Test
    void aQueryThatReachesNobodyIsRefusedByHalfItsTime() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.lateWorth = 0.3;
        scene.start("a", "b");
        scene.query(1, 6, SchedulerFixture.equal(2));
        scene.module.endBatch();
        for (int done = 0; scene.now < 102.99; scene.sweep(scene.now + 0.1)) {
            for (; done < scene.did.sends.size(); done++) {
                RecordingActions.Sent sent = scene.did.sends.get(done);
                long before = scene.did.sends.subList(0, done).stream()
                        .filter(s -> s.part() == sent.part())
                        .count();
                scene.end(sent.part(), (int) before, AttemptOutcome.CONNECT_FAILED, 0.01);
            }
        }
        assertEquals(List.of("refuse 1"), scene.did.endings(1));
    }
}
