package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.codec.frame.RandomChunks;
import pepperdock.scheduler.AttemptOutcome;

class WorkerProtocolTest {

    private static List<Frame> parse(byte[] bytes, long seed) throws Exception {
        FrameParser parser = new FrameParser(1000, "oq");
        return RandomChunks.feed(bytes, seed, (chunk, from, to, frames) -> {
            int used = parser.feed(chunk, from, to);
            Frame frame = parser.take();
            if (frame != null) {
                frames.add(frame);
            }
            return used;
        });
    }

    @Property(seed = "31", tries = 200)
    void resultsAreParsedFromChunksOfAnySize(@ForAll long seed, @ForAll byte[] anyValue) throws Exception {
        byte[] value = anyValue.length > 900 ? new byte[900] : anyValue;
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        payload.writeBytes("q1.3 good 18 qps=2\n".getBytes(StandardCharsets.UTF_8));
        payload.writeBytes(value);
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        for (int i = 0; i < 3; i++) {
            stream.writeBytes(FrameEncoder.encode('q', payload.toByteArray()));
            stream.writeBytes(WorkerProtocol.encodeHealthCheck());
        }
        List<Frame> frames = parse(stream.toByteArray(), seed);
        assertEquals(6, frames.size());
        WorkerProtocol.Result result = WorkerProtocol.parseResult(frames.get(4).payload());
        assertEquals(new WorkerProtocol.ResultHeader("q1.3", AttemptOutcome.OK, "qps=2"), result.header());
        assertArrayEquals(value, result.value());
        assertEquals('o', frames.get(5).type());
    }

    @Property(seed = "32", tries = 300)
    void randomBytesYieldFramesOrAFrameException(@ForAll long seed) {
        try {
            for (Frame frame : parse(RandomChunks.randomBytes(seed), seed)) {
                assertTrue(frame.payload().length < 1000);
                WorkerProtocol.parseResult(frame.payload());
            }
        } catch (Exception e) {
            assertEquals(FrameException.class, e.getClass());
        }
    }

    @Test
    void aCallIsEncodedAsSpecified() {
        byte[] body = "c41e77d0".getBytes(StandardCharsets.US_ASCII);
        byte[] frame = WorkerProtocol.encodeCall(List.of(
                new WorkerProtocol.CallPart("9b1f.3", 3, 240, "5c0f", body),
                new WorkerProtocol.CallPart("9b1f.9", 9, 1, "", body)));
        String payload = "m9b1f.3 3 d=240,k=5c0f 8\nc41e77d0" + "9b1f.9 9 d=1 8\nc41e77d0";
        assertEquals(payload, new String(frame, 4, frame.length - 4, StandardCharsets.US_ASCII));
        assertEquals(payload.length(), frame[3]);
    }

    @Test
    void aResultWithoutAFullHeaderIsIncomplete() throws Exception {
        byte[] incomplete = "q1.3 later 18 -".getBytes(StandardCharsets.UTF_8);
        assertNull(WorkerProtocol.parseResultHeader(incomplete, 0, incomplete.length));
        byte[] complete = "q1.3 later 18 -\n".getBytes(StandardCharsets.UTF_8);
        assertEquals(
                new WorkerProtocol.ResultHeader("q1.3", AttemptOutcome.OVERLOADED, "-"),
                WorkerProtocol.parseResultHeader(complete, 0, complete.length));
    }
}
