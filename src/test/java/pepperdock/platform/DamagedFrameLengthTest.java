package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against results whose length does not fit: a value cut short, or filled up by another answer, was served as
 * good ({@code review/6}), and the connection stayed in use until a time limit. The time limit of frames is far longer
 * here than a test may take.
 */
class DamagedFrameLengthTest {

    private static final double NO_FRAME_TIMEOUT_S = 100;
    /** Stands for a length that is too small by all of the value but one byte. */
    private static final int NEARLY_ALL = -1000;

    private final TwoWorkersFixture fixture = new TwoWorkersFixture(NO_FRAME_TIMEOUT_S);

    DamagedFrameLengthTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        fixture.close();
    }

    /** Changes the length of a frame and leaves its bytes as they are. */
    private static byte[] withLengthChangedBy(int change, byte[] frame) {
        byte[] changed = frame.clone();
        int length = frame.length - 4 + change;
        changed[2] = (byte) (length >> 8);
        changed[3] = (byte) length;
        return changed;
    }

    private static int resolve(int change, String partId) {
        int valueBytes = TwoWorkersFixture.valueOf(partId).getBytes(StandardCharsets.UTF_8).length;
        return change == NEARLY_ALL ? 1 - valueBytes : change;
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static List<byte[]> singleBytes(byte[] bytes) {
        List<byte[]> pieces = new ArrayList<>();
        for (byte b : bytes) {
            pieces.add(new byte[] {b});
        }
        return pieces;
    }

    private void assertConnectionEnds() throws IOException {
        fixture.connection().setSoTimeout(10_000);
        try {
            // The gatherer's own frames are read by the worker's thread; all that may still come here is the end.
            while (fixture.connection().getInputStream().read() >= 0) {}
        } catch (SocketException e) {
            assertTrue(e.getMessage().matches(".*([Rr]eset|[Cc]losed).*"), e::toString);
        }
    }

    /** All in one write, which ends there: the answer is followed by nothing but the rest of its own value. */
    @ParameterizedTest
    @ValueSource(ints = {-1, -2, -3, -4, -5, NEARLY_ALL})
    void valueThatIsCutShortInOneWriteIsNotServed(int change) throws Exception {
        fixture.submit("q", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        String id = fixture.awaitParts(1).get(0);
        fixture.connection()
                .getOutputStream()
                .write(withLengthChangedBy(resolve(change, id), TwoWorkersFixture.result(id)));
        assertTrue(fixture.awaitEnd().answered());
        assertEquals(2, fixture.sends(id));
        assertConnectionEnds();
        assertEquals(List.of(1L, 0L), fixture.retractions());
    }

    /** The false end is the end of a write, and the rest comes after the batch, while the query waits for a part. */
    @ParameterizedTest
    @ValueSource(ints = {-1, -2, -3, -4, -5, NEARLY_ALL})
    void valueThatIsCutShortByAWriteIsRetracted(int change) throws Exception {
        fixture.submit(
                "q", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD, TwoWorkersFixture.SOUND_SHARD);
        String id = fixture.awaitParts(1).get(0);
        byte[] frame = withLengthChangedBy(resolve(change, id), TwoWorkersFixture.result(id));
        int falseEnd = frame.length + resolve(change, id);
        byte[] rest = Arrays.copyOfRange(frame, falseEnd, frame.length);
        fixture.deliver(List.of(Arrays.copyOf(frame, falseEnd), Arrays.copyOf(rest, 1)));
        fixture.releaseSoundWorker();
        TwoWorkersFixture.Ended end = fixture.awaitEnd();
        assertTrue(end.answered());
        assertEquals(Set.of("q.0", "q.2"), end.values().keySet());
        assertEquals(2, fixture.sends(id));
        assertEquals(List.of(1L, 0L), fixture.retractions());
    }

    /**
     * The length is too large, and the answer to another query fills the gap: neither of them may be served from this
     * connection, which ends at once for both. The pieces end where the gap is filled, or are single bytes.
     */
    @ParameterizedTest
    @CsvSource({"1,1", "3,1", "4,1", "5,1", "12,1", "40,1", "1,2", "3,2", "4,2", "12,2", "40,2", "1,3", "12,3"})
    void valueThatTheNextAnswerFillsUpIsNotServed(int change, int delivery) throws Exception {
        fixture.submit("first", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        fixture.submit("second", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        List<String> ids = fixture.awaitParts(2);
        byte[] first = withLengthChangedBy(change, TwoWorkersFixture.result(ids.get(0)));
        byte[] all = join(first, TwoWorkersFixture.result(ids.get(1)));
        int falseEnd = first.length + change;
        fixture.deliver(
                switch (delivery) {
                    case 1 -> List.of(all);
                    case 2 -> List.of(Arrays.copyOf(all, falseEnd), Arrays.copyOfRange(all, falseEnd, all.length));
                    default -> singleBytes(all);
                });
        Set<String> answered = new TreeSet<>();
        answered.add(fixture.awaitEnd().id());
        answered.add(fixture.awaitEnd().id());
        assertEquals(Set.of("first", "second"), answered);
        assertConnectionEnds();
    }

    /** Half of an answer, and another one behind it: the header of the first must not take the value of the second. */
    @Test
    void halfAHeaderThatAnotherAnswerCompletesIsNotServed() throws Exception {
        fixture.submit("first", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        fixture.submit("second", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        List<String> ids = fixture.awaitParts(2);
        byte[] half = Arrays.copyOf(TwoWorkersFixture.result(ids.get(0)), 4 + (ids.get(0) + " good 17 qp").length());
        fixture.deliver(List.of(join(half, TwoWorkersFixture.result(ids.get(1)))));
        assertTrue(fixture.awaitEnd().answered());
        assertTrue(fixture.awaitEnd().answered());
        assertConnectionEnds();
    }

    /** A damaged result, also one that says that nothing ran, may have run: where that matters, nothing is sent again. */
    @ParameterizedTest
    @ValueSource(strings = {"good", "bad", "later"})
    void damagedResultOfAPartThatMustNotRepeatFails(String outcome) throws Exception {
        fixture.submit("q", TwoWorkersFixture.NON_IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        String id = fixture.awaitParts(1).get(0);
        byte[] frame = TwoWorkersFixture.frame(id + ' ' + outcome + " 17 qps=3\nsome words");
        fixture.deliver(List.of(withLengthChangedBy(-3, frame)));
        assertTrue(!fixture.awaitEnd().answered());
        assertEquals(1, fixture.sends(id));
    }

    /** A good answer is followed by a copy, or by noise that can't be the rest of a text: it keeps its worth. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void goodResultBeforeACopyOrNoiseIsServed(int kind) throws Exception {
        fixture.submit("q", TwoWorkersFixture.NON_IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        String id = fixture.awaitParts(1).get(0);
        byte[] good = TwoWorkersFixture.result(id);
        byte[] behind = switch (kind) {
            case 0 -> good;
            case 1 -> Arrays.copyOf(good, 9);
            case 2 -> new byte[] {(byte) 0xff, 'n', 'o', 'i', 's', 'e'};
            default -> new byte[] {(byte) 0xc3, '(', 'n'};
        };
        fixture.deliver(List.of(join(good, behind)));
        assertTrue(fixture.awaitEnd().answered());
        assertEquals(List.of(0L, 0L), fixture.retractions());
    }

    /** The rest comes after the answer was given: it can't be taken back any more, and is counted. */
    @Test
    void resultThatIsRetractedAfterItsAnswerIsCounted() throws Exception {
        fixture.submit("q", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
        String id = fixture.awaitParts(1).get(0);
        fixture.deliver(List.of(TwoWorkersFixture.result(id)));
        assertTrue(fixture.awaitEnd().answered());
        fixture.deliver(List.of(new byte[] {'x'}));
        assertEquals(List.of(1L, 1L), fixture.retractions());
    }

    /**
     * The length is too large and nothing more comes: a new call uses another connection long before the frame times out,
     * and the part is sent again when it does.
     */
    @Test
    void frameThatStopsInTheMiddleHoldsUpNoNewCalls() throws Exception {
        try (TwoWorkersFixture stalling = new TwoWorkersFixture(1)) {
            stalling.submit("first", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
            String id = stalling.awaitParts(1).get(0);
            stalling.deliver(List.of(withLengthChangedBy(1, TwoWorkersFixture.result(id))));
            Thread.sleep(200);
            stalling.submit("second", OneWorkerFixture.IDEMPOTENT_CLASS, TwoWorkersFixture.DAMAGED_SHARD);
            assertEquals("second", stalling.awaitEnd().id());
            TwoWorkersFixture.Ended first = stalling.awaitEnd();
            assertTrue(first.answered());
            assertEquals(2, stalling.sends(id));
        }
    }
}
