package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LogLineTest {

    private static LogRecord record(String at, String text, Object... about) {
        LogRecord r = new LogRecord(Level.WARNING, text);
        r.setLoggerName("pepperdock.net");
        r.setInstant(Instant.parse(at));
        r.setParameters(about);
        return r;
    }

    @Test
    void timeLevelLoggerAndText() {
        assertEquals(
                "2026-02-03T04:05:06.007Z WARNING pepperdock.net: accept failed: no room\n",
                new LogLine().format(record("2026-02-03T04:05:06.007Z", "accept failed: {0}", "no room")));
        assertEquals(
                "1969-12-31T23:59:59.990Z WARNING pepperdock.net: before\n",
                new LogLine().format(record("1969-12-31T23:59:59.990Z", "before")));
    }

    @Test
    void whatWasThrownFollowsWithItsTrace() {
        LogRecord r = record("2026-02-03T04:05:06.789Z", "task failed");
        r.setThrown(new IllegalStateException("why"));
        String[] lines = new LogLine().format(r).split("\n");
        assertEquals("java.lang.IllegalStateException: why", lines[1]);
        assertTrue(lines[2].startsWith("\tat pepperdock.LogLineTest"), lines[2]);
    }
}
