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
import pepperdock.membership.Card;
import pepperdock.membership.Item;
import pepperdock.membership.Links;
import pepperdock.membership.Message;
import pepperdock.membership.Status;
import pepperdock.membership.Word;

class CodecTest {

    private static String name(Random r) {
        return r.nextInt(4) == 0 ? "x".repeat(64) : "g" + r.nextInt(1000);
    }

    private static Item item(Random r) {
        if (r.nextBoolean()) {
            return new Card(
                    name(r),
                    r.nextLong(),
                    r.nextInt(1 << 20),
                    Status.values()[r.nextInt(3)],
                    "127.255.255.255:65535",
                    name(r),
                    name(r));
        }
        Map<String, Links.Said> said = new HashMap<>();
        for (int i = r.nextInt(9); i > 0; i--) {
            said.put(name(r), new Links.Said(r.nextLong(), Word.values()[r.nextInt(4)]));
        }
        return new Links(name(r), r.nextLong(), r.nextInt(1 << 30), r.nextBoolean(), said);
    }

    private static Message message(Random r) {
        Message.Head head =
                new Message.Head("fleet", name(r), r.nextLong(), r.nextInt(100), "[::1]:7400", r.nextLong());
        List<Item> items = new ArrayList<>();
        for (int i = r.nextInt(5); i > 0; i--) {
            items.add(item(r));
        }
        return switch (r.nextInt(13)) {
            case 0 -> new Message.Ping(head, name(r), r.nextLong(), 8, items);
            case 1 -> new Message.Ack(head, r.nextInt(9), items);
            case 2 -> new Message.Other(head, name(r), r.nextLong());
            case 3 -> new Message.Ask(head, name(r), r.nextLong(), "127.0.0.1:1", 1L << 40);
            case 4 -> new Message.Told(head, name(r), r.nextLong(), 5);
            case 5 -> new Message.Digest(head, Message.ALL_SLICES, Map.of(name(r), r.nextLong()));
            case 7 ->
                new Message.Summary(head, r.longs(Message.SLICE_COUNT).boxed().toList());
            case 8 -> new Message.Slices(head, r.nextInt());
            case 10 -> new Message.Join(head);
            case 11 -> new Message.Welcome(head, items);
            case 9 -> new Message.Digest(head, r.nextInt() & 0xFFFF, Map.of(name(r), r.nextLong()));
            case 6 -> new Message.Reply(head, items, List.of(name(r), "a"));
            default -> new Message.Rest(head, items);
        };
    }

    @Property(seed = "71", tries = 500)
    void whatIsWrittenIsRead(@ForAll long seed) {
        Message m = message(new Random(seed));
        byte[] bytes = Codec.bytes(m);
        assertEquals(m, Codec.message(bytes, 0, bytes.length));
    }

    @Property(seed = "74", tries = 500)
    void aMessageIsNoLargerThanItSays(@ForAll long seed) {
        Message m = message(new Random(seed));
        assertTrue(Codec.bytes(m).length <= m.size(), m.toString());
    }

    @Property(seed = "72", tries = 500)
    void anItemIsNoLargerThanItSays(@ForAll long seed) {
        Item i = item(new Random(seed));
        Message.Head h = new Message.Head("f", "n", 1, 1, "127.0.0.1:1", 1);
        int alone = Codec.bytes(new Message.Rest(h, List.of())).length;
        assertTrue(Codec.bytes(new Message.Rest(h, List.of(i))).length - alone <= i.size(), i.toString());
    }

    @Property(seed = "73", tries = 2000)
    void whatWasSpoiltIsRefusedOrReadAndNothingElse(@ForAll long seed) {
        Random r = new Random(seed);
        byte[] bytes = Codec.bytes(message(r));
        int length = r.nextInt(bytes.length + 1);
        for (int i = r.nextInt(4); i > 0; i--) {
            bytes[r.nextInt(bytes.length)] = (byte) r.nextInt();
        }
        try {
            Codec.message(bytes, 0, length);
        } catch (IllegalArgumentException refused) {
            assertTrue(refused.getMessage() != null);
        }
    }

    @Test
    void anotherVersionAndTwoMessagesAndRubbishAreRefused() {
        byte[] sound = Codec.bytes(new Message.Other(new Message.Head("f", "n", 1, 1, "127.0.0.1:1", 1), "m", 2));
        byte[] twice = java.util.Arrays.copyOf(sound, 2 * sound.length);
        System.arraycopy(sound, 0, twice, sound.length, sound.length);
        byte[] newer = sound.clone();
        // The first byte begins the array, the second is the version.
        newer[1] = 2;
        for (byte[] bad : List.of(twice, newer, new byte[0], new byte[2048])) {
            assertThrows(IllegalArgumentException.class, () -> Codec.message(bad, 0, bad.length));
        }
    }
}
