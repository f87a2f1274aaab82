package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class HedgingPolicyTest {

    @Test
    void noSecondCopyUnlessAllowed() {
        for (boolean allowed : new boolean[] {false, true}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.duplicate = allowed;
            scene.start("a", "b");
            scene.serve(80, 0.1);
            double sent = scene.now;
            scene.query(1, 6, 1.0);
            scene.module.endBatch();
            scene.sweep(sent + 1.5);
            assertEquals(allowed ? 2 : 1, scene.did.sends.size());
            assertEquals(allowed ? 0 : 1, scene.did.count("cancel"), "called off where no copy may run beside it");
        }
    }

    @Test
    void anOverdueAttemptIsNotCalledOffWhenAnotherCannotComeInBeforeTheAim() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.serve(200, 0.6);
        double sent = scene.now;
        scene.query(1, 6, 1.0);
        scene.module.endBatch();
        scene.sweep(sent + 1.3);
        scene.did.clear();
        scene.sweep(sent + 1.9);
        assertEquals(0, scene.did.count("cancel"));
    }

    /** Serves queries of many parts whose answers come sorted, from 0.1 to 0.6 s. */
    private static SchedulerFixture servedSorted() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.duplicate = true;
        scene.budgetFree = 5;
        scene.budgetShare = 0.2;
        scene.budgetSpanS = 5;
        scene.start("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");
        for (int id = 1; id <= 6; id++) {
            double asked = scene.now;
            scene.query(id, 6, SchedulerFixture.equal(100));
            scene.module.endBatch();
            for (int n = 0; n < 100; n++) {
                double spent = 0.1 + 0.005 * n;
                scene.at(asked + spent);
                scene.end(id * 100L + n, 0, AttemptOutcome.OK, spent);
                scene.module.endBatch();
            }
            scene.sweep(asked + 3);
        }
        scene.did.clear();
        return scene;
    }

    @Test
    void anAnswerAwaitedTooLongIsSeenThoughTheAnswersOfAQueryComeSorted() {
        SchedulerFixture scene = servedSorted();
        double asked = scene.now;
        scene.query(7, 6, SchedulerFixture.equal(100));
        scene.module.endBatch();
        scene.at(asked + 0.15);
        for (int n = 15; n < 100; n++) {
            scene.end(700L + n, 0, AttemptOutcome.OK, 0.15);
        }
        scene.module.endBatch();
        scene.sweep(asked + 1.9);
        long again = scene.did.sends.size() - 100L;
        // 5 and a fifth of 101 taken, less the slack: more than the own ration of ten, and all that are missing.
        assertEquals(15, again);
    }

    @Test
    void atTheLastMomentBeforeTheAimALatePartGetsACopyWhereABudgetIsStated() {
        for (boolean budgeted : new boolean[] {true, false}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.duplicate = true;
            scene.budgetFree = budgeted ? 5 : 0;
            scene.budgetSpanS = budgeted ? 5 : 0;
            scene.start("a", "b", "c");
            scene.serve(200, 0.35);
            double asked = scene.now;
            scene.query(1, 6, 1.0);
            scene.module.endBatch();
            scene.sweep(asked + 1.2);
            assertEquals(1, scene.did.sends.size(), "neither overdue nor the last moment");
            scene.sweep(asked + 1.75);
            assertEquals(budgeted ? 2 : 1, scene.did.sends.size());
        }
    }
}
