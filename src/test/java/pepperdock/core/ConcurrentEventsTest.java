package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/**
 * Applies any two events that can happen to a query with a hedged request in flight, in each order, in one batch and in
 * two. Checks that there is one final answer and one outcome for each attempt, that nothing is sent after the answer,
 * and that there are no more attempts than the class allows.
 */
class ConcurrentEventsTest {

    private enum Event {
        FIRST_ANSWERS,
        HEDGE_ANSWERS,
        FIRST_FAILS,
        HEDGE_CONNECTION_RESET,
        FIRST_REJECTED,
        BOTH_DRAIN,
        CLIENT_DISCONNECTS,
        DEADLINE_PASSES,
        SHUTDOWN
    }

    private final GathererFixture fixture = new GathererFixture();
    private final Map<Attempt, Integer> sentAfterEnd = new HashMap<>();
    private Query query;
    private Attempt first;
    private Attempt hedge;

    /**
     * Submits a query of six parts, answers all but the last one, and advances until that one has a hedged request in
     * flight.
     */
    private void hedgeLastPart() {
        query = fixture.submit(0, 3, 6);
        fixture.clock.advance(0.01);
        List<Attempt> sent = fixture.attemptsInFlight();
        first = sent.get(sent.size() - 1);
        sent.stream()
                .filter(attempt -> attempt != first)
                .forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.OK));
        for (int i = 0; i < 300 && hedge == null; i++) {
            fixture.clock.advance(0.005);
            hedge = fixture.attemptsInFlight().stream()
                    .filter(attempt -> attempt != first)
                    .findFirst()
                    .orElse(null);
        }
        assertTrue(hedge != null && hedge.part() == first.part(), "a hedged request is in flight");
        assertEquals(List.of(), fixture.answers);
    }

    private void apply(Event event) {
        switch (event) {
            case FIRST_ANSWERS -> fixture.endAttempt(first, AttemptOutcome.OK);
            case HEDGE_ANSWERS -> fixture.endAttempt(hedge, AttemptOutcome.OK);
            case FIRST_FAILS -> fixture.endAttempt(first, AttemptOutcome.ERROR);
            case HEDGE_CONNECTION_RESET -> fixture.endAttempt(hedge, AttemptOutcome.RESET);
            case FIRST_REJECTED -> fixture.endAttempt(first, AttemptOutcome.OVERLOADED);
            case BOTH_DRAIN ->
                fixture.gatherer.onEndpointList(
                        EndpointListKind.CHANGES,
                        List.of(
                                GathererFixture.endpoint(first.worker().charAt(1) - '0', EndpointState.DRAINING),
                                GathererFixture.endpoint(hedge.worker().charAt(1) - '0', EndpointState.DRAINING)));
            case CLIENT_DISCONNECTS -> fixture.gatherer.onClientGone(query);
            case SHUTDOWN -> fixture.gatherer.endAllQueries();
            default -> fixture.clock.advance(2.999 - (fixture.clock.now() - query.deadline + 3));
        }
    }

    static Stream<Arguments> pairs() {
        return Stream.of(Event.values())
                .flatMap(one -> Stream.of(Event.values())
                        .flatMap(other -> Stream.of(false, true)
                                .map(separateBatches -> Arguments.of(one, other, separateBatches))));
    }

    /**
     * The last part of a query is slow, and a hedged request is in flight beside its first attempt. Then two events
     * happen almost at the same time, in one batch or in two.
     */
    @ParameterizedTest
    @MethodSource("pairs")
    void concurrentEventsLeaveOneAnswerAndOneOutcomePerAttempt(Event one, Event other, boolean separateBatches) {
        hedgeLastPart();
        apply(one);
        step(separateBatches ? 0.006 : 0);
        apply(other);
        for (int i = 0; i < 800; i++) {
            step(0.005);
        }
        boolean unanswered = fixture.answers.isEmpty();
        assertTrue(!unanswered || one == Event.CLIENT_DISCONNECTS || other == Event.CLIENT_DISCONNECTS, "no answer");
        assertTrue(fixture.answers.size() <= 1, fixture.answers::toString);
        fixture.calls.stream()
                .flatMap(List::stream)
                .forEach(attempt -> assertTrue(attempt.hasEnded(), "an attempt has no outcome"));
        assertEquals(0, fixture.gatherer.inFlightQueries());
        Metrics metrics = fixture.gatherer.metrics();
        assertEquals(unanswered ? 1 : 0, metrics.ended("class-0", Metrics.QueryOutcome.CLIENT_GONE));
        assertEquals(metrics.submittedTotal(), metrics.endedTotal(), "each query is counted once");
        assertEquals(Map.of(), sentAfterEnd, "sent after the query had ended");
        assertTrue(first.part().attempts.size() <= 4);
        assertEquals(first.number + 1, hedge.number);
    }

    /** Advances the clock, and records an attempt that was sent although the query had ended before. */
    private void step(double seconds) {
        boolean ended = query.ended;
        int before = fixture.calls.size();
        fixture.clock.advance(seconds);
        assertEquals(
                fixture.gatherer.metrics().submittedTotal(),
                fixture.gatherer.metrics().endedTotal() + fixture.gatherer.inFlightQueries());
        if (ended && fixture.calls.size() > before) {
            fixture.calls.get(before).forEach(attempt -> sentAfterEnd.merge(attempt, 1, Integer::sum));
        }
    }

    /** A gatherer starts with a cached list in which two of four workers are draining: these two receive nothing. */
    @Test
    void drainingStateInCachedListIsRespected() {
        fixture.gatherer.onEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        GathererFixture.endpoint(0, EndpointState.HEALTHY),
                        GathererFixture.endpoint(1, EndpointState.DRAINING),
                        GathererFixture.endpoint(2, EndpointState.HEALTHY),
                        GathererFixture.endpoint(3, EndpointState.DRAINING)));
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertTrue(!fixture.attemptsInFlight().isEmpty()
                && fixture.attemptsInFlight().stream()
                        .allMatch(attempt -> attempt.worker().matches("w[02]")));
    }

    /**
     * One worker is reported as draining and one as removed, then both as healthy before the scheduler has decided
     * anything: both are used.
     */
    @Test
    void returningWorkerIsUsedAgain() {
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(
                        GathererFixture.endpoint(0, EndpointState.DRAINING),
                        GathererFixture.endpoint(1, EndpointState.REMOVED)));
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(
                        GathererFixture.endpoint(0, EndpointState.HEALTHY),
                        GathererFixture.endpoint(1, EndpointState.HEALTHY)));
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertTrue(fixture.attemptsInFlight().stream()
                .anyMatch(attempt -> attempt.worker().equals("w0")));
        assertTrue(fixture.attemptsInFlight().stream()
                .anyMatch(attempt -> attempt.worker().equals("w1")));
    }
}
