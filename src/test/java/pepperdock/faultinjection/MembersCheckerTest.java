package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pepperdock.events.Events;

/** The checker finds each violation that is planted in a history, and none in the same history without it. */
class MembersCheckerTest {

    private final List<Event> history = new ArrayList<>();
    private double at;

    MembersCheckerTest() {
        rig("start", "members", "a,b");
        for (String who : List.of("a", "b")) {
            life(who, who, who + "1");
            change(who, 1, "a", "a1", 0, "", "HERE");
            change(who, 2, "b", "b1", 0, "", "HERE");
        }
    }

    private void add(String who, JsonObject e) {
        at += 0.5;
        history.add(new Event(at, who, e.get("what").getAsString(), e));
    }

    private void rig(String what, Object... keys) {
        add(Event.RIG, Events.event(what, keys));
    }

    private void member(String who, String what, Object... keys) {
        add(who, Events.event(what, keys));
    }

    private void life(String who, String name, String life) {
        member(who, "life", "name", name, "life", life, "datagrams_per_s", 10, "bytes_per_s", 1000, "bears_s", 5);
    }

    private void change(String who, int no, String name, String life, int incarnation, String from, String to) {
        member(
                who,
                "change",
                "no",
                no,
                "name",
                name,
                "life",
                life,
                "incarnation",
                incarnation,
                "from",
                from,
                "to",
                to,
                "why",
                "");
    }

    private List<String> found(boolean strict) {
        Checker checker = new MembersChecker(strict);
        for (int i = 0; i < history.size(); i++) {
            checker.onEvent(i + 1, history.get(i));
        }
        return checker.findings(true).stream().map(Checker.Finding::what).toList();
    }

    private void assertFound(String what) {
        List<String> found = found(false);
        assertTrue(found.stream().anyMatch(f -> f.contains(what)), found.toString());
    }

    /** b dies, is declared faulty, and comes back in its next generation; a test adds what a publishes then. */
    private void bDiesAndReturns() {
        rig("kill", "members", "b");
        rig("exit", "member", "b", "status", 137);
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        rig("start", "members", "b");
        life("b", "b", "b2");
        change("b", 1, "b", "b2", 1, "", "HERE");
        change("b", 2, "a", "a1", 0, "", "HERE");
    }

    @Test
    void findsNothingInACorrectHistory() {
        bDiesAndReturns();
        change("a", 4, "b", "b2", 1, "GONE", "HERE");
        rig("traffic", "member", "a", "over_s", 1, "datagrams", 20, "bytes", 900);
        assertEquals(List.of(), found(true));
    }

    /** A stale record overwrites a newer one, so that a view goes back in time. */
    @Test
    void findsADecreasingIncarnation() {
        change("a", 3, "b", "b1", 4, "HERE", "CUT_OFF");
        change("a", 4, "b", "b1", 3, "CUT_OFF", "HERE");
        assertFound("decrease from 4 to 3");
    }

    /** A member restarts, and another one never learns of the new process. */
    @Test
    void findsAViewThatMissesARestart() {
        bDiesAndReturns();
        assertFound("a sees b gone in generation b1, and it is running in generation b2");
    }

    /** A member restarts, and a late message brings back the process that ended. */
    @Test
    void findsAnOlderGenerationSeenAfterARestart() {
        bDiesAndReturns();
        change("a", 4, "b", "b1", 1, "GONE", "HERE");
        assertFound("a sees b here in generation b1, and it is running in generation b2");
    }

    /** A view publishes a change twice, leaves one out, and begins one at a state that it never published. */
    @Test
    void findsAChangePublishedTwiceOrOutOfOrderOrFromAnotherState() {
        change("a", 2, "b", "b1", 0, "HERE", "SLOW");
        assertFound("published change 2 after 2");
        change("a", 4, "b", "b1", 0, "SLOW", "HERE");
        assertFound("published change 4 after 2");
        change("a", 5, "b", "b1", 0, "CUT_OFF", "HERE");
        assertFound("from CUT_OFF, which it had published as HERE");
    }

    /** A member refutes a false verdict, and the other one never hears of it. */
    @Test
    void findsALostRefutation() {
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        member("b", "refuted", "why", "called gone", "amount", 1);
        assertFound("views did not converge: a sees b gone");
    }

    /** A member dies and nobody ever detects it. */
    @Test
    void findsAnUndetectedDeath() {
        rig("kill", "members", "b");
        rig("exit", "member", "b", "status", 137);
        assertFound("a sees b here in generation b1, and it is not running");
    }

    /** A member sends more datagrams in a second than its budget allows. */
    @Test
    void findsAnExceededBudget() {
        rig("traffic", "member", "b", "over_s", 1, "datagrams", 22, "bytes", 900);
        assertFound("b sent more than its budget");
    }

    /**
     * A paused member is declared faulty. That is false, but to be expected after so long a pause: only the strict form
     * finds it.
     */
    @Test
    void onlyTheStrictFormFindsAFalseVerdictAfterALongPause() {
        rig("stop", "members", "b");
        at += 10;
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        change("a", 4, "b", "b1", 1, "GONE", "HERE");
        assertEquals(List.of(), found(false));
        assertEquals(List.of("a declared b faulty while it was running"), found(true));
    }

    /**
     * A member is declared faulty twice, once for cut links and once for a long pause; the metrics tell the two causes
     * apart.
     */
    @Test
    void countsFalseVerdictsByCause() {
        rig("fault on", "number", 1, "kind", "cut", "amount", 0, "links", "a>b b>a");
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        change("a", 4, "b", "b1", 1, "GONE", "HERE");
        rig("fault off", "number", 1);
        rig("stop", "members", "b");
        at += 10;
        change("a", 5, "b", "b1", 1, "HERE", "GONE");
        rig("cont", "members", "b");
        change("a", 6, "b", "b1", 2, "GONE", "HERE");
        Checker checker = new MembersChecker(false);
        history.forEach(e -> checker.onEvent(1, e));
        assertTrue(
                checker.metrics().get(1).endsWith(": most outgoing links cut 1, paused longer than tolerated 1"),
                checker.metrics().get(1));
        assertEquals(List.of(), checker.findings(false));
    }

    /**
     * A member is declared faulty after loss and a pause that membership promises to tolerate: a finding in any form.
     */
    @Test
    void findsAFalseVerdictAfterToleratedFaults() {
        rig("fault on", "number", 2, "kind", "loss", "amount", 0.3, "links", "a>b b>a");
        rig("stop", "members", "b");
        at += 4;
        rig("cont", "members", "b");
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        change("a", 4, "b", "b1", 1, "GONE", "HERE");
        assertEquals(List.of("a declared b faulty while it was running"), found(false));
    }

    /** Two processes have one name, and two views do not agree on which of them holds it. */
    @Test
    void findsANameHeldByDifferentProcesses() {
        rig("start", "members", "c");
        life("c", "b", "c1");
        change("c", 1, "a", "a1", 0, "", "HERE");
        change("c", 2, "b", "b1", 0, "", "HERE");
        assertEquals(List.of(), found(false), "c does not claim the name");
        change("c", 3, "b", "b1", 0, "HERE", "GONE");
        change("c", 4, "b", "c1", 1, "GONE", "HERE");
        assertFound("b is a different process in different views: generations [b1, c1]");
    }

    /** A view publishes a process that never existed. */
    @Test
    void findsAGenerationThatNeverExisted() {
        change("a", 3, "b", "b9", 1, "HERE", "GONE");
        assertFound("b was published with generation b9");
    }
}
