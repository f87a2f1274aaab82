package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ReplicaSelectorTest {

    @Test
    void selectsReplicaWithFewestOutstandingParts() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b", "c");
        fixture.query(1, 6, SchedulerFixture.equalWeights(9));
        fixture.scheduler.endBatch();
        Map<String, Long> counts = fixture.actions.sends.stream()
                .collect(Collectors.groupingBy(RecordingActions.Sent::endpointId, Collectors.counting()));
        assertEquals(Map.of("a", 3L, "b", 3L, "c", 3L), counts);
    }

    /**
     * Checks that outstanding parts are divided by the planned share, three to one here, and that health takes
     * precedence over it.
     */
    @Test
    void plannedSharesWeightReplicasAfterHealth() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.scheduler.updatePlannedShares((shard, endpoint) -> endpoint.equals("a") ? 0.75 : 0.25);
        fixture.query(1, 6, SchedulerFixture.equalWeights(12));
        fixture.scheduler.endBatch();
        assertEquals(
                Map.of("a", 9L, "b", 3L),
                fixture.actions.sends.stream()
                        .collect(Collectors.groupingBy(RecordingActions.Sent::endpointId, Collectors.counting())));
        SchedulerFixture unhealthy = new SchedulerFixture().start("a", "b");
        unhealthy.scheduler.updatePlannedShares((shard, endpoint) -> endpoint.equals("a") ? 0.9 : 0.1);
        for (int query = 1; query <= 3; query++) {
            unhealthy.query(query, 6, SchedulerFixture.equalWeights(4));
            unhealthy.scheduler.endBatch();
            unhealthy.beginBatch(unhealthy.now + 0.01);
            for (long part : SchedulerFixture.partIds(query, 4)) {
                boolean toA = unhealthy.actions.sends.stream()
                        .anyMatch(attempt ->
                                attempt.part() == part && attempt.endpointId().equals("a"));
                unhealthy.endAttempt(part, 0, toA ? AttemptOutcome.ERROR : AttemptOutcome.OK, 0.01);
            }
            unhealthy.scheduler.endBatch();
        }
        unhealthy.actions.clear();
        unhealthy.query(9, 6, SchedulerFixture.equalWeights(4));
        unhealthy.scheduler.endBatch();
        assertEquals(
                List.of(),
                unhealthy.actions.sends.stream()
                        .filter(attempt -> attempt.endpointId().equals("a"))
                        .toList());
    }

    @Test
    void loadCountsCallsWherePartsShareThem() {
        int sentToBusier = 0;
        for (int seed = 0; seed < 20; seed++) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.maxPartsPerCall = 4;
            fixture.seed = seed;
            fixture.start("a", "b");
            fixture.query(1, 6, SchedulerFixture.equalWeights(3));
            fixture.scheduler.endBatch();
            String busier = fixture.sentTo().get("a") == 2 ? "a" : "b";
            fixture.beginBatch(100.01);
            fixture.query(2, 6, 1.0);
            fixture.scheduler.endBatch();
            sentToBusier += fixture.actions.sends.get(3).endpointId().equals(busier) ? 1 : 0;
        }
        assertTrue(
                sentToBusier > 3 && sentToBusier < 17,
                "both endpoints have one call outstanding; attempts to the one with two parts, expected 4 to 16: "
                        + sentToBusier);
    }
}
