package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pepperdock.config.Sites;
import pepperdock.core.ManualClock;

/** A warm-up that is refused or malformed would warm nothing: each of its queries must be answered. */
class WarmupTest {

    @Test
    void everyQueryIsAnsweredBeforeReadyAndAfter() {
        Warmup warmup = new Warmup(Sites.small());
        assertEquals(Warmup.BEFORE, warmup.play(Warmup.BEFORE));
        ManualClock loop = new ManualClock(0);
        warmup.spread(loop, () -> true);
        loop.advance(60);
        assertEquals(150, warmup.play(0));
    }

    @Test
    void theRestIsLeftOutWhileQueriesAreInHandAndEnds() {
        Warmup warmup = new Warmup(Sites.small());
        ManualClock loop = new ManualClock(0);
        warmup.spread(loop, () -> false);
        loop.advance(60);
        assertEquals(0, warmup.play(0));
        int[] asked = {0};
        warmup.spread(loop, () -> asked[0]++ > 1000);
        loop.advance(60);
        assertEquals(1, asked[0]);
    }
}
