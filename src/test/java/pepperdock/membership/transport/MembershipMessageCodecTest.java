package pepperdock.membership.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import pepperdock.membership.GossipItem;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.Message;
import pepperdock.membership.Observation;
import pepperdock.membership.Observations;
import pepperdock.membership.RecordStatus;

class MembershipMessageCodecTest {

    private static String name(Random random) {
        return random.nextInt(4) == 0 ? "x".repeat(64) : "g" + random.nextInt(1000);
    }

    private static GossipItem item(Random random) {
        if (random.nextBoolean()) {
            return new MemberRecord(
                    name(random),
                    random.nextLong(),
                    random.nextInt(1 << 20),
                    RecordStatus.values()[random.nextInt(3)],
                    "127.255.255.255:65535",
                    name(random),
                    name(random));
        }
        Map<String, Observations.SubjectObservation> bySubject = new HashMap<>();
        for (int i = random.nextInt(9); i > 0; i--) {
            bySubject.put(
                    name(random),
                    new Observations.SubjectObservation(random.nextLong(), Observation.values()[random.nextInt(4)]));
        }
        return new Observations(
                name(random), random.nextLong(), random.nextInt(1 << 30), random.nextBoolean(), bySubject);
    }

    private static Message message(Random random) {
        Message.Header header = new Message.Header(
                "fleet", name(random), random.nextLong(), random.nextInt(100), "[::1]:7400", random.nextLong());
        List<GossipItem> items = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            items.add(item(random));
        }
        return switch (random.nextInt(13)) {
            case 0 -> new Message.Ping(header, name(random), random.nextLong(), 8, items);
            case 1 -> new Message.Ack(header, random.nextInt(9), items);
            case 2 -> new Message.WrongAddressee(header, name(random), random.nextLong());
            case 3 -> new Message.IndirectPing(header, name(random), random.nextLong(), "127.0.0.1:1", 1L << 40);
            case 4 -> new Message.IndirectAck(header, name(random), random.nextLong(), 5);
            case 5 -> new Message.DigestRequest(header, Message.ALL_SLICES, Map.of(name(random), random.nextLong()));
            case 7 ->
                new Message.SliceDigests(
                        header, random.longs(Message.SLICE_COUNT).boxed().toList());
            case 8 -> new Message.SliceSelection(header, random.nextInt());
            case 10 -> new Message.Join(header);
            case 11 -> new Message.JoinResponse(header, items);
            case 9 ->
                new Message.DigestRequest(header, random.nextInt() & 0xFFFF, Map.of(name(random), random.nextLong()));
            case 6 -> new Message.DigestResponse(header, items, List.of(name(random), "a"));
            default -> new Message.MissingItems(header, items);
        };
    }

    @Property(seed = "71", tries = 500)
    void decodesWhatItEncodes(@ForAll long seed) {
        Message message = message(new Random(seed));
        byte[] bytes = MembershipMessageCodec.encode(message);
        assertEquals(message, MembershipMessageCodec.decode(bytes, 0, bytes.length));
    }

    @Property(seed = "74", tries = 500)
    void encodedMessageIsNoLargerThanItsDeclaredMaximum(@ForAll long seed) {
        Message message = message(new Random(seed));
        assertTrue(MembershipMessageCodec.encode(message).length <= message.maxEncodedBytes(), message.toString());
    }

    @Property(seed = "72", tries = 500)
    void encodedItemIsNoLargerThanItsDeclaredMaximum(@ForAll long seed) {
        GossipItem item = item(new Random(seed));
        Message.Header header = new Message.Header("f", "n", 1, 1, "127.0.0.1:1", 1);
        int emptyLength = MembershipMessageCodec.encode(new Message.MissingItems(header, List.of())).length;
        assertTrue(
                MembershipMessageCodec.encode(new Message.MissingItems(header, List.of(item))).length - emptyLength
                        <= item.maxEncodedBytes(),
                item.toString());
    }

    /**
     * A datagram arrives corrupted or truncated, or something else sends garbage to the port. The codec rejects it with
     * its one exception type; no other exception reaches the loop.
     */
    @Property(seed = "73", tries = 2000)
    void decodesOrRejectsCorruptedBytesWithoutOtherExceptions(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = MembershipMessageCodec.encode(message(random));
        int length = random.nextInt(bytes.length + 1);
        for (int i = random.nextInt(4); i > 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        try {
            MembershipMessageCodec.decode(bytes, 0, length);
        } catch (IllegalArgumentException rejected) {
            assertTrue(rejected.getMessage() != null);
        }
    }

    /**
     * A datagram from a member of a later version, or with two messages, is rejected as a whole: a message must not be
     * applied in part.
     */
    @Test
    void rejectsOtherVersionsSeveralMessagesAndGarbage() {
        byte[] valid = MembershipMessageCodec.encode(
                new Message.WrongAddressee(new Message.Header("f", "n", 1, 1, "127.0.0.1:1", 1), "m", 2));
        byte[] twice = java.util.Arrays.copyOf(valid, 2 * valid.length);
        System.arraycopy(valid, 0, twice, valid.length, valid.length);
        byte[] newer = valid.clone();
        // The first byte is the start of the array, the second is the version.
        newer[1] = 2;
        for (byte[] invalid : List.of(twice, newer, new byte[0], new byte[2048])) {
            assertThrows(
                    IllegalArgumentException.class, () -> MembershipMessageCodec.decode(invalid, 0, invalid.length));
        }
    }
}
