package pepperdock.codec.frame;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** See also {@code WorkerProtocolTest}, which feeds the parser frames in random chunks and random bytes. */
class FrameParserTest {

    /** A frame with a huge length or an unknown type must be rejected at once: the rest may never arrive. */
    @Test
    void anInvalidFrameIsRejectedByItsFirstBytes() {
        List<byte[]> invalid =
                List.of(new byte[] {0, 0, 0, 0}, new byte[] {-1, -1, -1, -4}, new byte[] {0, 0, 4, 0}, new byte[] {
                    0, 0, 0, 9, 'z'
                });
        for (byte[] frameStart : invalid) {
            assertThrows(
                    FrameException.class, () -> new FrameParser(1000, "oq").feed(frameStart, 0, frameStart.length));
        }
    }

    @Test
    void aFrameIsTakenOnceItIsComplete() throws Exception {
        FrameParser parser = new FrameParser(1000, "oq");
        byte[] bytes = FrameEncoder.encode('q', new byte[] {1, 2, 3});
        assertArrayEquals(new byte[] {0, 0, 0, 4, 'q', 1, 2, 3}, bytes);
        for (int length = 0; length < bytes.length; length++) {
            assertEquals(0, parser.feed(bytes, 0, length));
            assertEquals(null, parser.take());
        }
        assertEquals(bytes.length, parser.feed(bytes, 0, bytes.length));
        assertArrayEquals(new byte[] {1, 2, 3}, parser.take().payload());
        assertEquals(null, parser.take());
    }
}
