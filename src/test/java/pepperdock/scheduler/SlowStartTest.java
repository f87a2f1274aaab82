package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlowStartTest {

    @Test
    void aColdSearcherGetsNoMoreThanItsAllowanceInAnyWindow() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.instances = 2;
        scene.start("a");
        scene.serve(80, 0.1);
        double boot = scene.now;
        scene.change(SchedulerFixture.listed("a", EndpointState.HEALTHY, boot));
        scene.query(1, 6, SchedulerFixture.equal(40));
        scene.module.endBatch();
        scene.sweep(boot + 0.95);
        // 2 x 0.2 to 0.28 of ten parts a second, halved between two instances.
        assertTrue(scene.did.sends.size() <= 2, "sent in the first second: " + scene.did.sends.size());
        assertTrue(!scene.did.sends.isEmpty(), "a sole holder is used");
    }

    @Test
    void theColdAllowanceDoesNotShrinkWhenPartsQueue() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.start("a", "b");
            scene.serve(120, 0.05);
            if (i == 1) {
                scene.serve(40, 0.5);
            }
            double boot = scene.now;
            scene.change(SchedulerFixture.listed("a", EndpointState.HEALTHY, boot));
            scene.query(1, 6, SchedulerFixture.equal(40));
            scene.module.endBatch();
            sent[i] = (int) scene.did.sends.stream()
                    .filter(s -> s.searcher().equals("a"))
                    .count();
        }
        assertTrue(sent[0] >= 2, "sent to the cold one: " + sent[0]);
        assertTrue(sent[1] >= sent[0] / 2, sent[1] + " against " + sent[0]);
    }

    @Test
    void whereNoneFallsOverAColdSearcherIsUsedLikeAnyOther() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.fallS = 0;
        scene.start("a");
        scene.change(SchedulerFixture.listed("a", EndpointState.HEALTHY, scene.now));
        scene.query(1, 6, SchedulerFixture.equal(4));
        scene.module.endBatch();
        assertEquals(4, scene.did.sends.size());
    }

    /** Its turn is not drawn at the first part that wants it: an instance with little traffic would never have one. */
    @Test
    void theTurnAtAColdSearcherCountsFromWhenAnInstanceIsTold() {
        int used = 0;
        for (int seed = 0; seed < 20; seed++) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.instances = 20;
            scene.seed = seed;
            scene.start("a");
            scene.serve(20, 0.1);
            double boot = scene.now;
            scene.change(SchedulerFixture.listed("a", EndpointState.HEALTHY, boot));
            scene.module.endBatch();
            scene.at(boot + 7);
            scene.query(1, 6, 1.0);
            scene.module.endBatch();
            used += scene.did.sends.size();
        }
        // The twenty were allowed some fifty parts by then, between them.
        assertEquals(20, used);
    }
}
