package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ReplicaSelectorTest {

    @Test
    void partsGoToTheReplicaWithFewestOwnPartsOut() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b", "c");
        scene.query(1, 6, SchedulerFixture.equal(9));
        scene.module.endBatch();
        Map<String, Long> counts = scene.did.sends.stream()
                .collect(Collectors.groupingBy(RecordingActions.Sent::searcher, Collectors.counting()));
        assertEquals(Map.of("a", 3L, "b", 3L, "c", 3L), counts);
    }

    /** Own parts out over the planned share: three to one, to the part; health goes before it. */
    @Test
    void plannedSharesWeighTheReplicasAndGiveWayToHealth() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.module.updatePlannedShares((shard, searcher) -> searcher.equals("a") ? 0.75 : 0.25);
        scene.query(1, 6, SchedulerFixture.equal(12));
        scene.module.endBatch();
        assertEquals(
                Map.of("a", 9L, "b", 3L),
                scene.did.sends.stream()
                        .collect(Collectors.groupingBy(RecordingActions.Sent::searcher, Collectors.counting())));
        SchedulerFixture sick = new SchedulerFixture().start("a", "b");
        sick.module.updatePlannedShares((shard, searcher) -> searcher.equals("a") ? 0.9 : 0.1);
        for (int query = 1; query <= 3; query++) {
            sick.query(query, 6, SchedulerFixture.equal(4));
            sick.module.endBatch();
            sick.at(sick.now + 0.01);
            for (long part : SchedulerFixture.parts(query, 4)) {
                boolean toA = sick.did.sends.stream()
                        .anyMatch(s -> s.part() == part && s.searcher().equals("a"));
                sick.end(part, 0, toA ? AttemptOutcome.ERROR : AttemptOutcome.OK, 0.01);
            }
            sick.module.endBatch();
        }
        sick.did.clear();
        sick.query(9, 6, SchedulerFixture.equal(4));
        sick.module.endBatch();
        assertEquals(
                List.of(),
                sick.did.sends.stream().filter(s -> s.searcher().equals("a")).toList());
    }

    @Test
    void thePickCountsCallsWherePartsShareThem() {
        int toTheFuller = 0;
        for (int seed = 0; seed < 20; seed++) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.batch = 4;
            scene.seed = seed;
            scene.start("a", "b");
            scene.query(1, 6, SchedulerFixture.equal(3));
            scene.module.endBatch();
            String fuller = scene.counts().get("a") == 2 ? "a" : "b";
            scene.at(100.01);
            scene.query(2, 6, 1.0);
            scene.module.endBatch();
            toTheFuller += scene.did.sends.get(3).searcher().equals(fuller) ? 1 : 0;
        }
        assertTrue(toTheFuller > 3 && toTheFuller < 17, "one call out at each: a tie: " + toTheFuller);
    }
}
