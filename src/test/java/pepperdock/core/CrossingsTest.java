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
 * Every two things that can happen to a query with a part that is out twice, in each order, in one batch and in two: one
 * final answer, one outcome for each attempt, nothing sent once it is given, nothing beyond what the class allows.
 */
class CrossingsTest {

    private enum Event {
        FIRST_ANSWERS,
        COPY_ANSWERS,
        FIRST_FAILS,
        COPY_BREAKS,
        FIRST_TURNED_AWAY,
        BOTH_DRAIN,
        CLIENT_LEAVES,
        TIME_IS_UP,
        PROGRAM_ENDS
    }

    private final Bench bench = new Bench();
    private final Map<Attempt, Integer> sentAfter = new HashMap<>();
    private Query query;
    private Attempt first;
    private Attempt copy;

    /** Six parts, of which the last to be answered has a second copy out. */
    private void outTwice() {
        query = bench.ask(0, 3, 6);
        bench.clock.advance(0.01);
        List<Attempt> sent = bench.out();
        first = sent.get(sent.size() - 1);
        sent.stream().filter(a -> a != first).forEach(a -> bench.end(a, AttemptOutcome.OK));
        for (int i = 0; i < 300 && copy == null; i++) {
            bench.clock.advance(0.005);
            copy = bench.out().stream().filter(a -> a != first).findFirst().orElse(null);
        }
        assertTrue(copy != null && copy.part() == first.part(), "a second copy is out");
        assertEquals(List.of(), bench.answers);
    }

    private void happens(Event e) {
        switch (e) {
            case FIRST_ANSWERS -> bench.end(first, AttemptOutcome.OK);
            case COPY_ANSWERS -> bench.end(copy, AttemptOutcome.OK);
            case FIRST_FAILS -> bench.end(first, AttemptOutcome.ERROR);
            case COPY_BREAKS -> bench.end(copy, AttemptOutcome.RESET);
            case FIRST_TURNED_AWAY -> bench.end(first, AttemptOutcome.OVERLOADED);
            case BOTH_DRAIN ->
                bench.core.onEndpointList(
                        EndpointListKind.CHANGES,
                        List.of(
                                Bench.host(first.worker().charAt(1) - '0', EndpointState.DRAINING),
                                Bench.host(copy.worker().charAt(1) - '0', EndpointState.DRAINING)));
            case CLIENT_LEAVES -> bench.core.onClientGone(query);
            case PROGRAM_ENDS -> bench.core.endAllQueries();
            default -> bench.clock.advance(2.999 - (bench.clock.now() - query.deadline + 3));
        }
    }

    static Stream<Arguments> pairs() {
        return Stream.of(Event.values())
                .flatMap(one -> Stream.of(Event.values())
                        .flatMap(other -> Stream.of(false, true).map(apart -> Arguments.of(one, other, apart))));
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void twoEventsThatCross(Event one, Event other, boolean apart) {
        outTwice();
        happens(one);
        step(apart ? 0.006 : 0);
        happens(other);
        for (int i = 0; i < 800; i++) {
            step(0.005);
        }
        boolean left = bench.answers.isEmpty();
        assertTrue(!left || one == Event.CLIENT_LEAVES || other == Event.CLIENT_LEAVES, "no answer");
        assertTrue(bench.answers.size() <= 1, bench.answers::toString);
        bench.calls.stream()
                .flatMap(List::stream)
                .forEach(a -> assertTrue(a.hasEnded(), "an attempt without its outcome"));
        assertEquals(0, bench.core.inFlightQueries());
        Metrics f = bench.core.metrics();
        assertEquals(left ? 1 : 0, f.ended("class-0", Metrics.QueryOutcome.CLIENT_GONE));
        assertEquals(f.submittedTotal(), f.endedTotal(), "each counted once");
        assertEquals(Map.of(), sentAfter, "sent once it was over");
        assertTrue(first.part().attempts.size() <= 4);
        assertEquals(first.number + 1, copy.number);
    }

    /** Moves on, and looks for what was sent though the query had been over before. */
    private void step(double seconds) {
        boolean over = query.ended;
        int before = bench.calls.size();
        bench.clock.advance(seconds);
        assertEquals(
                bench.core.metrics().submittedTotal(),
                bench.core.metrics().endedTotal() + bench.core.inFlightQueries());
        if (over && bench.calls.size() > before) {
            bench.calls.get(before).forEach(a -> sentAfter.merge(a, 1, Integer::sum));
        }
    }

    /** Of the list that is held from before the start, too: what it says to be leaving is never begun with. */
    @Test
    void wordInTheListHeldAtTheStartIsHeeded() {
        bench.core.onEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        Bench.host(0, EndpointState.HEALTHY),
                        Bench.host(1, EndpointState.DRAINING),
                        Bench.host(2, EndpointState.HEALTHY),
                        Bench.host(3, EndpointState.DRAINING)));
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertTrue(!bench.out().isEmpty()
                && bench.out().stream().allMatch(a -> a.worker().matches("w[02]")));
    }

    /** Word of leaving and of its coming back, before anything is decided between: it is used again. */
    @Test
    void aWorkerThatComesBackIsUsedAgain() {
        bench.core.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(Bench.host(0, EndpointState.DRAINING), Bench.host(1, EndpointState.REMOVED)));
        bench.core.onEndpointList(
                EndpointListKind.CHANGES,
                List.of(Bench.host(0, EndpointState.HEALTHY), Bench.host(1, EndpointState.HEALTHY)));
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertTrue(bench.out().stream().anyMatch(a -> a.worker().equals("w0")));
        assertTrue(bench.out().stream().anyMatch(a -> a.worker().equals("w1")));
    }
}
