package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SchedulerSettingsTest {

    @Test
    void nonsensicalSettingsAreRejectedByName() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.maxAttempts = 0;
        var e = assertThrows(IllegalArgumentException.class, scene::settings);
        assertTrue(e.getMessage().contains("maxAttempts"), e.getMessage());
        scene.maxAttempts = 1;
        scene.floor = 0;
        e = assertThrows(IllegalArgumentException.class, scene::settings);
        assertTrue(e.getMessage().contains("floor"), e.getMessage());
        scene.floor = 1;
        scene.instances = 0;
        e = assertThrows(IllegalArgumentException.class, scene::settings);
        assertTrue(e.getMessage().contains("instances"), e.getMessage());
    }
}
