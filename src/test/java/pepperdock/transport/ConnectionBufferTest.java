package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks that input and output keep their bytes and their order, in whatever order the buffer is read, written and
 * consumed.
 */
class ConnectionBufferTest {

    private static final int MAX_CAPACITY = 1 << 14;

    @Property(seed = "61", tries = 200)
    void inputAndOutputKeepTheirBytesAndOrder(@ForAll long seed) {
        Random random = new Random(seed);
        ConnectionBuffer buffer = new ConnectionBuffer(MAX_CAPACITY);
        ByteArrayOutputStream[] expected = {new ByteArrayOutputStream(), new ByteArrayOutputStream()};
        ByteArrayOutputStream[] actual = {new ByteArrayOutputStream(), new ByteArrayOutputStream()};
        for (int i = 0; i < 200; i++) {
            byte[] chunk = new byte[random.nextInt(900)];
            random.nextBytes(chunk);
            switch (random.nextInt(4)) {
                case 0 -> {
                    ByteBuffer space = buffer.forRead();
                    if (space != null) {
                        int count = Math.min(space.remaining(), chunk.length);
                        space.put(chunk, 0, count);
                        buffer.advanceRead(count);
                        expected[0].write(chunk, 0, count);
                    }
                }
                case 1 -> {
                    int count = Math.min(buffer.readEnd() - buffer.readStart(), chunk.length);
                    actual[0].write(buffer.bytes(), buffer.readStart(), count);
                    buffer.consume(count);
                }
                case 2 -> {
                    if (buffer.append(chunk, 0, chunk.length)) {
                        expected[1].writeBytes(chunk);
                    }
                }
                default -> {
                    ByteBuffer output = buffer.forWrite();
                    byte[] written = new byte[Math.min(output.remaining(), chunk.length)];
                    output.get(written);
                    actual[1].writeBytes(written);
                    buffer.advanceWrite(written.length);
                }
            }
            assertTrue(buffer.bytes().length <= MAX_CAPACITY);
        }
        actual[0].write(buffer.bytes(), buffer.readStart(), buffer.readEnd() - buffer.readStart());
        buffer.consume(buffer.readEnd() - buffer.readStart());
        ByteBuffer output = buffer.forWrite();
        actual[1].write(output.array(), output.position(), output.remaining());
        buffer.advanceWrite(output.remaining());
        assertEquals(
                expected[0].toString(StandardCharsets.ISO_8859_1), actual[0].toString(StandardCharsets.ISO_8859_1));
        assertEquals(
                expected[1].toString(StandardCharsets.ISO_8859_1), actual[1].toString(StandardCharsets.ISO_8859_1));
        assertEquals(ConnectionBuffer.MIN_CAPACITY, buffer.bytes().length);
        assertNotNull(buffer.forRead());
    }
}
