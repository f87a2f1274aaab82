package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SchedulerSettingsTest {

    @Test
    void invalidSettingsAreRejectedByName() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.maxAttempts = 0;
        var exception = assertThrows(IllegalArgumentException.class, fixture::settings);
        assertTrue(exception.getMessage().contains("maxAttempts"), exception.getMessage());
        fixture.maxAttempts = 1;
        fixture.minimumCoverage = 0;
        exception = assertThrows(IllegalArgumentException.class, fixture::settings);
        assertTrue(exception.getMessage().contains("floor"), exception.getMessage());
        fixture.minimumCoverage = 1;
        fixture.instances = 0;
        exception = assertThrows(IllegalArgumentException.class, fixture::settings);
        assertTrue(exception.getMessage().contains("instances"), exception.getMessage());
    }
}
