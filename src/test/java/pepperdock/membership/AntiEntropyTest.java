package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pepperdock.membership.Message.Digest;
import pepperdock.membership.Message.Head;
import pepperdock.membership.Message.Reply;
import pepperdock.membership.Message.Rest;
import pepperdock.membership.Message.Slices;
import pepperdock.membership.Message.Summary;

/** Exchanges of large tables within little room: none is large, and several get through all. */
class AntiEntropyTest {

    private static final int MEMBERS = 500;
    private static final int ROOM = 1500;

    private final Random chance = new Random(5);
    private int largest;
    private int exchanges;

    private static String address(int i) {
        return "10.0." + (i >> 8) + '.' + (i & 255) + ":7400";
    }

    private static Card card(int i) {
        return new Card("gatherer-" + i, 1000 + i, 0, Status.HERE, address(i), "zone", "machine-" + i);
    }

    private static Head head(int i, Table table) {
        return new Head("fleet", "gatherer-" + i, 1000 + i, 0, address(i), table.state());
    }

    private static Table holding(int from, int to) {
        Table table = new Table(2000, 8);
        for (int i = from; i < to; i++) {
            table.merge(card(i), 0);
        }
        return table;
    }

    private static void merge(Table into, List<Item> items) {
        for (Item i : items) {
            if (i instanceof Card c) {
                into.merge(c, 0);
            } else {
                into.merge((Links) i);
            }
        }
    }

    private <M extends Message> M seen(M m) {
        largest = Math.max(largest, m.size());
        return m;
    }

    /** One exchange, opened by member 0 with member 1; false where they found nothing to exchange. */
    private boolean exchange(Table opener, Table other) {
        AntiEntropy a = new AntiEntropy(opener, chance);
        AntiEntropy b = new AntiEntropy(other, chance);
        Message first = seen(a.opening(head(0, opener)));
        Digest digest;
        if (first instanceof Summary summary) {
            Slices slices = b.differing(head(1, other), summary);
            if (slices == null) {
                return false;
            }
            digest = seen(a.digest(head(0, opener), seen(slices)));
        } else {
            digest = (Digest) first;
        }
        Reply reply = seen(b.reply(head(1, other), digest, true, ROOM));
        merge(opener, reply.items());
        Rest rest = seen(a.rest(head(0, opener), reply, ROOM));
        merge(other, rest.items());
        exchanges++;
        return true;
    }

    @Test
    void twoHalvesBecomeOneInMessagesOfLittleSize() {
        Table left = holding(0, MEMBERS / 2);
        Table right = holding(MEMBERS / 2, MEMBERS);
        right.merge(card(1), 0);
        while (left.state() != right.state() && exchanges < 100) {
            exchange(left, right);
        }
        assertEquals(MEMBERS, left.size());
        assertEquals(left.state(), right.state());
        assertTrue(largest <= ROOM, largest + " bytes in one message");
        assertFalse(exchange(left, right), "nothing is left to exchange");
    }

    @Test
    void oneChangeAmongFiveHundredCostsLittle() {
        Table left = holding(0, MEMBERS);
        Table right = holding(0, MEMBERS);
        right.merge(card(77).with(Status.GONE), 1);
        assertTrue(exchange(left, right));
        assertEquals(left.state(), right.state());
        assertTrue(largest < 1000, largest + " bytes in one message");
    }

    @Test
    void whoIsNewHearsOfItsNameFirstWhateverTheRoom() {
        Table seed = holding(0, MEMBERS);
        Table fresh = new Table(2000, 8);
        fresh.merge(new Card("gatherer-333", 7, 0, Status.HERE, "10.9.9.9:1", "zone", "machine"), 0);
        Head asker = new Head("fleet", "gatherer-333", 7, 0, "10.9.9.9:1", fresh.state());
        AntiEntropy b = new AntiEntropy(seed, chance);
        Digest opening = (Digest) new AntiEntropy(fresh, chance).opening(asker);
        int room = AntiEntropy.LEAST_ROOM;
        assertEquals(
                card(333), b.reply(head(1, seed), opening, true, room).items().get(0));
        assertEquals(
                card(333),
                b.welcome(head(1, seed), "gatherer-333", true, room).items().get(0));
        assertTrue(b.reply(head(1, seed), opening, true, room).size() <= room);
        assertTrue(b.welcome(head(1, seed), "gatherer-333", true, room).size() <= room);
        assertFalse(b.welcome(head(1, seed), "new", false, 4000).items().contains(card(1)), "it speaks for itself");
    }
}
