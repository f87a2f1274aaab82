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
import pepperdock.config.Sites;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

class GathererTest {

    private static final double STEP_S = 0.01;
    /** What waits for a moment is looked at in sweeps 25 ms apart, in batches of 5 ms; and two steps of the clock. */
    private static final double SWEEP_S = 0.025 + 0.005 + 2 * STEP_S;

    private final Bench bench = new Bench();

    @Test
    void sendsToOneWorkerInOneBatchShareACall() {
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertEquals(12, bench.out().size());
        assertEquals(
                bench.calls.size(),
                bench.calls.stream().map(c -> c.get(0).worker()).distinct().count());
        assertTrue(bench.calls.stream().allMatch(c -> c.size() <= 8));
    }

    @Test
    void aWholeAnswerIsGivenOnceAndLateEventsAreHarmless() {
        bench.ask(0, 3, 6);
        bench.clock.advance(0.01);
        List<Attempt> sent = bench.out();
        sent.forEach(a -> bench.end(a, AttemptOutcome.OK));
        sent.forEach(a -> bench.end(a, AttemptOutcome.RESET));
        bench.clock.advance(10);
        assertEquals(List.of("answered true 6"), bench.answers);
    }

    @Test
    void aQueryThatNoWorkerAnswersIsEndedInItsTime() {
        bench.ask(2, 1, 1);
        bench.clock.advance(1.02);
        assertEquals(1, bench.answers.size(), bench.answers.toString());
        assertTrue(bench.cancelled.containsAll(bench.calls.get(0)));
    }

    /** Found on a calm day: refused at 64 of 93 held, as the query's own parts were counted before it was let in. */
    @Test
    void theDoorRefusesWhenTheCountIsReachedAndNotBefore() {
        for (int i = 0; i < 3; i++) {
            bench.ask(0, 3, 12);
        }
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertEquals(List.of(), bench.answers);
        bench.ask(2, 3, 1);
        bench.clock.advance(0);
        assertEquals(List.of("refused 1.0"), bench.answers);
    }

    @Test
    void aClientThatLeavesHasItsPartsCalledOffAndFreesItsRoom() {
        for (int i = 0; i < 20; i++) {
            Query q = bench.ask(0, 3, 12);
            bench.clock.advance(0.01);
            bench.core.onClientGone(q);
            bench.core.onClientGone(q);
            bench.clock.advance(0.01);
        }
        assertEquals(0, bench.core.inFlightQueries());
        assertEquals(List.of(), bench.out());
        assertEquals(List.of(), bench.answers);
        assertTrue(bench.cancelled.containsAll(
                bench.calls.stream().flatMap(List::stream).toList()));
    }

    /** In the batch, over lists that say otherwise, and until the call back; then it is used again. */
    @Test
    void aWorkerTakenOutByHandGetsNothingWhateverTheListSays() {
        bench.ask(0, 3, 12);
        bench.core.setBannedEndpoints(Set.of("w1"));
        bench.clock.advance(0.01);
        assertTrue(!bench.out().isEmpty()
                && bench.out().stream().noneMatch(a -> a.worker().equals("w1")));
        assertEquals(4, bench.core.listedEndpointCount());
        assertEquals(1, bench.core.avoidedEndpointCount());
        bench.core.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(new WorkerEndpoint("w1", "127.0.0.1:1", 0, 0, 1, EndpointState.HEALTHY, 1, bench.clock.now())));
        bench.core.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        Bench.host(0, EndpointState.HEALTHY),
                        Bench.host(1, EndpointState.HEALTHY),
                        Bench.host(2, EndpointState.HEALTHY),
                        Bench.host(3, EndpointState.HEALTHY)));
        List.copyOf(bench.out()).forEach(a -> bench.end(a, AttemptOutcome.ERROR));
        bench.clock.advance(0.2);
        bench.ask(0, 3, 12);
        bench.clock.advance(0.2);
        assertTrue(bench.calls.stream()
                .flatMap(List::stream)
                .noneMatch(a -> a.worker().equals("w1")));
        bench.core.setBannedEndpoints(Set.of("w1"));
        bench.core.setBannedEndpoints(Set.of());
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertTrue(bench.out().stream().anyMatch(a -> a.worker().equals("w1")));
        assertEquals(0, bench.core.bannedEndpoints().size());
    }

    /** Neither the class's number nor its rules nor its attempts shift under a query that is in hand. */
    @Test
    void aQueryInHandGoesOnByTheRulesThatItWasTakenUnder() {
        Query old = bench.ask(0, 3, 1);
        bench.clock.advance(0.01);
        DeploymentSettings other = Sites.with(Sites.SETTINGS
                .replace("\"Name\":\"history-search\"", "\"Name\":\"new\"")
                .replace("\"DeadlineS\":3,\"Effect\":\"read_like\"", "\"DeadlineS\":3,\"Effect\":\"non_idempotent\"")
                .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1"));
        bench.core.updateSettings(other.module(), other.classes());
        Query now = bench.ask(0, 3, 1);
        bench.clock.advance(0.01);
        assertEquals(2, bench.out().size());
        List.copyOf(bench.out()).forEach(a -> bench.end(a, AttemptOutcome.ERROR));
        bench.clock.advance(0.1);
        assertEquals(List.of("failed false"), bench.answers, "unsafe, and one attempt");
        assertEquals(
                List.of(old), bench.out().stream().map(a -> a.part().query()).toList(), "safe, and four");
        bench.end(bench.out().get(0), AttemptOutcome.OK);
        bench.clock.advance(0.1);
        assertEquals(List.of("failed false", "answered true 1"), bench.answers);
        assertEquals(1, now.parts().get(0).attempts.size());
        assertEquals(1, bench.core.metrics().ended("class-0", Metrics.QueryOutcome.SERVED));
        assertEquals(1, bench.core.metrics().ended("new", Metrics.QueryOutcome.FAILED));
    }

    /** Half of what a cold worker is allowed, while two processes send to it. */
    @Test
    void besideAnotherProcessAColdWorkerGetsLess() {
        double[] sent = new double[2];
        for (int i = 0; i < 2; i++) {
            Bench b = new Bench();
            b.core.setUpgradePeerActive(i == 1);
            b.core.onEndpointList(
                    EndpointListKind.COMPLETE,
                    java.util.stream.IntStream.range(0, 4)
                            .mapToObj(cell -> new WorkerEndpoint(
                                    "w" + cell, "127.0.0.1:1", 0, 0, cell, EndpointState.HEALTHY, 1, b.clock.now()))
                            .toList());
            b.clock.advance(0.1);
            b.ask(0, 3, 12);
            b.clock.advance(0.01);
            sent[i] = b.out().size();
        }
        assertTrue(sent[1] <= sent[0] / 2 && sent[0] > 0, sent[0] + " alone, " + sent[1] + " beside another");
    }

    @Test
    void aDrainingWorkerGetsNothingNew() {
        bench.core.onEndpointList(EndpointListKind.CHANGES, List.of(Bench.host(1, EndpointState.DRAINING)));
        bench.core.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(Bench.host(0, EndpointState.HEALTHY), Bench.host(2, EndpointState.HEALTHY)));
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertTrue(!bench.out().isEmpty()
                && bench.out().stream().allMatch(a -> a.worker().matches("w[02]")));
    }

    /** What a whole list does not name is gone, also for what was decided on before it came. */
    @Test
    void aWorkerThatAWholeListLeavesOutGetsNothingThatWasDecidedOnBefore() {
        bench.ask(0, 3, 12);
        bench.core.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(Bench.host(0, EndpointState.HEALTHY), Bench.host(2, EndpointState.HEALTHY)));
        bench.clock.advance(0.01);
        assertTrue(!bench.out().isEmpty()
                && bench.out().stream().allMatch(a -> a.worker().matches("w[02]")));
    }

    @Test
    void aBalanceAdjustIsNotSentASecondTimeWhileTheFirstMayRun() {
        bench.ask(2, 3, 1);
        bench.clock.advance(1.4);
        assertEquals(1, bench.calls.size());
        bench.end(bench.calls.get(0).get(0), AttemptOutcome.RESET);
        bench.clock.advance(5);
        assertEquals(1, bench.answers.size());
    }

    /** A call may wait for a connection after it was decided on: past the window a repeat would run a second time. */
    @Test
    void aRepeatOfAKeyedPartMayStartOnlyWithinItsWindow() {
        bench.ask(2, 3, 1);
        bench.clock.advance(0.1);
        double sent = bench.clock.now();
        bench.end(bench.calls.get(0).get(0), AttemptOutcome.ERROR);
        bench.clock.advance(0.1);
        Attempt repeat = bench.calls.get(1).get(0);
        assertTrue(repeat.mayStart(sent + 1.3));
        assertFalse(repeat.mayStart(sent + 1.51), "1.5 s after the first was sent");
        bench.end(repeat, AttemptOutcome.OK);
        assertFalse(repeat.mayStart(sent + 0.3), "over");
    }

    /** Sent on, a request that comes while the program ends would be lost with it. */
    @Test
    void atTheEndWhatIsInHandIsAnsweredAndWhatStillComesIsRefusedAtOnce() {
        bench.ask(0, 3, 6);
        bench.ask(2, 3, 1);
        bench.core.onClientGone(bench.ask(2, 3, 2));
        bench.clock.advance(0.01);
        bench.core.endAllQueries();
        assertEquals(List.of("refused 1.0", "failed false"), bench.answers);
        int calls = bench.calls.size();
        bench.ask(0, 3, 6);
        bench.clock.advance(0.1);
        assertEquals("refused 1.0", bench.answers.get(2));
        assertEquals(calls, bench.calls.size());
    }

    /**
     * The list may be back right after a call that failed, and its news count as told 6 s later: by then the next call's
     * connection (1 s) and an answer that waits its turn (2 s) have to fit in. Was: up to 7.5 s after the failure.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 1, 2, 2.5})
    void howeverOftenAskingFailsTheNextCallComesInTimeForWhatItMissed(double failsAfterS) {
        double apartS = Math.max(3, failsAfterS + 0.75) + SWEEP_S;
        bench.core.onEndpointList(EndpointListKind.FAILED, List.of());
        awaitCall(apartS);
        for (int i = 0; i < 40; i++) {
            double calledAt = bench.clock.now();
            bench.clock.advance(failsAfterS);
            bench.core.onEndpointList(EndpointListKind.FAILED, List.of());
            awaitCall(calledAt + apartS - bench.clock.now());
        }
    }

    /** Moves on to the next call for the list, which has to come within so long. */
    private void awaitCall(double withinS) {
        int before = bench.subscribed;
        double end = bench.clock.now() + withinS;
        while (bench.subscribed == before && bench.clock.now() < end) {
            bench.clock.advance(STEP_S);
        }
        assertEquals(before + 1, bench.subscribed);
    }

    @Test
    void theListIsAskedForAgainAfterAFailure() {
        int before = bench.subscribed;
        bench.core.onEndpointList(EndpointListKind.FAILED, List.of());
        bench.clock.advance(3);
        assertEquals(before + 1, bench.subscribed);
    }
}
