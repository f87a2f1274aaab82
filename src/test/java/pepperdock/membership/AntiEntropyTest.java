package pepperdock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pepperdock.membership.Message.DigestRequest;
import pepperdock.membership.Message.DigestResponse;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.MissingItems;
import pepperdock.membership.Message.SliceDigests;
import pepperdock.membership.Message.SliceSelection;

/** Exchanges of large tables within little room: none is large, and several get through all. */
class AntiEntropyTest {

    private static final int MEMBERS = 500;
    private static final int ROOM = 1500;

    private final Random random = new Random(5);
    private int largest;
    private int exchanges;

    private static String address(int i) {
        return "10.0." + (i >> 8) + '.' + (i & 255) + ":7400";
    }

    private static MemberRecord memberRecord(int i) {
        return new MemberRecord("gatherer-" + i, 1000 + i, 0, RecordStatus.ALIVE, address(i), "zone", "machine-" + i);
    }

    private static Header header(int i, MembershipTable table) {
        return new Header("fleet", "gatherer-" + i, 1000 + i, 0, address(i), table.stateDigest());
    }

    private static MembershipTable holding(int from, int to) {
        MembershipTable table = new MembershipTable(2000, 8);
        for (int i = from; i < to; i++) {
            table.merge(memberRecord(i), 0);
        }
        return table;
    }

    private static void merge(MembershipTable into, List<GossipItem> items) {
        for (GossipItem item : items) {
            if (item instanceof MemberRecord memberRecord) {
                into.merge(memberRecord, 0);
            } else {
                into.merge((Observations) item);
            }
        }
    }

    private <M extends Message> M seen(M message) {
        largest = Math.max(largest, message.maxEncodedBytes());
        return message;
    }

    /** One exchange, opened by member 0 with member 1; false where they found nothing to exchange. */
    private boolean exchange(MembershipTable opener, MembershipTable other) {
        AntiEntropy a = new AntiEntropy(opener, random);
        AntiEntropy b = new AntiEntropy(other, random);
        Message first = seen(a.opening(header(0, opener)));
        DigestRequest digest;
        if (first instanceof SliceDigests summary) {
            SliceSelection slices = b.differingSlices(header(1, other), summary);
            if (slices == null) {
                return false;
            }
            digest = seen(a.digestRequest(header(0, opener), seen(slices)));
        } else {
            digest = (DigestRequest) first;
        }
        DigestResponse reply = seen(b.digestResponse(header(1, other), digest, true, ROOM));
        merge(opener, reply.items());
        MissingItems rest = seen(a.missingItems(header(0, opener), reply, ROOM));
        merge(other, rest.items());
        exchanges++;
        return true;
    }

    /**
     * A partition has kept two halves of a large fleet apart from the start. When it heals, exchanges within a small budget
     * bring both to the same table.
     */
    @Test
    void twoHalvesBecomeOneInMessagesOfLittleSize() {
        MembershipTable left = holding(0, MEMBERS / 2);
        MembershipTable right = holding(MEMBERS / 2, MEMBERS);
        right.merge(memberRecord(1), 0);
        while (left.stateDigest() != right.stateDigest() && exchanges < 100) {
            exchange(left, right);
        }
        assertEquals(MEMBERS, left.size());
        assertEquals(left.stateDigest(), right.stateDigest());
        assertTrue(largest <= ROOM, largest + " bytes in one message");
        assertFalse(exchange(left, right), "nothing is left to exchange");
    }

    /** Gossip of one verdict was lost. The exchange that brings it must not send the whole table. */
    @Test
    void oneChangeAmongFiveHundredCostsLittle() {
        MembershipTable left = holding(0, MEMBERS);
        MembershipTable right = holding(0, MEMBERS);
        right.merge(memberRecord(77).withStatus(RecordStatus.FAULTY), 1);
        assertTrue(exchange(left, right));
        assertEquals(left.stateDigest(), right.stateDigest());
        assertTrue(largest < 1000, largest + " bytes in one message");
    }

    /**
     * A process starts with a name that another one holds. Even an answer with hardly any room has to tell it so, or it
     * would speak for that name.
     */
    @Test
    void whoIsNewHearsOfItsNameFirstWhateverTheRoom() {
        MembershipTable seed = holding(0, MEMBERS);
        MembershipTable fresh = new MembershipTable(2000, 8);
        fresh.merge(new MemberRecord("gatherer-333", 7, 0, RecordStatus.ALIVE, "10.9.9.9:1", "zone", "machine"), 0);
        Header asker = new Header("fleet", "gatherer-333", 7, 0, "10.9.9.9:1", fresh.stateDigest());
        AntiEntropy b = new AntiEntropy(seed, random);
        DigestRequest opening = (DigestRequest) new AntiEntropy(fresh, random).opening(asker);
        int room = AntiEntropy.MIN_RESPONSE_BYTES;
        assertEquals(
                memberRecord(333),
                b.digestResponse(header(1, seed), opening, true, room).items().get(0));
        assertEquals(
                memberRecord(333),
                b.joinResponse(header(1, seed), "gatherer-333", true, room)
                        .items()
                        .get(0));
        assertTrue(b.digestResponse(header(1, seed), opening, true, room).maxEncodedBytes() <= room);
        assertTrue(b.joinResponse(header(1, seed), "gatherer-333", true, room).maxEncodedBytes() <= room);
        assertFalse(
                b.joinResponse(header(1, seed), "new", false, 4000).items().contains(memberRecord(1)),
                "it speaks for itself");
    }
}
