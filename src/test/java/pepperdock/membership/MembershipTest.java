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

    private static final MembershipSettings SETTINGS = MembershipSettings.of(0.5, 3, 3);

    private final Map<String, Membership> at = new LinkedHashMap<>();
    private final Map<Membership, List<MembershipOutput>> told = new LinkedHashMap<>();
    private final List<String> down = new ArrayList<>();
    private double now;

    private Membership add(String name, String address, long life) {
        Membership member = new Membership(
                SETTINGS,
                "fleet",
                new MemberRecord(name, life, 0, RecordStatus.ALIVE, address, "z", address),
                List.of("h1:1"),
                life,
                now);
        at.put(address, member);
        told.put(member, new ArrayList<>());
        return member;
    }

    private void settle(Membership member) {
        for (MembershipOutput output : member.takeOutputs()) {
            told.get(member).add(output);
            if (output instanceof MembershipOutput.SendDatagram datagram) {
                with(datagram.address(), to -> to.onDatagram(datagram.message(), now));
            } else if (output instanceof MembershipOutput.OpenExchange exchange
                    && at.containsKey(exchange.address())
                    && !down.contains(exchange.address())) {
                Membership to = at.get(exchange.address());
                Message back = to.onStreamMessage(member.openExchange(), now);
                Message rest = back == null ? null : member.onStreamMessage(back, now);
                if (rest != null) {
                    to.onStreamMessage(rest, now);
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
            for (Map.Entry<String, Membership> member : at.entrySet()) {
                if (!down.contains(member.getKey())) {
                    member.getValue().tick(now);
                    settle(member.getValue());
                }
            }
        }
    }

    private static MembershipView.Member seen(Membership by, String name) {
        return by.view().members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private boolean noted(Membership member, String what) {
        return told.get(member).stream()
                .anyMatch(output -> output instanceof MembershipOutput.Notice notice
                        && notice.kind().equals(what));
    }

    /**
     * An operator starts a second process with a name that is in use. It stays out for as long as the first one answers,
     * takes the name once the first one is gone, and the first one gives way when it comes back.
     */
    @Test
    void aNameUsedTwiceIsToldAsSuchAndNeverMerged() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        pass(3);
        Membership twin = add("b", "h3:1", 3);
        pass(20);
        assertTrue(noted(twin, "taken"));
        assertEquals("h2:1", twin.view().nameConflictAddress());
        assertEquals("h2:1", seen(a, "b").address());
        assertEquals(2, seen(a, "b").generation());
        assertEquals("", b.view().nameConflictAddress());
        assertEquals(0, seen(b, "b").incarnation(), "the first one was never in question");
        // Once the first one is gone for good, the second may have the name.
        down.add("h2:1");
        pass(20);
        assertTrue(noted(twin, "claimed"));
        assertEquals("h3:1", seen(a, "b").address());
        assertEquals(MemberState.ALIVE, seen(a, "b").state());
        // And the first one, should it only have been away, gives way in turn.
        down.remove("h2:1");
        pass(20);
        assertEquals("h3:1", b.view().nameConflictAddress());
        assertEquals("h3:1", seen(a, "b").address());
    }

    /**
     * A member of another fleet has the address by mistake, and the network repeats datagrams and delivers old ones late.
     * Nothing of the table changes.
     */
    @Test
    void anotherFleetAndLateOrRepeatedMessagesDoNoHarm() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        pass(3);
        long state = a.stateDigest();
        List<MembershipOutput> before = List.copyOf(told.get(b));
        Membership stranger = new Membership(
                SETTINGS,
                "other",
                new MemberRecord("x", 9, 0, RecordStatus.ALIVE, "h9:1", "z", "m"),
                List.of(),
                9,
                now);
        a.onDatagram(
                new Message.Ping(
                        new Message.Header("other", "x", 9, 0, "h9:1", 0),
                        "a",
                        1,
                        1,
                        List.of(new MemberRecord("x", 9, 0, RecordStatus.ALIVE, "h9:1", "z", "m"))),
                now);
        assertEquals(null, a.onStreamMessage(stranger.openExchange(), now));
        assertEquals(2, a.counts()[3]);
        for (MembershipOutput output : before) {
            if (output instanceof MembershipOutput.SendDatagram datagram
                    && datagram.address().equals("h1:1")) {
                a.onDatagram(datagram.message(), now);
                a.onDatagram(datagram.message(), now);
            }
        }
        a.takeOutputs();
        assertEquals(state, a.stateDigest());
        assertEquals(2, a.view().members().size());
    }

    /**
     * A member is shut down with notice and started again later. The others see it as left, not as faulty, and the new
     * process goes on with the next incarnation.
     */
    @Test
    void whoLeavesIsNeitherMissedNorCalledGoneAndComesBackInItsNextIncarnation() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        pass(3);
        b.leave(now);
        settle(b);
        down.add("h2:1");
        pass(30);
        assertEquals(MemberState.LEFT, seen(a, "b").state());
        assertTrue(a.view().hasMajority());
        down.remove("h2:1");
        Membership again = add("b", "h2:1", 7);
        pass(5);
        assertEquals(MemberState.ALIVE, seen(a, "b").state());
        assertEquals(1, seen(again, "b").incarnation());
    }

    /**
     * More members are announced than the table may hold: the rest is rejected. One that is faulty is forgotten, and a late
     * verdict on it does not bring it back.
     */
    @Test
    void whatIsKeptIsBoundedAndThoseGoneAreForgotten() {
        MembershipSettings few = new MembershipSettings(0.5, 3, 3, 8, 0.75, 2, 3, 0.5, 30, 60, 100, 64 << 10, 5, true);
        MembershipTable table = new MembershipTable(few.maxMembers(), few.observers());
        for (int i = 0; i < 50; i++) {
            table.merge(new MemberRecord("m" + i, i, 0, RecordStatus.ALIVE, "h" + i + ":1", "z", "m"), 0);
        }
        assertEquals(5, table.entries().size());
        assertEquals(45, table.rejected());
        MemberRecord gone = new MemberRecord("m1", 1, 0, RecordStatus.FAULTY, "h1:1", "z", "m");
        table.merge(gone, 1);
        table.removeExpired(2, "m0");
        assertEquals(4, table.entries().size());
        assertEquals(
                MembershipTable.MergeResult.UNCHANGED, table.merge(gone, 3), "what is gone and unknown stays unknown");
        assertFalse(table.rings().names().contains("m1"));
    }
}
