package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LogLineTest {

    private static LogRecord logRecord(String time, String message, Object... parameters) {
        LogRecord logRecord = new LogRecord(Level.WARNING, message);
        logRecord.setLoggerName("pepperdock.net");
        logRecord.setInstant(Instant.parse(time));
        logRecord.setParameters(parameters);
        return logRecord;
    }

    @Test
    void formatsTimeLevelLoggerAndMessage() {
        assertEquals(
                "2026-02-03T04:05:06.007Z WARNING pepperdock.net: accept failed: no room\n",
                new LogLine().format(logRecord("2026-02-03T04:05:06.007Z", "accept failed: {0}", "no room")));
        assertEquals(
                "1969-12-31T23:59:59.990Z WARNING pepperdock.net: before\n",
                new LogLine().format(logRecord("1969-12-31T23:59:59.990Z", "before")));
    }

    @Test
    void appendsStackTraceOfException() {
        LogRecord logRecord = logRecord("2026-02-03T04:05:06.789Z", "task failed");
        logRecord.setThrown(new IllegalStateException("why"));
        String[] lines = new LogLine().format(logRecord).split("\n");
        assertEquals("java.lang.IllegalStateException: why", lines[1]);
        assertTrue(lines[2].startsWith("\tat pepperdock.LogLineTest"), lines[2]);
    }
}
