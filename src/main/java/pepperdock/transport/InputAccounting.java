package pepperdock.transport;

import java.util.Locale;
import java.util.function.Supplier;

/**
 * Sums up which input of clients the loop has worked on since the last report, so that a late loop can be explained.
 * Owned by the I/O thread.
 */
final class InputAccounting {

    private static final String NO_PEER = "none";

    private final TransportMetrics metrics;
    private long requests;
    private long bytes;
    private long accepted;
    private double servedS;
    private double longestS;
    private Supplier<String> longestPeer = () -> NO_PEER;

    InputAccounting(TransportMetrics metrics) {
        this.metrics = metrics;
    }

    void recordRequest() {
        requests++;
    }

    void recordAccepted() {
        accepted++;
    }

    /** Records that input of a client was read. */
    void recordRead(long count) {
        bytes += count;
    }

    /** Records that input of a client was served. */
    void recordServed(Supplier<String> peer, double elapsedS) {
        servedS += elapsedS;
        metrics.recordInput(elapsedS);
        if (elapsedS > longestS) {
            longestS = elapsedS;
            longestPeer = peer;
        }
    }

    /** Returns what was worked on since {@link #reset}. */
    String describe() {
        return String.format(
                Locale.ROOT,
                "%.3f s of it for input of clients: %d requests, %d bytes, %d new connections; longest run %.3f s for %s",
                servedS,
                requests,
                bytes,
                accepted,
                longestS,
                longestPeer.get());
    }

    /** Starts a new interval. */
    void reset() {
        requests = 0;
        bytes = 0;
        accepted = 0;
        servedS = 0;
        longestS = 0;
        longestPeer = () -> NO_PEER;
    }
}
