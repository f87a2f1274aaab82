package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.ManualClock;

/**
 * Each warm-up query must be answered: a query that is rejected or malformed would not warm the code of the query path.
 */
class JvmWarmupTest {

    @Test
    void everyQueryIsAnswered() {
        JvmWarmup warmup = new JvmWarmup(TestDeploymentSettings.small());
        assertEquals(JvmWarmup.QUERIES_BEFORE_READY, warmup.runQueries(JvmWarmup.QUERIES_BEFORE_READY));
        ManualClock loop = new ManualClock(0);
        warmup.runRemainingQueries(loop, () -> true);
        loop.advance(60);
        assertEquals(150, warmup.runQueries(0));
    }

    @Test
    void remainingQueriesAreSkippedWhileTheGathererIsBusy() {
        JvmWarmup warmup = new JvmWarmup(TestDeploymentSettings.small());
        ManualClock loop = new ManualClock(0);
        warmup.runRemainingQueries(loop, () -> false);
        loop.advance(60);
        assertEquals(0, warmup.runQueries(0));
        int[] idleChecks = {0};
        warmup.runRemainingQueries(loop, () -> idleChecks[0]++ > 1000);
        loop.advance(60);
        assertEquals(1, idleChecks[0]);
    }
}
