package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class IdleConnectionPolicyTest {

    /** Sends a query with the given number of parts. All endpoints but the silent ones answer in time. */
    private static void runQuery(SchedulerFixture fixture, long id, int parts, Set<String> silent) {
        int before = fixture.actions.sends.size();
        fixture.query(id, 6, SchedulerFixture.equalWeights(parts));
        fixture.scheduler.endBatch();
        List<RecordingActions.Sent> sent =
                List.copyOf(fixture.actions.sends.subList(before, fixture.actions.sends.size()));
        fixture.beginBatch(fixture.now + 0.15);
        sent.stream()
                .filter(attempt -> !silent.contains(attempt.endpointId()))
                .forEach(attempt -> fixture.scheduler.onAttemptResult(new AttemptResult(
                        attempt.part(), 0, attempt.endpointId(), AttemptOutcome.OK, 0.15, LoadReport.NONE)));
        fixture.scheduler.endBatch();
        fixture.sweep(fixture.now + 1.9);
        sent.stream()
                .filter(attempt -> silent.contains(attempt.endpointId()))
                .forEach(attempt -> fixture.scheduler.onAttemptResult(new AttemptResult(
                        attempt.part(), 0, attempt.endpointId(), AttemptOutcome.CANCELLED, 2, LoadReport.NONE)));
        fixture.scheduler.endBatch();
        fixture.sweep(fixture.now + 4);
    }

    /**
     * Returns a fixture after five queries that all endpoints answered, one that the given number of endpoints left
     * unanswered, and one that was just sent.
     */
    private static SchedulerFixture afterQueryWithSilentEndpoints(int silentCount) {
        SchedulerFixture fixture = new SchedulerFixture();
        String[] names = IntStream.range(0, 12).mapToObj(i -> "s" + i).toArray(String[]::new);
        fixture.start(names);
        for (int i = 1; i <= 5; i++) {
            runQuery(fixture, i, 12, Set.of());
        }
        runQuery(fixture, 6, 12, Set.of(Arrays.copyOf(names, silentCount)));
        fixture.actions.clear();
        fixture.query(7, 6, SchedulerFixture.equalWeights(12));
        fixture.scheduler.endBatch();
        return fixture;
    }

    @Test
    void silentlyDroppedIdleConnectionsAreClosedAndEndpointsNotEjected() {
        SchedulerFixture fixture = afterQueryWithSilentEndpoints(8);
        assertEquals(12, fixture.actions.count("close idle"));
        assertTrue(
                fixture.actions.recorded.get(0).startsWith("close idle"),
                "connections are closed before the attempts are sent");
        assertEquals(12, fixture.sentTo().size(), "every endpoint receives attempts");
    }

    @Test
    void fewSilentEndpointsAreNotTakenForDroppedConnections() {
        SchedulerFixture fixture = afterQueryWithSilentEndpoints(3);
        assertTrue(fixture.actions.count("close idle") <= 3, "connections are closed at most to the silent endpoints");
        assertTrue(fixture.sentTo().size() <= 11, "silent endpoints receive only trials: " + fixture.sentTo());
    }

    @Test
    void failedConnectResetsTheIdleLimit() {
        SchedulerFixture fixture = afterQueryWithSilentEndpoints(8);
        List<RecordingActions.Sent> sent = List.copyOf(fixture.actions.sends);
        fixture.beginBatch(fixture.now + 0.25);
        fixture.scheduler.onAttemptResult(new AttemptResult(
                sent.get(0).part(), 0, sent.get(0).endpointId(), AttemptOutcome.CONNECT_FAILED, 0.25, LoadReport.NONE));
        sent.stream()
                .skip(1)
                .forEach(attempt -> fixture.scheduler.onAttemptResult(new AttemptResult(
                        attempt.part(), 0, attempt.endpointId(), AttemptOutcome.OK, 0.25, LoadReport.NONE)));
        fixture.scheduler.onQueryCancelled(7);
        fixture.scheduler.endBatch();
        fixture.sweep(fixture.now + 5);
        fixture.actions.clear();
        fixture.query(8, 6, SchedulerFixture.equalWeights(12));
        fixture.scheduler.endBatch();
        assertEquals(0, fixture.actions.count("close idle"));
    }
}
