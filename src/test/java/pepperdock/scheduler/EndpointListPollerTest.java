package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EndpointListPollerTest {

    @Test
    void failedListCallIsRetriedLaterWhileServiceGoesOn() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.pollsEndpointList = true;
        fixture.start("a");
        fixture.sweep(100.4);
        assertEquals(1, fixture.actions.count("subscribe"));
        fixture.beginBatch(100.5);
        fixture.scheduler.onEndpointList(EndpointListKind.FAILED, List.of());
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        assertEquals(1, fixture.actions.count("subscribe"), "the call is not retried at once");
        assertEquals(1, fixture.actions.sends.size());
        fixture.sweep(102);
        assertEquals(2, fixture.actions.count("subscribe"));
    }

    /**
     * Guards against instances calling at the same time: discovery is one service, and calls that arrive together fail
     * together. No tenth of a second may contain most of the calls.
     */
    @Test
    void instancesSpreadFirstListCallsAndTheirRetries() {
        Map<Long, Integer> first = new HashMap<>();
        Map<Long, Integer> retries = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.pollsEndpointList = true;
            fixture.instances = 100;
            fixture.seed = i;
            fixture.start("a");
            first.merge(tenthOfSecondOfCall(fixture, 1), 1, Integer::sum);
            fixture.beginBatch(101);
            fixture.scheduler.onEndpointList(EndpointListKind.FAILED, List.of());
            fixture.scheduler.endBatch();
            retries.merge(tenthOfSecondOfCall(fixture, 2), 1, Integer::sum);
        }
        assertTrue(first.values().stream().allMatch(calls -> calls < 40), first::toString);
        assertTrue(retries.values().stream().allMatch(calls -> calls < 40), retries::toString);
    }

    /** Returns the tenth of a second in which an instance makes its call number {@code call} for the list. */
    private static long tenthOfSecondOfCall(SchedulerFixture fixture, int call) {
        double limit = fixture.now + 5;
        while (fixture.actions.count("subscribe") < call && fixture.now < limit) {
            fixture.sweep(fixture.now + 0.025);
        }
        assertEquals(call, fixture.actions.count("subscribe"));
        return Math.round(fixture.now * 10);
    }
}
