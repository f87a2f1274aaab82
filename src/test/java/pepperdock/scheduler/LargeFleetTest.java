package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Decisions in large fleets: sparse evidence, ways between zones, loads that no ceiling bounds. */
class LargeFleetTest {

    /** Sends a query of so many parts and ends each attempt: parts at the searchers named late, all others in time. */
    private static void round(SchedulerFixture scene, long id, int parts, double lateS, String... late) {
        int before = scene.did.sends.size();
        scene.query(id, 6, SchedulerFixture.equal(parts));
        scene.module.endBatch();
        List<RecordingActions.Sent> sent = List.copyOf(scene.did.sends.subList(before, scene.did.sends.size()));
        double start = scene.now;
        scene.at(start + 0.15);
        for (RecordingActions.Sent s : sent) {
            if (!List.of(late).contains(s.searcher())) {
                scene.module.onAttemptResult(
                        new AttemptResult(s.part(), 0, s.searcher(), AttemptOutcome.OK, 0.15, LoadReport.NONE));
            }
        }
        scene.module.endBatch();
        scene.sweep(start + lateS);
        scene.at(start + lateS + 0.005);
        for (RecordingActions.Sent s : sent) {
            if (List.of(late).contains(s.searcher())) {
                scene.module.onAttemptResult(
                        new AttemptResult(s.part(), 0, s.searcher(), AttemptOutcome.OK, lateS, LoadReport.NONE));
            }
        }
        scene.module.onQueryCancelled(id);
        scene.module.endBatch();
    }

    @Test
    void aSlowHalfOfTheHoldersIsPassedOverThoughTheMeanFollowsIt() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.cancel = false;
        scene.start("a", "b", "c", "d");
        scene.serve(40, 4, 0.15);
        for (int i = 1; i <= 12; i++) {
            round(scene, i, 8, 1.5, "c", "d");
        }
        scene.did.clear();
        scene.query(50, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        long slow = scene.counts().getOrDefault("c", 0L) + scene.counts().getOrDefault("d", 0L);
        assertTrue(slow <= 2, "no more than trials: " + scene.counts());
    }

    @Test
    void aBadWayToACentreIsFoundAtSomeSearchersAndKnownOfAll() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.cancel = false;
        scene.start();
        scene.module.onEndpointList(
                EndpointListKind.CACHED,
                java.util.stream.Stream.of("n1", "n2", "f1", "f2")
                        .map(n -> new Endpoint(n, n.startsWith("f") ? 1 : 0, 0, 0, EndpointState.HEALTHY, 1, 0))
                        .toList());
        scene.module.endBatch();
        scene.serve(40, 4, 0.15);
        for (int i = 1; i <= 8; i++) {
            round(scene, i, 8, 1.5, "f1", "f2");
        }
        scene.module.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(
                        new Endpoint("n3", 0, 0, 0, EndpointState.HEALTHY, 1, 0),
                        new Endpoint("f3", 1, 0, 0, EndpointState.HEALTHY, 1, 0)));
        scene.did.clear();
        for (int i = 51; i <= 53; i++) {
            scene.query(i, 6, SchedulerFixture.equal(4));
        }
        scene.module.endBatch();
        assertTrue(scene.counts().getOrDefault("n3", 0L) >= 3, scene.counts().toString());
        assertTrue(scene.counts().getOrDefault("f3", 0L) <= 1, "never met, but behind the bad way: " + scene.counts());
    }

    @Test
    void oneLostAnswerMakesASuspectWhenQueuesCannotExplainIt() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.cancel = false;
        scene.start("a", "b", "c");
        scene.serve(100, 3, 0.15);
        scene.query(1, 6, 1.0);
        scene.module.endBatch();
        String mute = scene.did.sends.get(0).searcher();
        double sent = scene.now;
        for (int i = 0; i < 8; i++) {
            scene.sweep(sent + 0.2 * (i + 1));
            String before = mute;
            int n = scene.did.sends.size();
            scene.query(10 + i, 6, SchedulerFixture.equal(3));
            scene.module.endBatch();
            scene.at(scene.now + 0.1);
            for (RecordingActions.Sent s : List.copyOf(scene.did.sends.subList(n, scene.did.sends.size()))) {
                if (!s.searcher().equals(before)) {
                    scene.module.onAttemptResult(
                            new AttemptResult(s.part(), 0, s.searcher(), AttemptOutcome.OK, 0.1, LoadReport.NONE));
                }
            }
            scene.module.onQueryCancelled(10 + i);
            scene.module.endBatch();
        }
        scene.did.clear();
        scene.query(50, 6, SchedulerFixture.equal(6));
        scene.module.endBatch();
        assertTrue(scene.counts().getOrDefault(mute, 0L) <= 1, scene.counts().toString());
    }

    @Test
    void manySuspectsAreTriedAFewPartsAtATime() {
        SchedulerFixture scene = new SchedulerFixture();
        String[] names =
                java.util.stream.IntStream.range(0, 20).mapToObj(i -> "s" + i).toArray(String[]::new);
        scene.start(names);
        scene.query(1, 6, SchedulerFixture.equal(20));
        scene.module.endBatch();
        List<RecordingActions.Sent> sent = List.copyOf(scene.did.sends);
        scene.at(100.1);
        for (RecordingActions.Sent s : sent) {
            boolean sound = Integer.parseInt(s.searcher().substring(1)) >= 10;
            scene.module.onAttemptResult(new AttemptResult(
                    s.part(),
                    0,
                    s.searcher(),
                    sound ? AttemptOutcome.OK : AttemptOutcome.CONNECT_FAILED,
                    0.1,
                    LoadReport.NONE));
        }
        scene.module.onQueryCancelled(1);
        scene.module.endBatch();
        scene.at(120);
        scene.did.clear();
        scene.query(2, 6, SchedulerFixture.equal(20));
        scene.module.endBatch();
        long trials = scene.did.sends.stream()
                .filter(s -> Integer.parseInt(s.searcher().substring(1)) < 10)
                .count();
        assertTrue(trials >= 1 && trials <= 3, "trials in one query: " + trials);
    }

    @Test
    void partsWithoutAFitHolderAreLeftOutWhereTheFloorAllows() {
        for (double floor : new double[] {0.6, 1}) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.floor = floor;
            scene.start();
            SchedulerSettings one = scene.settings();
            scene.module = Scheduler.create(
                    new SchedulerSettings(
                            1,
                            0,
                            one.tickS(),
                            false,
                            one.classes(),
                            List.of(),
                            1,
                            List.of(),
                            new ReplicaLayout(4, 4, 1, 1),
                            one.limits(),
                            one.rules()),
                    7,
                    scene.did);
            scene.at(100);
            scene.module.onEndpointList(
                    EndpointListKind.CACHED,
                    java.util.stream.IntStream.range(0, 4)
                            .mapToObj(i -> new Endpoint("s" + i, 0, 0, i, EndpointState.HEALTHY, 1, 0))
                            .toList());
            scene.module.endBatch();
            scene.query(1, 6, SchedulerFixture.equal(4));
            scene.module.endBatch();
            scene.at(100.1);
            for (int i = 0; i < 4; i++) {
                scene.end(100 + i, 0, i == 3 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK, 0.1);
            }
            scene.module.onQueryCancelled(1);
            scene.did.clear();
            scene.query(2, 6, SchedulerFixture.equal(4));
            scene.module.endBatch();
            assertEquals(floor < 1 ? List.of(200L, 201L, 202L) : List.of(), scene.did.sentParts(), "floor " + floor);
            assertEquals(floor < 1 ? List.of() : List.of("refuse 2"), scene.did.endings(2), "floor " + floor);
        }
    }

    @Test
    void arrivalsAreThinnedWhilePartsAreSlowAndServedAgainWhenTheyAreNot() {
        SchedulerFixture scene = new SchedulerFixture().start("a", "b");
        scene.serve(60, 8, 1.7);
        for (int i = 1; i <= 40; i++) {
            scene.query(i, 6, 1.0);
            scene.module.endBatch();
        }
        long refused = scene.did.count("refuse");
        assertTrue(refused >= 20 && refused < 40, "refused: " + refused);
        for (long part : scene.did.sentParts()) {
            scene.end(part, 0, AttemptOutcome.OK, 0.1);
        }
        scene.module.endBatch();
        for (int i = 0; i < 12; i++) {
            scene.serve(60, 1, 0.1);
        }
        for (int i = 100; i < 120; i++) {
            scene.query(i, 6, 1.0);
            scene.module.endBatch();
            scene.at(scene.now + 0.1);
            scene.end(i * 100L, 0, AttemptOutcome.OK, 0.1);
            scene.module.endBatch();
        }
        assertEquals(0, scene.did.count("refuse"));
    }

    @Test
    void whileArrivalsAreThinnedATenantBeyondItsShareIsTurnedAwayFirst() {
        long[] refused = new long[2];
        for (int tenant = 0; tenant < 2; tenant++) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.tenantRates = List.of(1000.0, 0.5);
            scene.tenant = tenant;
            scene.start("a", "b");
            scene.serve(4, 8, 1.7);
            for (int i = 1; i <= 60; i++) {
                scene.query(i, 6, 1.0);
                scene.module.endBatch();
                scene.end(i * 100L, 0, AttemptOutcome.OK, 1.2);
            }
            refused[tenant] = scene.did.count("refuse");
        }
        assertTrue(refused[0] > 0 && refused[1] > 1.5 * refused[0], refused[0] + " and " + refused[1]);
        SchedulerFixture idle = new SchedulerFixture();
        idle.tenantRates = List.of(0.5);
        idle.start("a", "b");
        for (int i = 1; i <= 20; i++) {
            idle.query(i, 6, 1.0);
            idle.module.endBatch();
        }
        assertEquals(0, idle.did.count("refuse"), "no effect while there is room");
    }

    @Test
    void aClockThatJumpsCondemnsNobody() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.lateWorth = 0.3;
        scene.start("a", "b", "c");
        scene.serve(60, 3, 0.15);
        scene.query(1, 6, SchedulerFixture.equal(3));
        scene.module.endBatch();
        scene.at(scene.now + 1.5);
        scene.module.onTimer("sweep");
        for (long part : SchedulerFixture.parts(1, 3)) {
            scene.end(part, 0, AttemptOutcome.OK, 1.5);
        }
        scene.module.endBatch();
        assertEquals(List.of("answer 1 true"), scene.did.endings(1));
        scene.did.clear();
        scene.query(2, 6, SchedulerFixture.equal(9));
        scene.module.endBatch();
        assertEquals(Map.of("a", 3L, "b", 3L, "c", 3L), scene.counts());
        scene.at(scene.now + 1e6);
        scene.module.onTimer("sweep");
        scene.module.endBatch();
        assertEquals(List.of("refuse 2"), scene.did.endings(2));
    }

    @Test
    void manyInstancesTogetherKeepAColdSearcherWithinItsAllowance() {
        long sent = 0;
        for (int i = 0; i < 60; i++) {
            SchedulerFixture scene = new SchedulerFixture();
            scene.instances = 60;
            scene.seed = i;
            scene.start("warm", "cold");
            scene.serve(20, 0.15);
            scene.change(SchedulerFixture.listed("cold", EndpointState.HEALTHY, scene.now));
            double end = scene.now + 1;
            for (int n = 0; scene.now < end; n++) {
                scene.query(1000 + n, 6, 1.0);
                scene.module.endBatch();
                scene.at(scene.now + 0.1);
                scene.end((1000 + n) * 100L, 0, AttemptOutcome.OK, 0.1);
                scene.module.endBatch();
            }
            sent += scene.counts().getOrDefault("cold", 0L);
        }
        // Twice a fifth of what one core does in the second at 0.1 s a part, and what chance and safety leave of it.
        assertTrue(sent <= 8, "sent by all in the first second: " + sent);
    }

    /** The operators' bound on what a cold searcher gets, N + 2 root N + 2, under instances that all have parts for it at all times. */
    @Test
    void instancesThatAllWantAColdSearcherKeepItWithinTheBoundOverItsWholeWarmUp() {
        double partS = 0.1;
        for (int instances : new int[] {2, 20, 30, 100}) {
            List<Double> sends = new ArrayList<>();
            double boot = 0;
            for (int i = 0; i < instances; i++) {
                SchedulerFixture scene = new SchedulerFixture();
                scene.instances = instances;
                scene.seed = i;
                scene.start("cold");
                scene.serve(20, partS);
                boot = scene.now;
                scene.change(SchedulerFixture.listed("cold", EndpointState.HEALTHY, boot));
                for (long n = 1; scene.now < boot + 10; n++) {
                    int before = scene.did.sends.size();
                    scene.query(n, 6, 1.0);
                    scene.module.endBatch();
                    if (scene.did.sends.size() > before) {
                        sends.add(scene.now);
                    }
                    scene.at(scene.now + partS);
                    scene.end(n * 100, 0, AttemptOutcome.OK, partS);
                    scene.module.onQueryCancelled(n);
                    scene.module.endBatch();
                }
            }
            sends.sort(null);
            for (int last = 0, first = 0; last < sends.size(); last++) {
                double at = sends.get(last);
                while (sends.get(first) <= at - 1) {
                    first++;
                }
                double allowed = 2 * (0.2 + 0.8 * (at - boot) / 10) / partS;
                double bound = allowed + 2 * Math.sqrt(allowed) + 2;
                int got = last - first + 1;
                assertTrue(got <= bound, instances + " instances, " + (at - boot) + " s: " + got + " of " + bound);
            }
            assertTrue(sends.size() > 60, instances + " instances starve it: " + sends.size() + " of some 108");
        }
    }

    @Test
    void largeListsUnknownCentresAndSearchersThatMoveAreHandled() {
        SchedulerFixture scene = new SchedulerFixture();
        scene.start();
        SchedulerSettings one = scene.settings();
        scene.module = Scheduler.create(
                new SchedulerSettings(
                        1,
                        0,
                        one.tickS(),
                        false,
                        one.classes(),
                        List.of(),
                        1,
                        List.of(),
                        new ReplicaLayout(2, 2, 1, 1),
                        one.limits(),
                        one.rules()),
                7,
                scene.did);
        scene.at(100);
        scene.module.onEndpointList(
                EndpointListKind.COMPLETE,
                java.util.stream.IntStream.range(0, 600)
                        .mapToObj(i -> new Endpoint("s" + i, 99, 0, i % 2, EndpointState.HEALTHY, 1, 0))
                        .toList());
        scene.module.endBatch();
        scene.query(1, 6, SchedulerFixture.equal(4));
        scene.module.endBatch();
        assertEquals(4, scene.counts().size(), "four different searchers of six hundred");
        scene.module.onQueryCancelled(1);
        scene.module.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        new Endpoint("s0", 0, 0, 1, EndpointState.HEALTHY, 1, 0),
                        new Endpoint("s1", -1, 0, 0, EndpointState.HEALTHY, 1, 0)));
        scene.did.clear();
        scene.query(2, 6, 0.5, 0.5);
        scene.module.endBatch();
        Map<Long, String> to = scene.did.sends.stream()
                .collect(Collectors.toMap(RecordingActions.Sent::part, RecordingActions.Sent::searcher));
        assertEquals(Map.of(200L, "s1", 201L, "s0"), to, "each holds the other's shard now");
        scene.module.onQueryCancelled(2);
        scene.module.onEndpointList(EndpointListKind.COMPLETE, List.of());
        scene.did.clear();
        scene.query(3, 6, 0.5, 0.5);
        scene.module.endBatch();
        assertEquals(List.of("refuse 3"), scene.did.endings(3), "nobody holds anything");
    }
}
