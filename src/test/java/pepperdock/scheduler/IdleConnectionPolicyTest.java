package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class IdleConnectionPolicyTest {

    /** Sends a query of a part for each searcher named; all but the silent ones answer in time. */
    private static void ask(SchedulerFixture scene, long id, int parts, Set<String> silent) {
        int before = scene.did.sends.size();
        scene.query(id, 6, SchedulerFixture.equal(parts));
        scene.module.endBatch();
        List<RecordingActions.Sent> sent = List.copyOf(scene.did.sends.subList(before, scene.did.sends.size()));
        scene.at(scene.now + 0.15);
        sent.stream()
                .filter(s -> !silent.contains(s.searcher()))
                .forEach(s -> scene.module.onAttemptResult(
                        new AttemptResult(s.part(), 0, s.searcher(), AttemptOutcome.OK, 0.15, LoadReport.NONE)));
        scene.module.endBatch();
        scene.sweep(scene.now + 1.9);
        sent.stream()
                .filter(s -> silent.contains(s.searcher()))
                .forEach(s -> scene.module.onAttemptResult(
                        new AttemptResult(s.part(), 0, s.searcher(), AttemptOutcome.CANCELLED, 2, LoadReport.NONE)));
        scene.module.endBatch();
        scene.sweep(scene.now + 4);
    }

    private static SchedulerFixture askedOften(int silent) {
        SchedulerFixture scene = new SchedulerFixture();
        String[] names = IntStream.range(0, 12).mapToObj(i -> "s" + i).toArray(String[]::new);
        scene.start(names);
        for (int i = 1; i <= 5; i++) {
            ask(scene, i, 12, Set.of());
        }
        ask(scene, 6, 12, Set.of(Arrays.copyOf(names, silent)));
        scene.did.clear();
        scene.query(7, 6, SchedulerFixture.equal(12));
        scene.module.endBatch();
        return scene;
    }

    @Test
    void idleConnectionsDroppedUnseenAreClosedBeforeUseAndTheirSearchersAreNotBlamed() {
        SchedulerFixture scene = askedOften(8);
        assertEquals(12, scene.did.count("drop"));
        assertTrue(scene.did.all.get(0).startsWith("drop"), "before the send");
        assertEquals(12, scene.counts().size(), "no searcher is passed over");
    }

    @Test
    void aFewSilentSearchersAreNotTakenForDroppedConnections() {
        SchedulerFixture scene = askedOften(3);
        assertTrue(scene.did.count("drop") <= 3, "at most at the silent ones");
        assertTrue(scene.counts().size() <= 11, "they are passed over, but for trials: " + scene.counts());
    }

    @Test
    void newConnectionsThatFailEndTheMistrustOfIdleOnes() {
        SchedulerFixture scene = askedOften(8);
        List<RecordingActions.Sent> sent = List.copyOf(scene.did.sends);
        scene.at(scene.now + 0.25);
        scene.module.onAttemptResult(new AttemptResult(
                sent.get(0).part(), 0, sent.get(0).searcher(), AttemptOutcome.CONNECT_FAILED, 0.25, LoadReport.NONE));
        sent.stream()
                .skip(1)
                .forEach(s -> scene.module.onAttemptResult(
                        new AttemptResult(s.part(), 0, s.searcher(), AttemptOutcome.OK, 0.25, LoadReport.NONE)));
        scene.module.onQueryCancelled(7);
        scene.module.endBatch();
        scene.sweep(scene.now + 5);
        scene.did.clear();
        scene.query(8, 6, SchedulerFixture.equal(12));
        scene.module.endBatch();
        assertEquals(0, scene.did.count("drop"));
    }
}
