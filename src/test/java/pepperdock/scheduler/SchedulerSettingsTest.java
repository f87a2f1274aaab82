package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SchedulerSettingsTest {

    @Test
    void invalidSettingsAreRejectedByName() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.maxAttempts = 0;
        var e = assertThrows(IllegalArgumentException.class, fixture::settings);
        assertTrue(e.getMessage().contains("maxAttempts"), e.getMessage());
        fixture.maxAttempts = 1;
        fixture.minimumCoverage = 0;
        e = assertThrows(IllegalArgumentException.class, fixture::settings);
        assertTrue(e.getMessage().contains("floor"), e.getMessage());
        fixture.minimumCoverage = 1;
        fixture.instances = 0;
        e = assertThrows(IllegalArgumentException.class, fixture::settings);
        assertTrue(e.getMessage().contains("instances"), e.getMessage());
    }
}
