package pepperdock.codec.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against bodies that are changed by how they arrive, and against memory that is not told. */
class BodyBufferTest {

    private static final int MAX_SPARE_BYTES = 4096;

    @Property(seed = "53", tries = 300)
    void bodyIsTheSameInPiecesOfAnySize(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = new byte[random.nextInt(70_000)];
        random.nextBytes(body);
        int maxPieceBytes = 1 + random.nextInt(random.nextBoolean() ? 20 : 9000);
        BodyBuffer buffer = new BodyBuffer();
        int written = 0;
        while (written < body.length) {
            int count = Math.min(body.length - written, 1 + random.nextInt(maxPieceBytes));
            buffer.write(body, written, count);
            written += count;
            assertEquals(written, buffer.size());
            assertTrue(buffer.capacity() >= written && buffer.capacity() - written <= MAX_SPARE_BYTES);
        }
        assertArrayEquals(body, buffer.toByteArray());
    }
}
