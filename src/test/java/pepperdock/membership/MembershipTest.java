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

/**
 * Runs a few members by hand, with immediate delivery of messages and time in ticks, for cases that a script of the
 * test rig can't express.
 */
class MembershipTest {

    private static final MembershipSettings SETTINGS = MembershipSettings.of(0.5, 3, 3);

    private final Map<String, Membership> membersByAddress = new LinkedHashMap<>();
    private final Map<Membership, List<MembershipOutput>> outputs = new LinkedHashMap<>();
    private final List<String> downAddresses = new ArrayList<>();
    private double now;

    private Membership add(String name, String address, long generation) {
        Membership member = new Membership(
                SETTINGS,
                "fleet",
                new MemberRecord(name, generation, 0, RecordStatus.ALIVE, address, "z", address),
                List.of("h1:1"),
                generation,
                now);
        membersByAddress.put(address, member);
        outputs.put(member, new ArrayList<>());
        return member;
    }

    private void carryOutOutputs(Membership member) {
        for (MembershipOutput output : member.takeOutputs()) {
            outputs.get(member).add(output);
            if (output instanceof MembershipOutput.SendDatagram datagram) {
                deliver(datagram.address(), receiver -> receiver.onDatagram(datagram.message(), now));
            } else if (output instanceof MembershipOutput.OpenExchange exchange
                    && membersByAddress.containsKey(exchange.address())
                    && !downAddresses.contains(exchange.address())) {
                Membership receiver = membersByAddress.get(exchange.address());
                Message response = receiver.onStreamMessage(member.openExchange(), now);
                Message missingItems = response == null ? null : member.onStreamMessage(response, now);
                if (missingItems != null) {
                    receiver.onStreamMessage(missingItems, now);
                }
                carryOutOutputs(receiver);
            }
        }
    }

    private void deliver(String address, Consumer<Membership> delivery) {
        if (membersByAddress.containsKey(address) && !downAddresses.contains(address)) {
            delivery.accept(membersByAddress.get(address));
            carryOutOutputs(membersByAddress.get(address));
        }
    }

    private void advance(double seconds) {
        for (double until = now + seconds; now < until; now += SETTINGS.tickS()) {
            for (Map.Entry<String, Membership> member : membersByAddress.entrySet()) {
                if (!downAddresses.contains(member.getKey())) {
                    member.getValue().tick(now);
                    carryOutOutputs(member.getValue());
                }
            }
        }
    }

    private static MembershipView.Member memberSeenBy(Membership viewer, String name) {
        return viewer.view().members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private boolean hasNotice(Membership member, String kind) {
        return outputs.get(member).stream()
                .anyMatch(output -> output instanceof MembershipOutput.Notice notice
                        && notice.kind().equals(kind));
    }

    /**
     * An operator starts a second process with a name that is in use. It stays out while the first one answers, takes
     * the name once the first one is gone, and the first one yields the name when it comes back.
     */
    @Test
    void nameHeldByAnotherProcessIsClaimedOnlyOnceThatIsGone() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        advance(3);
        Membership second = add("b", "h3:1", 3);
        advance(20);
        assertTrue(hasNotice(second, "taken"));
        assertEquals("h2:1", second.view().nameConflictAddress());
        assertEquals("h2:1", memberSeenBy(a, "b").address());
        assertEquals(2, memberSeenBy(a, "b").generation());
        assertEquals("", b.view().nameConflictAddress());
        assertEquals(0, memberSeenBy(b, "b").incarnation(), "the first process must not have been declared faulty");
        // Once the first process is down, the second one claims the name.
        downAddresses.add("h2:1");
        advance(20);
        assertTrue(hasNotice(second, "claimed"));
        assertEquals("h3:1", memberSeenBy(a, "b").address());
        assertEquals(MemberState.ALIVE, memberSeenBy(a, "b").state());
        // When the first process comes back, it yields the name in turn.
        downAddresses.remove("h2:1");
        advance(20);
        assertEquals("h3:1", b.view().nameConflictAddress());
        assertEquals("h3:1", memberSeenBy(a, "b").address());
    }

    /**
     * Guards against two processes of one name that both stay out for good. Both have claimed the name in the same
     * incarnation: one has not joined yet and yields to the other, which has the lower generation and yields in turn.
     */
    @Test
    void twoProcessesThatHaveYieldedTheNameToEachOtherSettle() {
        Membership a = add("a", "h1:1", 1);
        Membership first = add("b", "h2:1", 10);
        advance(3);
        gossip(first, new MemberRecord("b", 10, 0, RecordStatus.FAULTY, "h2:1", "z", "h2:1"));
        Membership second = add("b", "h3:1", 20);
        gossip(second, new MemberRecord("b", 3, 0, RecordStatus.ALIVE, "h3:1", "z", "h3:1"));
        assertEquals(1, first.self().incarnation());
        assertEquals(1, second.self().incarnation());
        MemberRecord claimOfSecond = second.self();
        gossip(second, first.self());
        gossip(first, claimOfSecond);
        assertEquals("h2:1", second.view().nameConflictAddress());
        assertEquals("h3:1", first.view().nameConflictAddress());
        advance(30);
        boolean firstHolds = first.view().nameConflictAddress().isEmpty();
        boolean secondHolds = second.view().nameConflictAddress().isEmpty();
        assertTrue(firstHolds != secondHolds, "held by the first: " + firstHolds + ", by the second: " + secondHolds);
        assertEquals(firstHolds ? "h2:1" : "h3:1", memberSeenBy(a, "b").address());
        assertEquals(MemberState.ALIVE, memberSeenBy(a, "b").state());
    }

    /** Passes a record to a member as gossip of member a, and carries out nothing that follows. */
    private void gossip(Membership receiver, MemberRecord memberRecord) {
        Message.Header header = new Message.Header("fleet", "a", 1, 0, "h1:1", 0);
        receiver.onDatagram(new Message.Ping(header, "a", 1, 1, List.of(memberRecord)), now);
    }

    /**
     * A member of another fleet has the address by mistake, and the network repeats datagrams and delivers old ones
     * late. The table does not change.
     */
    @Test
    void messagesOfOtherFleetsAndLateOrRepeatedOnesChangeNothing() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        advance(3);
        long state = a.stateDigest();
        List<MembershipOutput> before = List.copyOf(outputs.get(b));
        Membership foreigner = new Membership(
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
        assertEquals(null, a.onStreamMessage(foreigner.openExchange(), now));
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
     * A member is shut down gracefully and started again later. The others see it as left, not as faulty, and the new
     * process continues with the next incarnation.
     */
    @Test
    void memberThatLeftReturnsInItsNextIncarnation() {
        Membership a = add("a", "h1:1", 1);
        Membership b = add("b", "h2:1", 2);
        advance(3);
        b.leave(now);
        carryOutOutputs(b);
        downAddresses.add("h2:1");
        advance(30);
        assertEquals(MemberState.LEFT, memberSeenBy(a, "b").state());
        assertTrue(a.view().hasMajority());
        downAddresses.remove("h2:1");
        Membership restarted = add("b", "h2:1", 7);
        advance(5);
        assertEquals(MemberState.ALIVE, memberSeenBy(a, "b").state());
        assertEquals(1, memberSeenBy(restarted, "b").incarnation());
    }

    /**
     * More members are announced than the table may hold, so the excess is rejected. A faulty member is forgotten, and
     * a late verdict on it does not bring it back.
     */
    @Test
    void tableIsBoundedAndForgetsFaultyMembers() {
        MembershipSettings limited =
                new MembershipSettings(0.5, 3, 3, 8, 0.75, 2, 3, 0.5, 30, 60, 100, 64 << 10, 5, true);
        MembershipTable table = new MembershipTable(limited.maxMembers(), limited.observers());
        for (int i = 0; i < 50; i++) {
            table.merge(new MemberRecord("m" + i, i, 0, RecordStatus.ALIVE, "h" + i + ":1", "z", "m"), 0);
        }
        assertEquals(5, table.entries().size());
        assertEquals(45, table.rejected());
        MemberRecord faulty = new MemberRecord("m1", 1, 0, RecordStatus.FAULTY, "h1:1", "z", "m");
        table.merge(faulty, 1);
        table.removeExpired(2, "m0");
        assertEquals(4, table.entries().size());
        assertEquals(
                MembershipTable.MergeResult.UNCHANGED,
                table.merge(faulty, 3),
                "a faulty record of an unknown member must not be added");
        assertFalse(table.rings().names().contains("m1"));
    }
}
