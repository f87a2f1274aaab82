package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.LongBuffer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SentQueryIdsTest {

    private final SentQueryIds ids = new SentQueryIds(5);

    @Test
    void theLastIdsAreKnownAndNoOthers() {
        int count = 5 * SentIdTable.GENERATION;
        IntStream.range(0, count).forEach(i -> ids.add("q" + i));
        assertTrue(IntStream.range(count - SentIdTable.GENERATION, count).allMatch(i -> ids.contains("q" + i)));
        long known =
                IntStream.range(0, count).filter(i -> ids.contains("q" + i)).count();
        assertTrue(known <= 2L * SentIdTable.GENERATION, known + " ids");
        assertEquals(
                0, IntStream.range(0, count).filter(i -> ids.contains("r" + i)).count());
    }

    /** Two processes of an upgrade, each with its buffer: an id that one has sent is known to the other. */
    @Test
    void idsOfAnotherProcessAreKnown() {
        LongBuffer shared = LongBuffer.allocate(SentQueryIds.SHARED_SIZE);
        SentQueryIds old = new SentQueryIds(7);
        old.add("before");
        old.share(shared);
        ids.addOther(shared.asReadOnlyBuffer());
        old.add("after");
        assertTrue(ids.contains("after"));
        assertTrue(old.contains("before"), "ids from before the buffer was shared");
        assertFalse(ids.contains("other"));
        SentQueryIds next = new SentQueryIds(8);
        next.share(shared);
        assertTrue(next.contains("after"), "the next process goes on with the buffer");
    }

    /** The file of another process may hold anything: nothing is known from it, and no search goes on forever. */
    @Test
    void damagedBufferOfAnotherProcessIsHarmless() {
        LongBuffer shared = LongBuffer.allocate(SentQueryIds.SHARED_SIZE);
        ids.addOther(shared);
        SentQueryIds other = new SentQueryIds(7);
        other.share(shared);
        ids.addOther(shared);
        for (int i = 4; i < SentQueryIds.SHARED_SIZE; i++) {
            shared.put(i, 42);
        }
        assertFalse(ids.contains("q"));
        other.add("q");
        assertTrue(ids.contains("q"));
    }
}
