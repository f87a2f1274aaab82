package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlowStartTest {

    @Test
    void warmingEndpointStaysWithinItsAllowance() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.instances = 2;
        fixture.start("a");
        fixture.serve(80, 0.1);
        double startedAt = fixture.now;
        fixture.updateEndpoints(SchedulerFixture.endpoint("a", EndpointState.HEALTHY, startedAt));
        fixture.query(1, 6, SchedulerFixture.equalWeights(40));
        fixture.scheduler.endBatch();
        fixture.sweep(startedAt + 0.95);
        // The allowance is 2 x 0.2 to 0.28 of ten parts a second, halved between two instances.
        assertTrue(
                fixture.actions.sends.size() <= 2,
                "attempts sent in the first second, expected at most 2: " + fixture.actions.sends.size());
        assertTrue(!fixture.actions.sends.isEmpty(), "the only replica is used");
    }

    @Test
    void allowanceDoesNotShrinkWhenPartsQueue() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.start("a", "b");
            fixture.serve(120, 0.05);
            if (i == 1) {
                fixture.serve(40, 0.5);
            }
            double startedAt = fixture.now;
            fixture.updateEndpoints(SchedulerFixture.endpoint("a", EndpointState.HEALTHY, startedAt));
            fixture.query(1, 6, SchedulerFixture.equalWeights(40));
            fixture.scheduler.endBatch();
            sent[i] = (int) fixture.actions.sends.stream()
                    .filter(attempt -> attempt.endpointId().equals("a"))
                    .count();
        }
        assertTrue(sent[0] >= 2, "attempts sent to the endpoint that warms up, expected at least 2: " + sent[0]);
        assertTrue(
                sent[1] >= sent[0] / 2,
                "attempts sent after parts queued: " + sent[1] + ", expected at least half of " + sent[0]);
    }

    @Test
    void noSlowStartWithoutOverloadWindow() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.warmUpOverloadWindowS = 0;
        fixture.start("a");
        fixture.updateEndpoints(SchedulerFixture.endpoint("a", EndpointState.HEALTHY, fixture.now));
        fixture.query(1, 6, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        assertEquals(4, fixture.actions.sends.size());
    }

    /**
     * Guards against drawing the random wait at the first part, after which an instance with little traffic would never
     * send one.
     */
    @Test
    void randomWaitBeginsWhenTheStartIsLearnt() {
        int used = 0;
        for (int seed = 0; seed < 20; seed++) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.instances = 20;
            fixture.seed = seed;
            fixture.start("a");
            fixture.serve(20, 0.1);
            double startedAt = fixture.now;
            fixture.updateEndpoints(SchedulerFixture.endpoint("a", EndpointState.HEALTHY, startedAt));
            fixture.scheduler.endBatch();
            fixture.beginBatch(startedAt + 7);
            fixture.query(1, 6, 1.0);
            fixture.scheduler.endBatch();
            used += fixture.actions.sends.size();
        }
        // The twenty instances together were allowed about fifty parts by then.
        assertEquals(20, used);
    }
}
