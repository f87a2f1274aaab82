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
    private final java.util.logging.Logger julLogger = java.util.logging.Logger.getLogger("test.ratelimit");
    private final LogRateLimiter limiter = new LogRateLimiter(System.getLogger("test.ratelimit"), clock, "failures");

    LogRateLimiterTest() {
        julLogger.setUseParentHandlers(false);
        julLogger.setFilter(record -> lines.add(new SimpleFormatter().formatMessage(record)));
    }

    private void fail(int times) {
        IntStream.range(0, times).forEach(i -> limiter.log(System.Logger.Level.WARNING, () -> "failure " + i));
    }

    /**
     * A hundred workers fail in one second: twenty lines are written, and one that states the number of the others.
     * Three more fail later, and each gets a line of its own.
     */
    @Test
    void linesBeyondTheLimitAreCountedInOneLine() {
        fail(100);
        assertEquals(LogRateLimiter.MAX_LINES_PER_SECOND, lines.size());
        clock.advance(3);
        assertEquals(LogRateLimiter.MAX_LINES_PER_SECOND + 1, lines.size());
        assertEquals("log lines suppressed: 80 more failures", lines.get(LogRateLimiter.MAX_LINES_PER_SECOND));
        fail(3);
        clock.advance(3);
        assertEquals(LogRateLimiter.MAX_LINES_PER_SECOND + 4, lines.size());
    }

    /**
     * A fault lasts for several seconds. A new window may begin before the number of lines suppressed in the previous
     * one was logged; that number must not be lost, and the new window must still write lines of its own.
     */
    @Test
    void noLineIsLostAcrossWindows() {
        int reported = 0;
        for (int i = 0; i < 50; i++) {
            fail(10);
            clock.advance(0.1);
        }
        clock.advance(2);
        for (String line : lines) {
            reported += line.startsWith("log lines suppressed: ") ? Integer.parseInt(line.split(" ")[3]) : 1;
        }
        assertEquals(500, reported);
    }
}
