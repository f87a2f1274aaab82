package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.SimpleFormatter;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LogRateLimiterTest {

    private final List<String> lines = new ArrayList<>();
    private final ManualClock clock = new ManualClock(5);
    private final java.util.logging.Logger jul = java.util.logging.Logger.getLogger("test.budget");
    private final LogRateLimiter limiter = new LogRateLimiter(System.getLogger("test.budget"), clock, "failures");

    LogRateLimiterTest() {
        jul.setUseParentHandlers(false);
        jul.setFilter(record -> lines.add(new SimpleFormatter().formatMessage(record)));
    }

    private void fail(int times) {
        IntStream.range(0, times).forEach(i -> limiter.log(System.Logger.Level.WARNING, () -> "failure " + i));
    }

    /**
     * A hundred workers fail in one second: twenty lines are written, and one that counts the rest. Three more fail later:
     * each has its line.
     */
    @Test
    void linesBeyondTheLimitAreCountedInOneLine() {
        fail(100);
        assertEquals(LogRateLimiter.MAX_LINES_PER_SECOND, lines.size());
        clock.advance(3);
        assertEquals(LogRateLimiter.MAX_LINES_PER_SECOND + 1, lines.size());
        assertEquals("and 80 more failures", lines.get(LogRateLimiter.MAX_LINES_PER_SECOND));
        fail(3);
        clock.advance(3);
        assertEquals(LogRateLimiter.MAX_LINES_PER_SECOND + 4, lines.size());
    }

    /**
     * A fault goes on for seconds. A window that begins before the suppressed lines of the last one were counted in the log
     * must not lose their number, nor begin without lines.
     */
    @Test
    void noLineIsLostAcrossWindows() {
        int told = 0;
        for (int i = 0; i < 50; i++) {
            fail(10);
            clock.advance(0.1);
        }
        clock.advance(2);
        for (String line : lines) {
            told += line.startsWith("and ") ? Integer.parseInt(line.split(" ")[1]) : 1;
        }
        assertEquals(500, told);
    }
}
