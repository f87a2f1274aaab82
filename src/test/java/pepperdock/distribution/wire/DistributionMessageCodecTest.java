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
import pepperdock.distribution.ConfigurationDigest;
import pepperdock.distribution.ConfigurationItem;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.Delta;
import pepperdock.distribution.DistributionMessage;
import pepperdock.distribution.Durability;
import pepperdock.distribution.Refusal;
import pepperdock.distribution.SubscriberId;

/** Tests that every message is encoded as a frame and decoded unchanged. */
class DistributionMessageCodecTest {

    private static final ConfigurationVersion OLD = new ConfigurationVersion(1, 7);
    private static final ConfigurationVersion NEW = new ConfigurationVersion(2, 1L << 40);
    private static final ConfigurationDigest DIGEST = new ConfigurationDigest(-3, 1L << 50);
    private static final ConfigurationDigest OTHER = new ConfigurationDigest(5, 6);

    private static List<DistributionMessage> all(String text, byte[] bytes) {
        List<Change> changes = List.of(new Change.Put(new ConfigurationItem(text, bytes)), new Change.Remove(text));
        return List.of(
                new DistributionMessage.Hello(new SubscriberId(text), 3, OLD, DIGEST, Durability.FLOOR_ONLY),
                new DistributionMessage.InForce(NEW, DIGEST, Durability.SAVED),
                new DistributionMessage.UpdateRequest(OLD, OTHER, true),
                new DistributionMessage.Refused(new Refusal(NEW, Refusal.Reason.INVALID, text)),
                new DistributionMessage.Heartbeat(NEW, OTHER, 1234),
                new DistributionMessage.Update(new Delta(OLD, OTHER, NEW, DIGEST, 2, changes)),
                new DistributionMessage.RetryAfter(99));
    }

    @Property(tries = 100)
    void messageIsDecodedUnchangedAndHasItsDeclaredSize(
            @ForAll @StringLength(max = 60) String text, @ForAll byte[] bytes) {
        String wellFormed = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        for (DistributionMessage message : all(wellFormed, bytes)) {
            byte[] frame = DistributionMessageCodec.frame(message);
            assertEquals(message, DistributionMessageCodec.read(frame, 4, frame.length - 4));
            assertEquals(5 + message.content(), frame.length);
        }
    }

    @Property(tries = 100)
    void snapshotChunkIsDecodedUnchanged(@ForAll byte[] data) {
        byte[] frame =
                DistributionMessageCodec.frame(new DistributionMessage.SnapshotChunk(NEW, DIGEST, 4, 99, 11, data));
        DistributionMessage.SnapshotChunk read =
                (DistributionMessage.SnapshotChunk) DistributionMessageCodec.read(frame, 4, frame.length - 4);
        assertArrayEquals(data, read.data());
        assertEquals(List.of(4, 99, 11), List.of(read.format(), read.total(), read.offset()));
    }

    @Example
    void truncatedTooLongAndUnknownMessagesAreRejected() {
        for (DistributionMessage message : all("text", new byte[9])) {
            byte[] frame = DistributionMessageCodec.frame(message);
            for (int length = 0; length < frame.length - 4; length++) {
                int cut = length;
                assertThrows(
                        IllegalArgumentException.class,
                        () -> DistributionMessageCodec.read(frame, 4, cut),
                        message + " truncated to " + cut);
            }
            byte[] longer = Arrays.copyOf(frame, frame.length + 1);
            assertThrows(
                    IllegalArgumentException.class, () -> DistributionMessageCodec.read(longer, 4, longer.length - 4));
        }
        assertThrows(IllegalArgumentException.class, () -> DistributionMessageCodec.read(new byte[] {99}, 0, 1));
    }
}
