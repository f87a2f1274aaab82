package pepperdock.codec.frame;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FrameParserTest {

    private static List<Frame> parse(byte[] bytes, long seed) throws Exception {
        FrameParser parser = new FrameParser(1000, "oq");
        return RandomCuts.feed(bytes, seed, (b, from, to, into) -> {
            int used = parser.feed(b, from, to);
            Frame f = parser.take();
            if (f != null) {
                into.add(f);
            }
            return used;
        });
    }

    @Property(seed = "31", tries = 200)
    void framesComeOutWholeWhateverTheCuts(@ForAll long seed, @ForAll byte[] value) throws Exception {
        byte[] kept = value.length > 900 ? new byte[900] : value;
        byte[] line = "q1.3 good 18 qps=2\n".getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        rest.writeBytes(line);
        rest.writeBytes(kept);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < 3; i++) {
            all.writeBytes(Frames.frame('q', rest.toByteArray()));
            all.writeBytes(Frames.probe());
        }
        List<Frame> frames = parse(all.toByteArray(), seed);
        assertEquals(6, frames.size());
        Frames.Result r = Frames.result(frames.get(4).rest());
        assertEquals("q1.3 good qps=2", r.id() + ' ' + r.end() + ' ' + r.report());
        assertArrayEquals(kept, r.value());
        assertEquals('o', frames.get(5).letter());
    }

    /** A huge length or another letter must not be waited for: it may never end. */
    @Test
    void whatIsNoFrameIsKnownByItsFirstBytes() {
        for (byte[] begun :
                List.of(new byte[] {0, 0, 0, 0}, new byte[] {-1, -1, -1, -4}, new byte[] {0, 0, 4, 0}, new byte[] {
                    0, 0, 0, 9, 'z'
                })) {
            assertThrows(FrameException.class, () -> new FrameParser(1000, "oq").feed(begun, 0, begun.length));
        }
    }

    @Property(seed = "32", tries = 300)
    void garbageEndsInFramesOrAFrameException(@ForAll long seed) {
        try {
            for (Frame f : parse(RandomCuts.garbage(seed), seed)) {
                assertTrue(f.rest().length < 1000);
                Frames.result(f.rest());
            }
        } catch (Exception e) {
            assertEquals(FrameException.class, e.getClass());
        }
    }
}
