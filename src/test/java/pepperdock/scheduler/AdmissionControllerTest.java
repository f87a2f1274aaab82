package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {

    @Test
    void travelTimeIsNotTakenForALaterTry() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.query(1, 4.0, SchedulerFixture.equal(4));
        scene.module.endBatch();
        scene.at(100.1);
        scene.query(2, 3.99, SchedulerFixture.equal(4));
        scene.module.endBatch();
        double until = scene.did.sends.get(4).until();
        assertTrue(until > 101.9, "time left to the second query: " + until);
    }

    @Test
    void clientsThatLeaveEarlyAreStillServedAndNeverKeptPastTheirTime() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.serve(100, 0.1);
        scene.query(1, 0.6, 1.0);
        scene.module.endBatch();
        assertEquals(1, scene.did.sends.size());
        double start = scene.now;
        scene.sweep(start + 0.6);
        assertEquals(List.of("refuse 1"), scene.did.endings(1));
        SchedulerFixture full = SchedulerFixture.atTheCeiling(1);
        full.query(3, 0.9, SchedulerFixture.equal(8));
        full.module.endBatch();
        full.sweep(full.now + 0.9);
        assertEquals(List.of("refuse 3"), full.did.endings(3), "a held query ends within a short try");
    }

    @Test
    void aQueryThatWouldWaitPastItsAimIsRefusedAtOnce() {
        SchedulerFixture scene = SchedulerFixture.atTheCeiling(1);
        for (int i = 3; i < 83; i++) {
            scene.query(i, 6, SchedulerFixture.equal(8));
        }
        scene.module.endBatch();
        long refused = scene.did.count("refuse");
        assertTrue(refused > 10 && refused < 70, "refused at once: " + refused);
        assertEquals(List.of(), scene.did.endings(3), "the first to wait is held");
    }
}
