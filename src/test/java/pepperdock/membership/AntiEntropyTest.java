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

/** Exchanges of large tables with little room: no message is large, and several exchanges transfer everything. */
class AntiEntropyTest {

    private static final int MEMBERS = 500;
    private static final int MAX_MESSAGE_BYTES = 1500;

    private final Random random = new Random(5);
    private int largestMessage;
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

    private static MembershipTable tableOfMembers(int from, int to) {
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

    private <M extends Message> M recordSize(M message) {
        largestMessage = Math.max(largestMessage, message.maxEncodedBytes());
        return message;
    }

    /** Runs one exchange, opened by member 0 with member 1; returns false if they found nothing to exchange. */
    private boolean exchange(MembershipTable opener, MembershipTable other) {
        AntiEntropy openerExchange = new AntiEntropy(opener, random);
        AntiEntropy otherExchange = new AntiEntropy(other, random);
        Message first = recordSize(openerExchange.opening(header(0, opener)));
        DigestRequest request;
        if (first instanceof SliceDigests digests) {
            SliceSelection slices = otherExchange.differingSlices(header(1, other), digests);
            if (slices == null) {
                return false;
            }
            request = recordSize(openerExchange.digestRequest(header(0, opener), recordSize(slices)));
        } else {
            request = (DigestRequest) first;
        }
        DigestResponse response =
                recordSize(otherExchange.digestResponse(header(1, other), request, true, MAX_MESSAGE_BYTES));
        merge(opener, response.items());
        MissingItems missing = recordSize(openerExchange.missingItems(header(0, opener), response, MAX_MESSAGE_BYTES));
        merge(other, missing.items());
        exchanges++;
        return true;
    }

    /**
     * A partition has kept two halves of a large fleet apart from the start. When it heals, exchanges within a small
     * budget bring both to the same table.
     */
    @Test
    void separatedHalvesConvergeBySmallMessages() {
        MembershipTable left = tableOfMembers(0, MEMBERS / 2);
        MembershipTable right = tableOfMembers(MEMBERS / 2, MEMBERS);
        right.merge(memberRecord(1), 0);
        while (left.stateDigest() != right.stateDigest() && exchanges < 100) {
            exchange(left, right);
        }
        assertEquals(MEMBERS, left.size());
        assertEquals(left.stateDigest(), right.stateDigest());
        assertTrue(largestMessage <= MAX_MESSAGE_BYTES, largestMessage + " bytes in one message");
        assertFalse(exchange(left, right), "nothing is left to exchange");
    }

    /** The gossip of one verdict was lost. The exchange that delivers the verdict must not send the whole table. */
    @Test
    void singleDifferenceIsExchangedInSmallMessages() {
        MembershipTable left = tableOfMembers(0, MEMBERS);
        MembershipTable right = tableOfMembers(0, MEMBERS);
        right.merge(memberRecord(77).withStatus(RecordStatus.FAULTY), 1);
        assertTrue(exchange(left, right));
        assertEquals(left.stateDigest(), right.stateDigest());
        assertTrue(largestMessage < 1000, largestMessage + " bytes in one message");
    }

    /**
     * A process starts with a name that another one holds. Even the smallest answer has to contain the record of that
     * name, or the new process would publish items under it.
     */
    @Test
    void newMemberIsSentTheRecordOfItsNameFirst() {
        MembershipTable seed = tableOfMembers(0, MEMBERS);
        MembershipTable newTable = new MembershipTable(2000, 8);
        newTable.merge(new MemberRecord("gatherer-333", 7, 0, RecordStatus.ALIVE, "10.9.9.9:1", "zone", "machine"), 0);
        Header newHeader = new Header("fleet", "gatherer-333", 7, 0, "10.9.9.9:1", newTable.stateDigest());
        AntiEntropy seedExchange = new AntiEntropy(seed, random);
        DigestRequest opening = (DigestRequest) new AntiEntropy(newTable, random).opening(newHeader);
        int maxBytes = AntiEntropy.MIN_RESPONSE_BYTES;
        assertEquals(
                memberRecord(333),
                seedExchange
                        .digestResponse(header(1, seed), opening, true, maxBytes)
                        .items()
                        .get(0));
        assertEquals(
                memberRecord(333),
                seedExchange
                        .joinResponse(header(1, seed), "gatherer-333", true, maxBytes)
                        .items()
                        .get(0));
        assertTrue(seedExchange
                        .digestResponse(header(1, seed), opening, true, maxBytes)
                        .maxEncodedBytes()
                <= maxBytes);
        assertTrue(seedExchange
                        .joinResponse(header(1, seed), "gatherer-333", true, maxBytes)
                        .maxEncodedBytes()
                <= maxBytes);
        assertFalse(
                seedExchange
                        .joinResponse(header(1, seed), "new", false, 4000)
                        .items()
                        .contains(memberRecord(1)),
                "a member that has not joined must not send its own record");
    }
}
