package pepperdock.transport;

import java.util.Locale;

/**
 * Sums up which input of clients the loop has worked on since the last report, so that a late loop can be explained.
 * Owned by the I/O thread.
 */
final class InputAccounting {

    private static final double NANOS_PER_S = 1e9;

    private final TransportMetrics metrics;
    private long requests;
    private long bytes;
    private long accepted;
    private long nanos;
    private long longestNanos;
    private String longestPeer = "";

    InputAccounting(TransportMetrics metrics) {
        this.metrics = metrics;
    }

    void recordRequest() {
        requests++;
    }

    void recordAccepted() {
        accepted++;
    }

    /** Records one run of a client's input handler. */
    void recordRun(Connection connection, long bytesRead, long runNanos) {
        bytes += bytesRead;
        nanos += runNanos;
        metrics.recordInput(runNanos);
        if (runNanos > longestNanos) {
            longestNanos = runNanos;
            longestPeer = String.valueOf(connection.peer());
        }
    }

    /** Returns what was worked on since {@link #reset}. */
    String describe() {
        return String.format(
                Locale.ROOT,
                "%.3f s of it for input of clients: %d requests, %d bytes, %d new connections; longest run %.3f s for %s",
                nanos / NANOS_PER_S,
                requests,
                bytes,
                accepted,
                longestNanos / NANOS_PER_S,
                longestPeer.isEmpty() ? "none" : longestPeer);
    }

    /** Starts a new interval. */
    void reset() {
        requests = 0;
        bytes = 0;
        accepted = 0;
        nanos = 0;
        longestNanos = 0;
        longestPeer = "";
    }
}
