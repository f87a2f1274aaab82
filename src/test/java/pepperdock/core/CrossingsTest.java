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
import pepperdock.aggregator.Aggregator.ListKind;
import pepperdock.aggregator.Aggregator.Outcome;
import pepperdock.aggregator.Aggregator.Readiness;

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
        sent.stream().filter(a -> a != first).forEach(a -> bench.end(a, Outcome.OK));
        for (int i = 0; i < 300 && copy == null; i++) {
            bench.clock.advance(0.005);
            copy = bench.out().stream().filter(a -> a != first).findFirst().orElse(null);
        }
        assertTrue(copy != null && copy.part() == first.part(), "a second copy is out");
        assertEquals(List.of(), bench.answers);
    }

    private void happens(Event e) {
        switch (e) {
            case FIRST_ANSWERS -> bench.end(first, Outcome.OK);
            case COPY_ANSWERS -> bench.end(copy, Outcome.OK);
            case FIRST_FAILS -> bench.end(first, Outcome.ERROR);
            case COPY_BREAKS -> bench.end(copy, Outcome.RESET);
            case FIRST_TURNED_AWAY -> bench.end(first, Outcome.FULL);
            case BOTH_DRAIN ->
                bench.core.listed(
                        ListKind.CHANGES,
                        List.of(
                                Bench.host(first.worker().charAt(1) - '0', Readiness.DRAINING),
                                Bench.host(copy.worker().charAt(1) - '0', Readiness.DRAINING)));
            case CLIENT_LEAVES -> bench.core.gone(query);
            case PROGRAM_ENDS -> bench.core.endAll();
            default -> bench.clock.advance(2.999 - (bench.clock.now() - query.endAt + 3));
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
        bench.calls.stream().flatMap(List::stream).forEach(a -> assertTrue(a.over(), "an attempt without its outcome"));
        assertEquals(0, bench.core.inHand());
        Figures f = bench.core.figures();
        assertEquals(left ? 1 : 0, f.ended("class-0", Figures.End.LEFT));
        assertEquals(f.allTaken(), f.allEnded(), "each counted once");
        assertEquals(Map.of(), sentAfter, "sent once it was over");
        assertTrue(first.part().attempts.size() <= 4);
        assertEquals(first.no + 1, copy.no);
    }

    /** Moves on, and looks for what was sent though the query had been over before. */
    private void step(double seconds) {
        boolean over = query.ended;
        int before = bench.calls.size();
        bench.clock.advance(seconds);
        assertEquals(bench.core.figures().allTaken(), bench.core.figures().allEnded() + bench.core.inHand());
        if (over && bench.calls.size() > before) {
            bench.calls.get(before).forEach(a -> sentAfter.merge(a, 1, Integer::sum));
        }
    }

    /** Of the list that is held from before the start, too: what it says to be leaving is never begun with. */
    @Test
    void wordInTheListHeldAtTheStartIsHeeded() {
        bench.core.listed(
                ListKind.HELD,
                List.of(
                        Bench.host(0, Readiness.HEALTHY),
                        Bench.host(1, Readiness.DRAINING),
                        Bench.host(2, Readiness.HEALTHY),
                        Bench.host(3, Readiness.DRAINING)));
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertTrue(!bench.out().isEmpty()
                && bench.out().stream().allMatch(a -> a.worker().matches("w[02]")));
    }

    /** Word of leaving and of its coming back, before anything is decided between: it is used again. */
    @Test
    void aWorkerThatComesBackIsUsedAgain() {
        bench.core.listed(
                ListKind.CHANGES, List.of(Bench.host(0, Readiness.DRAINING), Bench.host(1, Readiness.REMOVED)));
        bench.core.listed(
                ListKind.CHANGES, List.of(Bench.host(0, Readiness.HEALTHY), Bench.host(1, Readiness.HEALTHY)));
        bench.ask(0, 3, 12);
        bench.clock.advance(0.01);
        assertTrue(bench.out().stream().anyMatch(a -> a.worker().equals("w0")));
        assertTrue(bench.out().stream().anyMatch(a -> a.worker().equals("w1")));
    }
}
