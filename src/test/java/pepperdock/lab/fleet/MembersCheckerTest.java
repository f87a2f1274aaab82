package pepperdock.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pepperdock.events.Events;

/** The checker finds each fault that is planted in a history, and none in the same history without it. */
class MembersCheckerTest {

    private final List<Event> history = new ArrayList<>();
    private double at;

    MembersCheckerTest() {
        rig("start", "members", "a,b");
        for (String who : List.of("a", "b")) {
            member(who, "life", "life", who + "1", "datagrams_per_s", 10, "bytes_per_s", 1000);
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

    private void change(String who, int no, String name, String life, int incarnation, String from, String to) {
        member(who, "change", "no", no, "name", name, "life", life, "incarnation", incarnation, "from", from, "to", to, "why", "");
    }

    private List<String> found(boolean strict) {
        Checker checker = new MembersChecker(strict);
        for (int i = 0; i < history.size(); i++) {
            checker.see(i + 1, history.get(i));
        }
        return checker.findings(true).stream().map(Checker.Finding::what).toList();
    }

    private void assertFound(String what) {
        List<String> found = found(false);
        assertTrue(found.stream().anyMatch(f -> f.contains(what)), found.toString());
    }

    /** b dies, is called gone, and comes back in its next life; with whatever a then tells. */
    private void bDiesAndReturns() {
        rig("kill", "members", "b");
        rig("exit", "member", "b", "status", 137);
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        rig("start", "members", "b");
        member("b", "life", "life", "b2", "datagrams_per_s", 10, "bytes_per_s", 1000);
        change("b", 1, "b", "b2", 1, "", "HERE");
        change("b", 2, "a", "a1", 0, "", "HERE");
    }

    @Test
    void aSoundHistoryHasNothing() {
        bDiesAndReturns();
        change("a", 4, "b", "b2", 1, "GONE", "HERE");
        rig("traffic", "member", "a", "over_s", 1, "datagrams", 20, "bytes", 900);
        assertEquals(List.of(), found(true));
    }

    @Test
    void anIncarnationThatGoesBack() {
        change("a", 3, "b", "b1", 4, "HERE", "CUT_OFF");
        change("a", 4, "b", "b1", 3, "CUT_OFF", "HERE");
        assertFound("go back from 4 to 3");
    }

    @Test
    void aDeadMemberBelievedAfterItsReturn() {
        bDiesAndReturns();
        assertFound("a sees b gone in life b1, and it is running in life b2");
    }

    @Test
    void anOlderLifeBelievedAfterItsReturn() {
        bDiesAndReturns();
        change("a", 4, "b", "b1", 1, "GONE", "HERE");
        assertFound("a sees b here in life b1, and it is running in life b2");
    }

    @Test
    void aChangeToldTwiceOrOutOfOrderOrFromSomewhereElse() {
        change("a", 2, "b", "b1", 0, "HERE", "SLOW");
        assertFound("told change 2 after 2");
        change("a", 4, "b", "b1", 0, "SLOW", "HERE");
        assertFound("told change 4 after 2");
        change("a", 5, "b", "b1", 0, "CUT_OFF", "HERE");
        assertFound("from CUT_OFF, which it had told as HERE");
    }

    @Test
    void aRefutationThatIsLost() {
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        member("b", "refuted", "why", "called gone", "amount", 1);
        assertFound("views never met: a sees b gone");
    }

    @Test
    void aDeadMemberThatNobodyMisses() {
        rig("kill", "members", "b");
        rig("exit", "member", "b", "status", 137);
        assertFound("a sees b here in life b1, and it is not running");
    }

    @Test
    void aBudgetExceeded() {
        rig("traffic", "member", "b", "over_s", 1, "datagrams", 22, "bytes", 900);
        assertFound("b sent more than its budget");
    }

    @Test
    void aRunningMemberCalledGoneIsAFindingOfTheStrictFormOnly() {
        change("a", 3, "b", "b1", 0, "HERE", "GONE");
        change("a", 4, "b", "b1", 1, "GONE", "HERE");
        assertEquals(List.of(), found(false));
        assertEquals(List.of("a called b gone, which was running"), found(true));
    }
}
