package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The machine by hand: a few of them, messages at once, time in ticks; what a script of the rig can't do. */
class MembershipTest {

    private static final Settings SETTINGS = Settings.of(0.5, 3, 3);

    private final Map<String, Membership> at = new LinkedHashMap<>();
    private final Map<Membership, List<Output>> told = new LinkedHashMap<>();
    private final List<String> down = new ArrayList<>();
    private double now;

    private Membership add(String name, String address, long life) {
        Membership m = new Membership(
                SETTINGS,
                "fleet",
                new Card(name, life, 0, Status.HERE, address, "z", address),
                List.of("h1:1"),
                life,
                now);
        at.put(address, m);
        told.put(m, new ArrayList<>());
        return m;
    }

    private void settle(Membership m) {
        for (Output o : m.taken()) {
            told.get(m).add(o);
            if (o instanceof Output.Send s) {
                with(s.address(), to -> to.received(s.message(), now));
            } else if (o instanceof Output.Exchange e && at.containsKey(e.address()) && !down.contains(e.address())) {
                Membership to = at.get(e.address());
                Message back = to.exchanged(m.digest(), now);
                Message rest = back == null ? null : m.exchanged(back, now);
                if (rest != null) {
                    to.exchanged(rest, now);
                }
                settle(to);
            }
        }
    }

    private void with(String address, Consumer<Membership> does) {
        if (at.containsKey(address) && !down.contains(address)) {
            does.accept(at.get(address));
            settle(at.get(address));
        }
    }

    private void pass(double seconds) {
        for (double until = now + seconds; now < until; now += SETTINGS.tickS()) {
            for (Map.Entry<String, Membership> m : at.entrySet()) {
                if (!down.contains(m.getKey())) {
                    m.getValue().tick(now);
                    settle(m.getValue());
                }
            }
        }
    }

    private static View.Member seen(Membership by, String name) {
        return by.view().members().stream()
                .filter(m -> m.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private boolean noted(Membership m, String what) {
        return told.get(m).stream()
                .anyMatch(o -> o instanceof Output.Noted n && n.what().equals(what));
    }

    @Test
    void aNameUsedTwiceIsToldAsSuchAndNeverMerged() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        pass(3);
        Membership twin = add("b", "h3:1", 3);
        pass(20);
        assertTrue(noted(twin, "taken"));
        assertEquals("h2:1", twin.view().taken());
        assertEquals("h2:1", seen(a, "b").address());
        assertEquals(2, seen(a, "b").life());
        assertEquals("", b.view().taken());
        assertEquals(0, seen(b, "b").incarnation(), "the first one was never in question");
        // Once the first one is gone for good, the second may have the name.
        down.add("h2:1");
        pass(20);
        assertTrue(noted(twin, "claimed"));
        assertEquals("h3:1", seen(a, "b").address());
        assertEquals(Standing.HERE, seen(a, "b").standing());
        // And the first one, should it only have been away, gives way in turn.
        down.remove("h2:1");
        pass(20);
        assertEquals("h3:1", b.view().taken());
        assertEquals("h3:1", seen(a, "b").address());
    }

    @Test
    void anotherFleetAndLateOrRepeatedMessagesDoNoHarm() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        pass(3);
        long state = a.state();
        List<Output> before = List.copyOf(told.get(b));
        Membership stranger = new Membership(
                SETTINGS, "other", new Card("x", 9, 0, Status.HERE, "h9:1", "z", "m"), List.of(), 9, now);
        a.received(
                new Message.Ping(
                        new Message.Head("other", "x", 9, 0, "h9:1", 0),
                        "a",
                        1,
                        1,
                        List.of(new Card("x", 9, 0, Status.HERE, "h9:1", "z", "m"))),
                now);
        assertEquals(null, a.exchanged(stranger.digest(), now));
        assertEquals(2, a.counts()[3]);
        for (Output o : before) {
            if (o instanceof Output.Send s && s.address().equals("h1:1")) {
                a.received(s.message(), now);
                a.received(s.message(), now);
            }
        }
        a.taken();
        assertEquals(state, a.state());
        assertEquals(2, a.view().members().size());
    }

    @Test
    void whoLeavesIsNeitherMissedNorCalledGoneAndComesBackInItsNextIncarnation() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        pass(3);
        b.leave(now);
        settle(b);
        down.add("h2:1");
        pass(30);
        assertEquals(Standing.LEFT, seen(a, "b").standing());
        assertTrue(a.view().sure());
        down.remove("h2:1");
        Membership again = add("b", "h2:1", 7);
        pass(5);
        assertEquals(Standing.HERE, seen(a, "b").standing());
        assertEquals(1, seen(again, "b").incarnation());
    }

    @Test
    void whatIsKeptIsBoundedAndThoseGoneAreForgotten() {
        Settings few = new Settings(0.5, 3, 3, 8, 0.75, 2, 3, 0.5, 30, 60, 100, 64 << 10, 5, true);
        Table table = new Table(few.membersMost(), few.observers());
        for (int i = 0; i < 50; i++) {
            table.merge(new Card("m" + i, i, 0, Status.HERE, "h" + i + ":1", "z", "m"), 0);
        }
        assertEquals(5, table.all().size());
        assertEquals(45, table.refused());
        Card gone = new Card("m1", 1, 0, Status.GONE, "h1:1", "z", "m");
        table.merge(gone, 1);
        table.forget(2, "m0");
        assertEquals(4, table.all().size());
        assertEquals(Table.Merged.NOTHING, table.merge(gone, 3), "what is gone and unknown stays unknown");
        assertFalse(table.rings().names().contains("m1"));
    }
}
