package pepperdock.distribution.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import pepperdock.distribution.Change;
import pepperdock.distribution.Delta;
import pepperdock.distribution.Digest;
import pepperdock.distribution.Durability;
import pepperdock.distribution.Item;
import pepperdock.distribution.Message;
import pepperdock.distribution.Refusal;
import pepperdock.distribution.SubscriberId;
import pepperdock.distribution.Version;

/** Every message as a frame and back. */
class MessageCodecTest {

    private static final Version OLD = new Version(1, 7);
    private static final Version NEW = new Version(2, 1L << 40);
    private static final Digest DIGEST = new Digest(-3, 1L << 50);
    private static final Digest OTHER = new Digest(5, 6);

    private static List<Message> all(String text, byte[] bytes) {
        List<Change> changes = List.of(new Change.Put(new Item(text, bytes)), new Change.Remove(text));
        return List.of(
                new Message.Hello(new SubscriberId(text), 3, OLD, DIGEST, Durability.FLOOR_ONLY),
                new Message.InForce(NEW, DIGEST, Durability.SAVED),
                new Message.Ask(OLD, OTHER, true),
                new Message.Refused(new Refusal(NEW, Refusal.Reason.INVALID, text)),
                new Message.Heartbeat(NEW, OTHER, 1234),
                new Message.Update(new Delta(OLD, OTHER, NEW, DIGEST, 2, changes)),
                new Message.RetryAfter(99));
    }

    @Property(tries = 100)
    void everyMessageComesBackAndTakesUpWhatItSays(@ForAll @StringLength(max = 60) String text, @ForAll byte[] bytes) {
        String wellFormed = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        for (Message message : all(wellFormed, bytes)) {
            byte[] frame = MessageCodec.frame(message);
            assertEquals(message, MessageCodec.read(frame, 4, frame.length - 4));
            assertEquals(5 + message.content(), frame.length);
        }
    }

    @Property(tries = 100)
    void aPieceComesBack(@ForAll byte[] piece) {
        byte[] frame = MessageCodec.frame(new Message.SnapshotPiece(NEW, DIGEST, 4, 99, 11, piece));
        Message.SnapshotPiece read = (Message.SnapshotPiece) MessageCodec.read(frame, 4, frame.length - 4);
        assertArrayEquals(piece, read.piece());
        assertEquals(List.of(4, 99, 11), List.of(read.format(), read.total(), read.offset()));
    }

    @Example
    void whatIsCutShortOrTooLongOrOfNoKindIsNoMessage() {
        for (Message message : all("text", new byte[9])) {
            byte[] frame = MessageCodec.frame(message);
            for (int length = 0; length < frame.length - 4; length++) {
                int cut = length;
                assertThrows(
                        IllegalArgumentException.class,
                        () -> MessageCodec.read(frame, 4, cut),
                        message + " cut to " + cut);
            }
            byte[] longer = Arrays.copyOf(frame, frame.length + 1);
            assertThrows(IllegalArgumentException.class, () -> MessageCodec.read(longer, 4, longer.length - 4));
        }
        assertThrows(IllegalArgumentException.class, () -> MessageCodec.read(new byte[] {99}, 0, 1));
    }
}
