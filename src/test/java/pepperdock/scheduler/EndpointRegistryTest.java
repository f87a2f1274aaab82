package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {

    @Test
    void drainingAndRemovedEndpointsReceiveNoAttempts() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b", "c");
        fixture.beginBatch(101);
        fixture.updateEndpoints(
                SchedulerFixture.endpoint("a", EndpointState.DRAINING, 0),
                SchedulerFixture.endpoint("b", EndpointState.REMOVED, 0));
        fixture.query(1, 6, SchedulerFixture.equalWeights(6));
        fixture.scheduler.endBatch();
        assertEquals(
                List.of("c"),
                fixture.actions.sends.stream()
                        .map(RecordingActions.Sent::endpointId)
                        .distinct()
                        .toList());
    }

    @Test
    void endpointMissingFromCompleteListIsRemoved() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.beginBatch(101);
        fixture.scheduler.onEndpointList(
                EndpointListKind.COMPLETE, List.of(SchedulerFixture.endpoint("b", EndpointState.HEALTHY, 0)));
        fixture.query(1, 6, SchedulerFixture.equalWeights(6));
        fixture.scheduler.endBatch();
        assertEquals(
                List.of("b"),
                fixture.actions.sends.stream()
                        .map(RecordingActions.Sent::endpointId)
                        .distinct()
                        .toList());
    }

    /** Guards against a leak of records: a day of releases lists hundreds of endpoints that never come back. */
    @Test
    void recordOfRemovedEndpointIsDroppedOnceItsAttemptsEnd() {
        SchedulerFixture fixture = new SchedulerFixture().start("a0");
        for (int i = 1; i <= 50; i++) {
            fixture.beginBatch(fixture.now + 0.1);
            fixture.updateEndpoints(
                    SchedulerFixture.endpoint("a" + (i - 1), EndpointState.REMOVED, 0),
                    SchedulerFixture.endpoint("a" + i, EndpointState.HEALTHY, 0));
            fixture.query(i, 6, 1.0);
            fixture.scheduler.endBatch();
        }
        assertEquals(50, ((AdaptiveScheduler) fixture.scheduler).knownEndpointCount());
        fixture.beginBatch(fixture.now + 0.1);
        for (int i = 1; i <= 50; i++) {
            fixture.endAttempt(i * 100L, 0, AttemptOutcome.OK, 0.1);
        }
        fixture.updateEndpoints();
        fixture.scheduler.endBatch();
        assertEquals(1, ((AdaptiveScheduler) fixture.scheduler).knownEndpointCount());
    }
}
