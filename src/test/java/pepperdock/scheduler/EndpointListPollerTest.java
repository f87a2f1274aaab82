package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EndpointListPollerTest {

    @Test
    void anUnreachableListIsAskedForAgainAndDoesNotStopService() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.mustAsk = true;
        scene.start("a");
        scene.sweep(100.4);
        assertEquals(1, scene.did.count("subscribe"));
        scene.at(100.5);
        scene.module.onEndpointList(EndpointListKind.FAILED, List.of());
        scene.query(1, 6, 1.0);
        scene.module.endBatch();
        assertEquals(1, scene.did.count("subscribe"), "not at once");
        assertEquals(1, scene.did.sends.size());
        scene.sweep(102);
        assertEquals(2, scene.did.count("subscribe"));
    }

    /**
     * Seen over 91 instances: 43 to 56 whose first calls failed together asked again together, and the same ones failed
     * again, three and four times. The list is one service; most calls of any tenth of a second must be few.
     */
    @Test
    void instancesThatStartAndFailTogetherDoNotAskForTheListTogether() {
        Map<Long, Integer> first = new HashMap<>();
        Map<Long, Integer> again = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.mustAsk = true;
            scene.instances = 100;
            scene.seed = i;
            scene.start("a");
            first.merge(tenthOfTheCall(scene, 1), 1, Integer::sum);
            scene.at(101);
            scene.module.onEndpointList(EndpointListKind.FAILED, List.of());
            scene.module.endBatch();
            again.merge(tenthOfTheCall(scene, 2), 1, Integer::sum);
        }
        assertTrue(first.values().stream().allMatch(n -> n < 40), first::toString);
        assertTrue(again.values().stream().allMatch(n -> n < 40), again::toString);
    }

    /** The tenth of a second in which an instance makes its so many'th call for the list. */
    private static long tenthOfTheCall(SchedulerFixture scene, int call) {
        double limit = scene.now + 5;
        while (scene.did.count("subscribe") < call && scene.now < limit) {
            scene.sweep(scene.now + 0.025);
        }
        assertEquals(call, scene.did.count("subscribe"));
        return Math.round(scene.now * 10);
    }
}
