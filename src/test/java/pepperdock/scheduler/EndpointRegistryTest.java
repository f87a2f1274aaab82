package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {

    @Test
    void nothingNewGoesToADrainingOrRemovedSearcher() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b", "c");
        scene.at(101);
        scene.change(
                SchedulerFixture.listed("a", EndpointState.DRAINING, 0),
                SchedulerFixture.listed("b", EndpointState.REMOVED, 0));
        scene.query(1, 6, SchedulerFixture.equal(6));
        scene.module.endBatch();
        assertEquals(
                List.of("c"),
                scene.did.sends.stream()
                        .map(RecordingActions.Sent::searcher)
                        .distinct()
                        .toList());
    }

    @Test
    void aSearcherMissingFromACompleteListIsGone() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.at(101);
        scene.module.onEndpointList(
                EndpointListKind.COMPLETE, List.of(SchedulerFixture.listed("b", EndpointState.HEALTHY, 0)));
        scene.query(1, 6, SchedulerFixture.equal(6));
        scene.module.endBatch();
        assertEquals(
                List.of("b"),
                scene.did.sends.stream()
                        .map(RecordingActions.Sent::searcher)
                        .distinct()
                        .toList());
    }

    /** A day of releases lists hundreds of searchers that never come back; each must be let go. */
    @Test
    void aSearcherThatIsGoneIsForgottenOnceItsPartsAreOver() {
        SchedulerFixture scene = new SchedulerFixture().start("a0");
        for (int i = 1; i <= 50; i++) {
            scene.at(scene.now + 0.1);
            scene.change(
                    SchedulerFixture.listed("a" + (i - 1), EndpointState.REMOVED, 0),
                    SchedulerFixture.listed("a" + i, EndpointState.HEALTHY, 0));
            scene.query(i, 6, 1.0);
            scene.module.endBatch();
        }
        assertEquals(50, ((AdaptiveScheduler) scene.module).endpointsKnown());
        scene.at(scene.now + 0.1);
        for (int i = 1; i <= 50; i++) {
            scene.end(i * 100L, 0, AttemptOutcome.OK, 0.1);
        }
        scene.change();
        scene.module.endBatch();
        assertEquals(1, ((AdaptiveScheduler) scene.module).endpointsKnown());
    }
}
