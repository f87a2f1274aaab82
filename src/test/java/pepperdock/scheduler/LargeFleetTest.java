package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests decisions in large fleets: sparse evidence, paths between zones, loads that no concurrency limit bounds. */
class LargeFleetTest {

    /** Sends a query of {@code parts} parts and ends each attempt: late at the endpoints named, in time at others. */
    private static void runQuery(SchedulerFixture fixture, long id, int parts, double lateS, String... late) {
        int before = fixture.actions.sends.size();
        fixture.query(id, 6, SchedulerFixture.equalWeights(parts));
        fixture.scheduler.endBatch();
        List<RecordingActions.Sent> sent =
                List.copyOf(fixture.actions.sends.subList(before, fixture.actions.sends.size()));
        double start = fixture.now;
        fixture.beginBatch(start + 0.15);
        for (RecordingActions.Sent send : sent) {
            if (!List.of(late).contains(send.endpointId())) {
                fixture.scheduler.onAttemptResult(
                        new AttemptResult(send.part(), 0, send.endpointId(), AttemptOutcome.OK, 0.15, LoadReport.NONE));
            }
        }
        fixture.scheduler.endBatch();
        fixture.sweep(start + lateS);
        fixture.beginBatch(start + lateS + 0.005);
        for (RecordingActions.Sent send : sent) {
            if (List.of(late).contains(send.endpointId())) {
                fixture.scheduler.onAttemptResult(new AttemptResult(
                        send.part(), 0, send.endpointId(), AttemptOutcome.OK, lateS, LoadReport.NONE));
            }
        }
        fixture.scheduler.onQueryCancelled(id);
        fixture.scheduler.endBatch();
    }

    @Test
    void slowHalfOfReplicasIsAvoidedThoughTheMeanFollowsIt() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.cancellation = false;
        fixture.start("a", "b", "c", "d");
        fixture.serve(40, 4, 0.15);
        for (int i = 1; i <= 12; i++) {
            runQuery(fixture, i, 8, 1.5, "c", "d");
        }
        fixture.actions.clear();
        fixture.query(50, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        long slow = fixture.sentTo().getOrDefault("c", 0L) + fixture.sentTo().getOrDefault("d", 0L);
        assertTrue(slow <= 2, "slow endpoints receive only trials: " + fixture.sentTo());
    }

    @Test
    void degradedZonePathDetectedAtSomeEndpointsAppliesToAll() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.cancellation = false;
        fixture.start();
        fixture.scheduler.onEndpointList(
                EndpointListKind.CACHED,
                java.util.stream.Stream.of("n1", "n2", "f1", "f2")
                        .map(n -> new Endpoint(n, n.startsWith("f") ? 1 : 0, 0, 0, EndpointState.HEALTHY, 1, 0))
                        .toList());
        fixture.scheduler.endBatch();
        fixture.serve(40, 4, 0.15);
        for (int i = 1; i <= 8; i++) {
            runQuery(fixture, i, 8, 1.5, "f1", "f2");
        }
        fixture.scheduler.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(
                        new Endpoint("n3", 0, 0, 0, EndpointState.HEALTHY, 1, 0),
                        new Endpoint("f3", 1, 0, 0, EndpointState.HEALTHY, 1, 0)));
        fixture.actions.clear();
        for (int i = 51; i <= 53; i++) {
            fixture.query(i, 6, SchedulerFixture.equalWeights(4));
        }
        fixture.scheduler.endBatch();
        assertTrue(
                fixture.sentTo().getOrDefault("n3", 0L) >= 3, fixture.sentTo().toString());
        assertTrue(
                fixture.sentTo().getOrDefault("f3", 0L) <= 1, "new, but behind a degraded path: " + fixture.sentTo());
    }

    @Test
    void oneLostAnswerEjectsWhenQueueingCannotExplainIt() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.cancellation = false;
        fixture.start("a", "b", "c");
        fixture.serve(100, 3, 0.15);
        fixture.query(1, 6, 1.0);
        fixture.scheduler.endBatch();
        String silent = fixture.actions.sends.get(0).endpointId();
        double sent = fixture.now;
        for (int i = 0; i < 8; i++) {
            fixture.sweep(sent + 0.2 * (i + 1));
            String excluded = silent;
            int first = fixture.actions.sends.size();
            fixture.query(10 + i, 6, SchedulerFixture.equalWeights(3));
            fixture.scheduler.endBatch();
            fixture.beginBatch(fixture.now + 0.1);
            for (RecordingActions.Sent send :
                    List.copyOf(fixture.actions.sends.subList(first, fixture.actions.sends.size()))) {
                if (!send.endpointId().equals(excluded)) {
                    fixture.scheduler.onAttemptResult(new AttemptResult(
                            send.part(), 0, send.endpointId(), AttemptOutcome.OK, 0.1, LoadReport.NONE));
                }
            }
            fixture.scheduler.onQueryCancelled(10 + i);
            fixture.scheduler.endBatch();
        }
        fixture.actions.clear();
        fixture.query(50, 6, SchedulerFixture.equalWeights(6));
        fixture.scheduler.endBatch();
        assertTrue(
                fixture.sentTo().getOrDefault(silent, 0L) <= 1, fixture.sentTo().toString());
    }

    @Test
    void trialsOfManyEjectedEndpointsAreBounded() {
        SchedulerFixture fixture = new SchedulerFixture();
        String[] names =
                java.util.stream.IntStream.range(0, 20).mapToObj(i -> "s" + i).toArray(String[]::new);
        fixture.start(names);
        fixture.query(1, 6, SchedulerFixture.equalWeights(20));
        fixture.scheduler.endBatch();
        List<RecordingActions.Sent> sent = List.copyOf(fixture.actions.sends);
        fixture.beginBatch(100.1);
        for (RecordingActions.Sent send : sent) {
            boolean healthy = Integer.parseInt(send.endpointId().substring(1)) >= 10;
            fixture.scheduler.onAttemptResult(new AttemptResult(
                    send.part(),
                    0,
                    send.endpointId(),
                    healthy ? AttemptOutcome.OK : AttemptOutcome.CONNECT_FAILED,
                    0.1,
                    LoadReport.NONE));
        }
        fixture.scheduler.onQueryCancelled(1);
        fixture.scheduler.endBatch();
        fixture.beginBatch(120);
        fixture.actions.clear();
        fixture.query(2, 6, SchedulerFixture.equalWeights(20));
        fixture.scheduler.endBatch();
        long trials = fixture.actions.sends.stream()
                .filter(send -> Integer.parseInt(send.endpointId().substring(1)) < 10)
                .count();
        assertTrue(trials >= 1 && trials <= 3, "trials in one query, expected 1 to 3: " + trials);
    }

    @Test
    void partsWithoutAvailableReplicaAreLeftOutWithinMinimumCoverage() {
        for (double min : new double[] {0.6, 1}) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.minimumCoverage = min;
            fixture.start();
            SchedulerSettings base = fixture.settings();
            fixture.scheduler = Scheduler.create(
                    new SchedulerSettings(
                            1,
                            0,
                            base.tickS(),
                            false,
                            base.classes(),
                            List.of(),
                            1,
                            List.of(),
                            new ReplicaLayout(4, 4, 1, 1),
                            base.limits(),
                            base.rules()),
                    7,
                    fixture.actions);
            fixture.beginBatch(100);
            fixture.scheduler.onEndpointList(
                    EndpointListKind.CACHED,
                    java.util.stream.IntStream.range(0, 4)
                            .mapToObj(i -> new Endpoint("s" + i, 0, 0, i, EndpointState.HEALTHY, 1, 0))
                            .toList());
            fixture.scheduler.endBatch();
            fixture.query(1, 6, SchedulerFixture.equalWeights(4));
            fixture.scheduler.endBatch();
            fixture.beginBatch(100.1);
            for (int i = 0; i < 4; i++) {
                fixture.endAttempt(100 + i, 0, i == 3 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK, 0.1);
            }
            fixture.scheduler.onQueryCancelled(1);
            fixture.actions.clear();
            fixture.query(2, 6, SchedulerFixture.equalWeights(4));
            fixture.scheduler.endBatch();
            assertEquals(
                    min < 1 ? List.of(200L, 201L, 202L) : List.of(), fixture.actions.sentParts(), "minimum " + min);
            assertEquals(min < 1 ? List.of() : List.of("reject 2"), fixture.actions.endings(2), "minimum " + min);
        }
    }

    @Test
    void arrivalsAreShedWhilePartsAreSlowAndServedAgainLater() {
        SchedulerFixture fixture = new SchedulerFixture().start("a", "b");
        fixture.serve(60, 8, 1.7);
        for (int i = 1; i <= 40; i++) {
            fixture.query(i, 6, 1.0);
            fixture.scheduler.endBatch();
        }
        long rejected = fixture.actions.count("reject");
        assertTrue(rejected >= 20 && rejected < 40, "rejected, expected 20 to 39: " + rejected);
        for (long part : fixture.actions.sentParts()) {
            fixture.endAttempt(part, 0, AttemptOutcome.OK, 0.1);
        }
        fixture.scheduler.endBatch();
        for (int i = 0; i < 12; i++) {
            fixture.serve(60, 1, 0.1);
        }
        for (int i = 100; i < 120; i++) {
            fixture.query(i, 6, 1.0);
            fixture.scheduler.endBatch();
            fixture.beginBatch(fixture.now + 0.1);
            fixture.endAttempt(i * 100L, 0, AttemptOutcome.OK, 0.1);
            fixture.scheduler.endBatch();
        }
        assertEquals(0, fixture.actions.count("reject"));
    }

    @Test
    void tenantsOverQuotaAreShedFirst() {
        long[] rejected = new long[2];
        for (int tenant = 0; tenant < 2; tenant++) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.tenantRates = List.of(1000.0, 0.5);
            fixture.tenant = tenant;
            fixture.start("a", "b");
            fixture.serve(4, 8, 1.7);
            for (int i = 1; i <= 60; i++) {
                fixture.query(i, 6, 1.0);
                fixture.scheduler.endBatch();
                fixture.endAttempt(i * 100L, 0, AttemptOutcome.OK, 1.2);
            }
            rejected[tenant] = fixture.actions.count("reject");
        }
        assertTrue(rejected[0] > 0 && rejected[1] > 1.5 * rejected[0], rejected[0] + " and " + rejected[1]);
        SchedulerFixture idle = new SchedulerFixture();
        idle.tenantRates = List.of(0.5);
        idle.start("a", "b");
        for (int i = 1; i <= 20; i++) {
            idle.query(i, 6, 1.0);
            idle.scheduler.endBatch();
        }
        assertEquals(0, idle.actions.count("reject"), "the quota has no effect while no load is shed");
    }

    @Test
    void clockJumpEjectsNoEndpoint() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.lateAnswerWeight = 0.3;
        fixture.start("a", "b", "c");
        fixture.serve(60, 3, 0.15);
        fixture.query(1, 6, SchedulerFixture.equalWeights(3));
        fixture.scheduler.endBatch();
        fixture.beginBatch(fixture.now + 1.5);
        fixture.scheduler.onTimer("sweep");
        for (long part : SchedulerFixture.partIds(1, 3)) {
            fixture.endAttempt(part, 0, AttemptOutcome.OK, 1.5);
        }
        fixture.scheduler.endBatch();
        assertEquals(List.of("answer 1 true"), fixture.actions.endings(1));
        fixture.actions.clear();
        fixture.query(2, 6, SchedulerFixture.equalWeights(9));
        fixture.scheduler.endBatch();
        assertEquals(Map.of("a", 3L, "b", 3L, "c", 3L), fixture.sentTo());
        fixture.beginBatch(fixture.now + 1e6);
        fixture.scheduler.onTimer("sweep");
        fixture.scheduler.endBatch();
        assertEquals(List.of("reject 2"), fixture.actions.endings(2));
    }

    @Test
    void manyInstancesKeepWarmingEndpointWithinItsAllowance() {
        long sent = 0;
        for (int i = 0; i < 60; i++) {
            SchedulerFixture fixture = new SchedulerFixture();
            fixture.instances = 60;
            fixture.seed = i;
            fixture.start("warm", "cold");
            fixture.serve(20, 0.15);
            fixture.updateEndpoints(SchedulerFixture.endpoint("cold", EndpointState.HEALTHY, fixture.now));
            double end = fixture.now + 1;
            for (int n = 0; fixture.now < end; n++) {
                fixture.query(1000 + n, 6, 1.0);
                fixture.scheduler.endBatch();
                fixture.beginBatch(fixture.now + 0.1);
                fixture.endAttempt((1000 + n) * 100L, 0, AttemptOutcome.OK, 0.1);
                fixture.scheduler.endBatch();
            }
            sent += fixture.sentTo().getOrDefault("cold", 0L);
        }
        // Twice a fifth of the ten parts of 0.1 s that a core serves a second, changed by random waits and the margin.
        assertTrue(sent <= 8, "attempts sent by all instances in the first second: " + sent);
    }

    /**
     * Checks the protocol's bound on parts sent in a warm-up, N + 2 sqrt(N) + 2, while all instances have parts for it.
     */
    @Test
    void busyInstancesStayWithinTheBoundOverTheWholeWarmUp() {
        double partS = 0.1;
        for (int instances : new int[] {2, 20, 30, 100}) {
            List<Double> sends = new ArrayList<>();
            double start = 0;
            for (int i = 0; i < instances; i++) {
                SchedulerFixture fixture = new SchedulerFixture();
                fixture.instances = instances;
                fixture.seed = i;
                fixture.start("cold");
                fixture.serve(20, partS);
                start = fixture.now;
                fixture.updateEndpoints(SchedulerFixture.endpoint("cold", EndpointState.HEALTHY, start));
                for (long n = 1; fixture.now < start + 10; n++) {
                    int before = fixture.actions.sends.size();
                    fixture.query(n, 6, 1.0);
                    fixture.scheduler.endBatch();
                    if (fixture.actions.sends.size() > before) {
                        sends.add(fixture.now);
                    }
                    fixture.beginBatch(fixture.now + partS);
                    fixture.endAttempt(n * 100, 0, AttemptOutcome.OK, partS);
                    fixture.scheduler.onQueryCancelled(n);
                    fixture.scheduler.endBatch();
                }
            }
            sends.sort(null);
            for (int last = 0, first = 0; last < sends.size(); last++) {
                double time = sends.get(last);
                while (sends.get(first) <= time - 1) {
                    first++;
                }
                double allowed = 2 * (0.2 + 0.8 * (time - start) / 10) / partS;
                double bound = allowed + 2 * Math.sqrt(allowed) + 2;
                int sent = last - first + 1;
                assertTrue(sent <= bound, instances + " instances, " + (time - start) + " s: " + sent + " of " + bound);
            }
            assertTrue(sends.size() > 60, instances + " instances send too few: " + sends.size() + " of about 108");
        }
    }

    @Test
    void largeListsUnknownZonesAndMovedEndpointsAreHandled() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.start();
        SchedulerSettings base = fixture.settings();
        fixture.scheduler = Scheduler.create(
                new SchedulerSettings(
                        1,
                        0,
                        base.tickS(),
                        false,
                        base.classes(),
                        List.of(),
                        1,
                        List.of(),
                        new ReplicaLayout(2, 2, 1, 1),
                        base.limits(),
                        base.rules()),
                7,
                fixture.actions);
        fixture.beginBatch(100);
        fixture.scheduler.onEndpointList(
                EndpointListKind.COMPLETE,
                java.util.stream.IntStream.range(0, 600)
                        .mapToObj(i -> new Endpoint("s" + i, 99, 0, i % 2, EndpointState.HEALTHY, 1, 0))
                        .toList());
        fixture.scheduler.endBatch();
        fixture.query(1, 6, SchedulerFixture.equalWeights(4));
        fixture.scheduler.endBatch();
        assertEquals(4, fixture.sentTo().size(), "the parts go to four different endpoints of six hundred");
        fixture.scheduler.onQueryCancelled(1);
        fixture.scheduler.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        new Endpoint("s0", 0, 0, 1, EndpointState.HEALTHY, 1, 0),
                        new Endpoint("s1", -1, 0, 0, EndpointState.HEALTHY, 1, 0)));
        fixture.actions.clear();
        fixture.query(2, 6, 0.5, 0.5);
        fixture.scheduler.endBatch();
        Map<Long, String> endpointByPart = fixture.actions.sends.stream()
                .collect(Collectors.toMap(RecordingActions.Sent::part, RecordingActions.Sent::endpointId));
        assertEquals(Map.of(200L, "s1", 201L, "s0"), endpointByPart, "each endpoint now holds the other's shard");
        fixture.scheduler.onQueryCancelled(2);
        fixture.scheduler.onEndpointList(EndpointListKind.COMPLETE, List.of());
        fixture.actions.clear();
        fixture.query(3, 6, 0.5, 0.5);
        fixture.scheduler.endBatch();
        assertEquals(List.of("reject 3"), fixture.actions.endings(3), "no endpoint holds the shards");
    }
}
