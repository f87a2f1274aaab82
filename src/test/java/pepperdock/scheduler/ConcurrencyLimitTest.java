package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    @Test
    void aRefusalAsFullSetsTheCeilingToTwoWholeQueriesAtLeast() {
        SchedulerFixture scene = SchedulerFixture.atTheCeiling(1);
        scene.query(3, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        assertEquals(17, scene.did.sends.size(), "the third query waits");
    }
}
