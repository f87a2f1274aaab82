package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    @Test
    void overloadResponseCutsLimitToTwoWholeQueries() {
        SchedulerFixture fixture = SchedulerFixture.atConcurrencyLimit(1);
        fixture.query(3, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        assertEquals(17, fixture.actions.sends.size(), "attempts sent; the third query is queued");
    }
}
