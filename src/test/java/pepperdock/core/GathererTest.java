package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/** Tests a gatherer with simulated clients, workers and discovery, on a clock that the test advances. */
class GathererTest {

    private static final double STEP_S = 0.01;
    /** Interval of the scheduler's sweep (25 ms), plus one batch (5 ms) and two steps of the clock. */
    private static final double MAX_SWEEP_DELAY_S = 0.025 + 0.005 + 2 * STEP_S;

    private final GathererFixture fixture = new GathererFixture();

    /** Each call has a fixed cost, so attempts at one worker share calls of at most the batch size. */
    @Test
    void attemptsAtOneWorkerInOneBatchShareCalls() {
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertEquals(12, fixture.attemptsInFlight().size());
        assertEquals(
                fixture.calls.size(),
                fixture.calls.stream()
                        .map(call -> call.get(0).worker())
                        .distinct()
                        .count());
        assertTrue(fixture.calls.stream().allMatch(call -> call.size() <= 8));
    }

    /**
     * All parts are answered, and a reset is reported for each before the batch closes. Only the first outcome counts:
     * the answer is complete, and the only one.
     */
    @Test
    void completeAnswerIsGivenOnceAndLateOutcomesAreIgnored() {
        fixture.submit(0, 3, 6);
        fixture.clock.advance(0.01);
        List<Attempt> sent = fixture.attemptsInFlight();
        sent.forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.OK));
        sent.forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.RESET));
        fixture.clock.advance(10);
        assertEquals(List.of("answered true 6"), fixture.answers);
    }

    /**
     * A worker accepts a call and never answers. The client waits a second: it is answered by then, and the attempt
     * that is still in flight is cancelled.
     */
    @Test
    void queryWithoutAnswerEndsByItsDeadline() {
        fixture.submit(2, 1, 1);
        fixture.clock.advance(1.02);
        assertEquals(1, fixture.answers.size(), fixture.answers.toString());
        assertTrue(fixture.cancelled.containsAll(fixture.calls.get(0)));
    }

    /**
     * Three large queries are in flight, and the parts of a fourth would exceed the limit. It is accepted: if the parts
     * of the arriving query counted, a gatherer under low load would reject queries of all shards, with a third of its
     * capacity unused. The next query finds the limit reached and is rejected, although it is small.
     */
    @Test
    void queryIsRejectedOnlyOnceInFlightLimitIsReached() {
        for (int i = 0; i < 3; i++) {
            fixture.submit(0, 3, 12);
        }
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertEquals(List.of(), fixture.answers);
        fixture.submit(2, 3, 1);
        fixture.clock.advance(0);
        assertEquals(List.of("rejected 1.0"), fixture.answers);
    }

    /**
     * Clients submit large queries and disconnect right after, one after another. If their capacity were not freed, the
     * fifth would be rejected; if their attempts were not cancelled, workers would continue to compute unused answers.
     * A disconnect may be reported twice.
     */
    @Test
    void clientDisconnectCancelsAttemptsAndFreesCapacity() {
        for (int i = 0; i < 20; i++) {
            Query query = fixture.submit(0, 3, 12);
            fixture.clock.advance(0.01);
            fixture.gatherer.onClientGone(query);
            fixture.gatherer.onClientGone(query);
            fixture.clock.advance(0.01);
        }
        assertEquals(0, fixture.gatherer.inFlightQueries());
        assertEquals(List.of(), fixture.attemptsInFlight());
        assertEquals(List.of(), fixture.answers);
        assertTrue(fixture.cancelled.containsAll(
                fixture.calls.stream().flatMap(List::stream).toList()));
    }

    /**
     * An operator bans a worker while a batch is open. Discovery, which does not know of the ban, then lists the worker
     * as healthy, as a change and in a complete list, and attempts at other workers fail, so that retries need a
     * worker. The banned worker receives nothing until the ban is lifted; then it is used again.
     */
    @Test
    void bannedWorkerReceivesNothingEvenIfListedAsHealthy() {
        fixture.submit(0, 3, 12);
        fixture.gatherer.setBannedEndpoints(Set.of("w1"));
        fixture.clock.advance(0.01);
        assertTrue(!fixture.attemptsInFlight().isEmpty()
                && fixture.attemptsInFlight().stream()
                        .noneMatch(attempt -> attempt.worker().equals("w1")));
        assertEquals(4, fixture.gatherer.listedEndpointCount());
        assertEquals(1, fixture.gatherer.avoidedEndpointCount());
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(new WorkerEndpoint(
                        "w1", "127.0.0.1:1", 0, 0, 1, EndpointState.HEALTHY, 1, fixture.clock.now())));
        fixture.gatherer.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        GathererFixture.endpoint(0, EndpointState.HEALTHY),
                        GathererFixture.endpoint(1, EndpointState.HEALTHY),
                        GathererFixture.endpoint(2, EndpointState.HEALTHY),
                        GathererFixture.endpoint(3, EndpointState.HEALTHY)));
        List.copyOf(fixture.attemptsInFlight()).forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.ERROR));
        fixture.clock.advance(0.2);
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.2);
        assertTrue(fixture.calls.stream()
                .flatMap(List::stream)
                .noneMatch(attempt -> attempt.worker().equals("w1")));
        fixture.gatherer.setBannedEndpoints(Set.of("w1"));
        fixture.gatherer.setBannedEndpoints(Set.of());
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertTrue(fixture.attemptsInFlight().stream()
                .anyMatch(attempt -> attempt.worker().equals("w1")));
        assertEquals(0, fixture.gatherer.bannedEndpoints().size());
    }

    /**
     * While a query is in flight, the settings are replaced, and its class number now denotes a class that must not be
     * retried. When its attempt fails, it is retried by the rules in force on its arrival; a query that arrived under
     * the new rules fails.
     */
    @Test
    void queryInFlightKeepsTheRulesOfItsArrival() {
        Query earlier = fixture.submit(0, 3, 1);
        fixture.clock.advance(0.01);
        DeploymentSettings replacement = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
                .replace("\"Name\":\"history-search\"", "\"Name\":\"new\"")
                .replace("\"DeadlineS\":3,\"Effect\":\"read_like\"", "\"DeadlineS\":3,\"Effect\":\"non_idempotent\"")
                .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1"));
        fixture.gatherer.updateSettings(replacement.scheduler(), replacement.classes());
        Query later = fixture.submit(0, 3, 1);
        fixture.clock.advance(0.01);
        assertEquals(2, fixture.attemptsInFlight().size());
        List.copyOf(fixture.attemptsInFlight()).forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.ERROR));
        fixture.clock.advance(0.1);
        assertEquals(List.of("failed false"), fixture.answers, "the query under the new rules is not retried");
        assertEquals(
                List.of(earlier),
                fixture.attemptsInFlight().stream()
                        .map(attempt -> attempt.part().query())
                        .toList(),
                "the earlier query is retried by the rules of its arrival");
        fixture.endAttempt(fixture.attemptsInFlight().get(0), AttemptOutcome.OK);
        fixture.clock.advance(0.1);
        assertEquals(List.of("failed false", "answered true 1"), fixture.answers);
        assertEquals(1, later.parts().get(0).attempts.size());
        assertEquals(1, fixture.gatherer.metrics().ended("class-0", Metrics.QueryOutcome.SERVED));
        assertEquals(1, fixture.gatherer.metrics().ended("new", Metrics.QueryOutcome.FAILED));
    }

    /**
     * During an upgrade two processes of a gatherer send to a worker that has just started. Each may send half as much
     * as a single process, or the cold worker would receive twice its allowance.
     */
    @Test
    void coldWorkerReceivesLessWhileUpgradePeerIsActive() {
        double[] sent = new double[2];
        for (int i = 0; i < 2; i++) {
            GathererFixture process = new GathererFixture();
            process.gatherer.setUpgradePeerActive(i == 1);
            process.gatherer.onEndpointList(
                    EndpointListKind.COMPLETE,
                    java.util.stream.IntStream.range(0, 4)
                            .mapToObj(cell -> new WorkerEndpoint(
                                    "w" + cell,
                                    "127.0.0.1:1",
                                    0,
                                    0,
                                    cell,
                                    EndpointState.HEALTHY,
                                    1,
                                    process.clock.now()))
                            .toList());
            process.clock.advance(0.1);
            process.submit(0, 3, 12);
            process.clock.advance(0.01);
            sent[i] = process.attemptsInFlight().size();
        }
        assertTrue(sent[1] <= sent[0] / 2 && sent[0] > 0, sent[0] + " alone, " + sent[1] + " beside the upgrade peer");
    }

    /** Of four workers one is reported as draining, and another is missing from the complete list that follows. */
    @Test
    void drainingWorkerReceivesNothingNew() {
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES, List.of(GathererFixture.endpoint(1, EndpointState.DRAINING)));
        fixture.gatherer.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        GathererFixture.endpoint(0, EndpointState.HEALTHY),
                        GathererFixture.endpoint(2, EndpointState.HEALTHY)));
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertTrue(!fixture.attemptsInFlight().isEmpty()
                && fixture.attemptsInFlight().stream()
                        .allMatch(attempt -> attempt.worker().matches("w[02]")));
    }

    /**
     * A query arrives, and before its batch closes a complete list arrives that does not contain two of the workers.
     * Attempts that the scheduler decides on in this batch must not be sent to them.
     */
    @Test
    void workerMissingFromCompleteListReceivesNothingDecidedBefore() {
        fixture.submit(0, 3, 12);
        fixture.gatherer.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        GathererFixture.endpoint(0, EndpointState.HEALTHY),
                        GathererFixture.endpoint(2, EndpointState.HEALTHY)));
        fixture.clock.advance(0.01);
        assertTrue(!fixture.attemptsInFlight().isEmpty()
                && fixture.attemptsInFlight().stream()
                        .allMatch(attempt -> attempt.worker().matches("w[02]")));
    }

    /**
     * A change of a balance is slow, and then its connection breaks, so that it may have been executed. It must not be
     * sent a second time while the first attempt may be running, and its client gets exactly one answer.
     */
    @Test
    void partWithIdempotencyKeyIsNotHedgedWhileItsFirstAttemptMayRun() {
        fixture.submit(2, 3, 1);
        fixture.clock.advance(1.4);
        assertEquals(1, fixture.calls.size());
        fixture.endAttempt(fixture.calls.get(0).get(0), AttemptOutcome.RESET);
        fixture.clock.advance(5);
        assertEquals(1, fixture.answers.size());
    }

    /**
     * A retry waits for a connection after it was decided on. After the window in which workers recognise its key, it
     * would be executed a second time, so it must not start any more; nor may it start after it has ended.
     */
    @Test
    void retryWithIdempotencyKeyMayStartOnlyWithinItsWindow() {
        fixture.submit(2, 3, 1);
        fixture.clock.advance(0.1);
        double sentAt = fixture.clock.now();
        fixture.endAttempt(fixture.calls.get(0).get(0), AttemptOutcome.ERROR);
        fixture.clock.advance(0.1);
        Attempt repeat = fixture.calls.get(1).get(0);
        assertTrue(repeat.mayStart(sentAt + 1.3));
        assertFalse(repeat.mayStart(sentAt + 1.51), "window of 1.5 s from the first attempt");
        fixture.endAttempt(repeat, AttemptOutcome.OK);
        assertFalse(repeat.mayStart(sentAt + 0.3), "ended");
    }

    /**
     * The process ends with two queries in flight: a search, which may safely be repeated, and a change of a balance,
     * which has been sent to a worker. A third query arrives on a connection that had sent half of it; if it were
     * forwarded, it would be lost when the process exits.
     */
    @Test
    void shutdownEndsQueriesInFlightAndRejectsLaterOnes() {
        fixture.submit(0, 3, 6);
        fixture.submit(2, 3, 1);
        fixture.gatherer.onClientGone(fixture.submit(2, 3, 2));
        fixture.clock.advance(0.01);
        fixture.gatherer.endAllQueries();
        assertEquals(List.of("rejected 1.0", "failed false"), fixture.answers);
        int calls = fixture.calls.size();
        fixture.submit(0, 3, 6);
        fixture.clock.advance(0.1);
        assertEquals("rejected 1.0", fixture.answers.get(2));
        assertEquals(calls, fixture.calls.size());
    }

    /**
     * Discovery fails repeatedly, at once or after several seconds. It may recover right after a failed poll, and its
     * changes are expected to be known 6 s later. Within this time there must be room for the connection of the next
     * poll (1 s) and for a queued answer (2 s).
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 1, 2, 2.5})
    void endpointListIsPolledAgainInTimeAfterRepeatedFailures(double failsAfterS) {
        double maxIntervalS = Math.max(3, failsAfterS + 0.75) + MAX_SWEEP_DELAY_S;
        fixture.gatherer.onEndpointList(EndpointListKind.FAILED, List.of());
        awaitPoll(maxIntervalS);
        for (int i = 0; i < 40; i++) {
            double calledAt = fixture.clock.now();
            fixture.clock.advance(failsAfterS);
            fixture.gatherer.onEndpointList(EndpointListKind.FAILED, List.of());
            awaitPoll(calledAt + maxIntervalS - fixture.clock.now());
        }
    }

    /** Advances to the next poll of the list, which must happen within {@code withinS} seconds. */
    private void awaitPoll(double withinS) {
        int before = fixture.watchCalls;
        double end = fixture.clock.now() + withinS;
        while (fixture.watchCalls == before && fixture.clock.now() < end) {
            fixture.clock.advance(STEP_S);
        }
        assertEquals(before + 1, fixture.watchCalls);
    }

    /** A poll of the endpoint list fails once: another follows within 3 s. */
    @Test
    void endpointListIsPolledAgainAfterAFailure() {
        int before = fixture.watchCalls;
        fixture.gatherer.onEndpointList(EndpointListKind.FAILED, List.of());
        fixture.clock.advance(3);
        assertEquals(before + 1, fixture.watchCalls);
    }
}
