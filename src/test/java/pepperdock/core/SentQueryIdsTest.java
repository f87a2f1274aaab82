package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SentQueryIdsTest {

    private final SentQueryIds ids = new SentQueryIds(5);

    @Test
    void theLastIdsAreKnownAndNoOthers() {
        int count = 5 * SentQueryIds.GENERATION;
        IntStream.range(0, count).forEach(i -> ids.add("q" + i));
        assertTrue(IntStream.range(count - SentQueryIds.GENERATION, count).allMatch(i -> ids.contains("q" + i)));
        long known =
                IntStream.range(0, count).filter(i -> ids.contains("q" + i)).count();
        assertTrue(known <= 2L * SentQueryIds.GENERATION, known + " ids");
        assertEquals(
                0, IntStream.range(0, count).filter(i -> ids.contains("r" + i)).count());
    }
}
