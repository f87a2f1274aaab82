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

/** Whatever the order of reads, writes and consumption, both streams keep their bytes and their order. */
class BufferTest {

    private static final int CAP = 1 << 14;

    @Property(seed = "61", tries = 200)
    void bothSidesKeepTheirBytesInOneBuffer(@ForAll long seed) {
        Random random = new Random(seed);
        ConnectionBuffer buffer = new ConnectionBuffer(CAP);
        ByteArrayOutputStream[] want = {new ByteArrayOutputStream(), new ByteArrayOutputStream()};
        ByteArrayOutputStream[] got = {new ByteArrayOutputStream(), new ByteArrayOutputStream()};
        for (int i = 0; i < 200; i++) {
            byte[] piece = new byte[random.nextInt(900)];
            random.nextBytes(piece);
            switch (random.nextInt(4)) {
                case 0 -> {
                    ByteBuffer room = buffer.forRead();
                    if (room != null) {
                        int count = Math.min(room.remaining(), piece.length);
                        room.put(piece, 0, count);
                        buffer.advanceRead(count);
                        want[0].write(piece, 0, count);
                    }
                }
                case 1 -> {
                    int count = Math.min(buffer.readEnd() - buffer.readStart(), piece.length);
                    got[0].write(buffer.bytes(), buffer.readStart(), count);
                    buffer.consume(count);
                }
                case 2 -> {
                    if (buffer.append(piece, 0, piece.length)) {
                        want[1].writeBytes(piece);
                    }
                }
                default -> {
                    ByteBuffer out = buffer.forWrite();
                    byte[] some = new byte[Math.min(out.remaining(), piece.length)];
                    out.get(some);
                    got[1].writeBytes(some);
                    buffer.advanceWrite(some.length);
                }
            }
            assertTrue(buffer.bytes().length <= CAP);
        }
        got[0].write(buffer.bytes(), buffer.readStart(), buffer.readEnd() - buffer.readStart());
        buffer.consume(buffer.readEnd() - buffer.readStart());
        ByteBuffer out = buffer.forWrite();
        got[1].write(out.array(), out.position(), out.remaining());
        buffer.advanceWrite(out.remaining());
        assertEquals(want[0].toString(StandardCharsets.ISO_8859_1), got[0].toString(StandardCharsets.ISO_8859_1));
        assertEquals(want[1].toString(StandardCharsets.ISO_8859_1), got[1].toString(StandardCharsets.ISO_8859_1));
        assertEquals(ConnectionBuffer.MIN_CAPACITY, buffer.bytes().length);
        assertNotNull(buffer.forRead());
    }
}
