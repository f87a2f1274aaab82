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
 * Any two events that can happen to a query with a hedged request in flight, in each order, in one batch and in two: one final
 * answer, one outcome for each attempt, nothing sent after the answer, no more attempts than the class allows.
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

    /** Submits a query of six parts, and advances until the last one unanswered has a hedged request in flight. */
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
                        .flatMap(other -> Stream.of(false, true).map(apart -> Arguments.of(one, other, apart))));
    }

    /**
     * The last part of a query is slow, and a hedged request is in flight beside its first attempt. Then two things happen
     * nearly together, in one batch or in two.
     */
    @ParameterizedTest
    @MethodSource("pairs")
    void concurrentEventsLeaveOneAnswerAndOneOutcomePerAttempt(Event one, Event other, boolean apart) {
        hedgeLastPart();
        apply(one);
        step(apart ? 0.006 : 0);
        apply(other);
        for (int i = 0; i < 800; i++) {
            step(0.005);
        }
        boolean left = fixture.answers.isEmpty();
        assertTrue(!left || one == Event.CLIENT_DISCONNECTS || other == Event.CLIENT_DISCONNECTS, "no answer");
        assertTrue(fixture.answers.size() <= 1, fixture.answers::toString);
        fixture.calls.stream()
                .flatMap(List::stream)
                .forEach(attempt -> assertTrue(attempt.hasEnded(), "an attempt without its outcome"));
        assertEquals(0, fixture.gatherer.inFlightQueries());
        Metrics metrics = fixture.gatherer.metrics();
        assertEquals(left ? 1 : 0, metrics.ended("class-0", Metrics.QueryOutcome.CLIENT_GONE));
        assertEquals(metrics.submittedTotal(), metrics.endedTotal(), "each counted once");
        assertEquals(Map.of(), sentAfterEnd, "sent after the query had ended");
        assertTrue(first.part().attempts.size() <= 4);
        assertEquals(first.number + 1, hedge.number);
    }

    /** Advances, and records what was sent though the query had ended before. */
    private void step(double seconds) {
        boolean over = query.ended;
        int before = fixture.calls.size();
        fixture.clock.advance(seconds);
        assertEquals(
                fixture.gatherer.metrics().submittedTotal(),
                fixture.gatherer.metrics().endedTotal() + fixture.gatherer.inFlightQueries());
        if (over && fixture.calls.size() > before) {
            fixture.calls.get(before).forEach(attempt -> sentAfterEnd.merge(attempt, 1, Integer::sum));
        }
    }

    /** A gatherer starts with its cached list, which says that two of four workers are draining: they receive nothing. */
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

    /** One worker is reported as draining and one as removed, and both as healthy before anything was decided: both are used. */
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
