package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {

    /**
     * Guards against rejecting queries without an attempt where the healthy replicas of a shard are draining and the
     * last one answers some attempts. An error comes at once, so that the next attempt costs no more than a call.
     */
    @Test
    void lastReplicaIsRetriedThoughItRespondsWithErrors() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.cells = 2;
        fixture.shards = 2;
        fixture.start("a", "b");
        for (String healthy : List.of("x", "y", "z")) {
            fixture.updateEndpoints(new Endpoint(healthy, 0, 0, 1, EndpointState.HEALTHY, 1, 0));
        }
        for (int query = 1; query <= 9; query++) {
            fixture.query(query, 6, 1.0);
            fixture.scheduler.endBatch();
            fixture.beginBatch(fixture.now + 0.01);
            long part = query * 100L;
            boolean toA = fixture.actions.sends.stream()
                    .anyMatch(attempt ->
                            attempt.part() == part && attempt.endpointId().equals("a"));
            fixture.endAttempt(part, 0, toA ? AttemptOutcome.ERROR : AttemptOutcome.OK, 0.01);
            fixture.scheduler.endBatch();
            fixture.endAttempt(part, 1, AttemptOutcome.OK, 0.01);
            fixture.scheduler.endBatch();
        }
        fixture.updateEndpoints(SchedulerFixture.endpoint("b", EndpointState.DRAINING, 0));
        fixture.actions.clear();
        fixture.query(20, 6, 1.0);
        fixture.scheduler.endBatch();
        for (int i = 0; i < 3; i++) {
            assertEquals(i + 1, fixture.actions.sends.size(), fixture.actions.endings(20)::toString);
            assertEquals("a", fixture.actions.sends.get(i).endpointId());
            fixture.beginBatch(fixture.now + 0.01);
            fixture.endAttempt(2000, i, i < 2 ? AttemptOutcome.ERROR : AttemptOutcome.OK, 0.01);
            fixture.scheduler.endBatch();
        }
        assertEquals(List.of("answer 20 true"), fixture.actions.endings(20));
    }

    @Test
    void unreachableEndpointIsAvoidedUnlessItIsTheSoleReplica() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        String broken = fixture.actions.sends.get(0).endpointId();
        fixture.beginBatch(100.05);
        fixture.endAttempt(100, 0, AttemptOutcome.CONNECT_FAILED, 0.05);
        fixture.query(2, 6, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        assertTrue(fixture.actions.sends.stream()
                .skip(1)
                .noneMatch(attempt -> attempt.endpointId().equals(broken)));
        fixture.beginBatch(100.1);
        String other = broken.equals("a") ? "b" : "a";
        fixture.updateEndpoints(SchedulerFixture.endpoint(other, EndpointState.DRAINING, 0));
        fixture.actions.clear();
        fixture.query(3, 6, 1.0);
        fixture.scheduler.endBatch();
        assertEquals(
                List.of(broken),
                fixture.actions.sends.stream()
                        .map(RecordingActions.Sent::endpointId)
                        .distinct()
                        .toList());
    }

    @Test
    void queryWithOnlyEjectedReplicasIsRejectedAtOnceAndReplicasRecover() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.cells = 3;
        fixture.shards = 1;
        fixture.cancellation = false;
        fixture.start();
        fixture.scheduler.onEndpointList(
                EndpointListKind.CACHED,
                Stream.of("a0", "b0", "a1", "b1", "a2", "b2")
                        .map(n -> new Endpoint(n, 0, 0, n.charAt(1) - '0', EndpointState.HEALTHY, 1, 0))
                        .toList());
        fixture.scheduler.endBatch();
        fixture.serve(40, 0.15);
        int rejectedAtOnce = 0;
        for (int i = 1; i <= 40; i++) {
            fixture.query(i, 6, 1.0);
            fixture.scheduler.endBatch();
            rejectedAtOnce += fixture.actions.endings(i).size();
            fixture.sweep(fixture.now + 2.2);
            fixture.endAttempt(i * 100L, 0, AttemptOutcome.TIMEOUT, 2);
            fixture.scheduler.endBatch();
        }
        assertTrue(rejectedAtOnce >= 5, "queries rejected at once because all replicas are ejected: " + rejectedAtOnce);
        int answered = 0;
        for (int i = 101; i <= 120; i++) {
            fixture.query(i, 6, 1.0);
            fixture.scheduler.endBatch();
            fixture.beginBatch(fixture.now + 0.15);
            fixture.endAttempt(i * 100L, 0, AttemptOutcome.OK, 0.15);
            fixture.scheduler.endBatch();
            answered += fixture.actions.endings(i).contains("answer " + i + " true") ? 1 : 0;
            fixture.sweep(fixture.now + 2.2);
        }
        assertTrue(answered >= 15, "queries answered after the replicas have recovered: " + answered);
    }

    /**
     * Guards against rejecting a query whose replicas answered a part a moment ago, since they may answer the next one.
     */
    @Test
    void replicasWithOccasionalErrorsDoNotCauseRejection() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.cells = 3;
        fixture.shards = 1;
        fixture.start();
        fixture.scheduler.onEndpointList(
                EndpointListKind.CACHED,
                Stream.of("a0", "b0", "a1", "b1", "a2", "b2")
                        .map(n -> new Endpoint(n, 0, 0, n.charAt(1) - '0', EndpointState.HEALTHY, 1, 0))
                        .toList());
        fixture.scheduler.endBatch();
        fixture.serve(40, 0.15);
        fixture.query(1, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        fixture.beginBatch(fixture.now + 0.1);
        Set<String> answered = new HashSet<>();
        for (RecordingActions.Sent sent : List.copyOf(fixture.actions.sends)) {
            fixture.endAttempt(
                    sent.part(), 0, answered.add(sent.endpointId()) ? AttemptOutcome.OK : AttemptOutcome.ERROR, 0.1);
        }
        fixture.scheduler.endBatch();
        fixture.query(2, 6, 1.0);
        fixture.scheduler.endBatch();
        assertEquals(List.of(), fixture.actions.endings(2));
    }

    @Test
    void sharedFaultDoesNotConcentrateLoadOnRemainingEndpoints() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b", "c", "d");
        for (int i = 0; i < 4; i++) {
            long id = 1L + i;
            int before = fixture.actions.sends.size();
            fixture.query(id, 6, SchedulerFixture.equalWeights(4));
            fixture.scheduler.endBatch();
            List<RecordingActions.Sent> sent =
                    List.copyOf(fixture.actions.sends.subList(before, fixture.actions.sends.size()));
            fixture.beginBatch(fixture.now + 0.1);
            for (RecordingActions.Sent attempt : sent) {
                fixture.scheduler.onAttemptResult(new AttemptResult(
                        attempt.part(), 0, attempt.endpointId(), AttemptOutcome.RESET, 0.1, LoadReport.NONE));
            }
            fixture.scheduler.onQueryCancelled(id);
            fixture.scheduler.endBatch();
        }
        fixture.actions.clear();
        fixture.query(50, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        Map<String, Long> counts = fixture.actions.sends.stream()
                .collect(Collectors.groupingBy(RecordingActions.Sent::endpointId, Collectors.counting()));
        assertEquals(4, counts.size());
        assertTrue(counts.values().stream().allMatch(n -> n == 2), counts.toString());
    }

    @Test
    void overloadedEndpointIsRetriedOnlyAfterBackoff() {
        SchedulerFixture fixture = new SchedulerFixture().start("a");
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        fixture.beginBatch(100.005);
        fixture.endAttempt(100, 0, AttemptOutcome.OVERLOADED, 0.001);
        fixture.scheduler.endBatch();
        assertEquals(1, fixture.actions.sends.size(), "the endpoint is not retried at once");
        fixture.sweep(101);
        assertEquals(2, fixture.actions.sends.size(), "the endpoint is retried after its backoff");
    }

    @Test
    void ejectedEndpointIsTriedWithHedgedRequest() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.hedging = true;
        fixture.start("a", "b", "c");
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        String broken = fixture.actions.sends.get(0).endpointId();
        fixture.beginBatch(100.25);
        fixture.endAttempt(100, 0, AttemptOutcome.CONNECT_FAILED, 0.25);
        fixture.scheduler.onQueryCancelled(1);
        fixture.scheduler.endBatch();
        fixture.beginBatch(102);
        fixture.actions.clear();
        fixture.query(2, 6, 1.0);
        fixture.scheduler.endBatch();
        assertEquals(2, fixture.actions.sends.size());
        assertNotEquals(broken, fixture.actions.sends.get(0).endpointId());
        assertEquals(broken, fixture.actions.sends.get(1).endpointId());
    }
}
