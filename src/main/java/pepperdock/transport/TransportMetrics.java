package pepperdock.transport;

import java.util.EnumMap;
import java.util.Map;

/** Counters of an {@link EventLoop} and its connections since the start. Owned by the I/O thread. */
public final class TransportMetrics {

    /** Why a server closed the connection of a client, or answered it with an error. */
    public enum ClientCloseReason {
        /** Another client needed its place. */
        EVICTED,
        /** No socket was free when the client connected. */
        REJECTED,
        /** Its request was malformed. */
        MALFORMED,
        /** Its request was not complete in time, or it has connected and sent nothing. */
        REQUEST_TIMEOUT,
        /** It sent far more than one request can need behind a request in progress. */
        INPUT_OVERFLOW,
        /** Its request was not complete, and too much was held for such requests. */
        INPUT_MEMORY,
        /** It does not read its responses. */
        NOT_READING
    }

    private static final double MS_PER_S = 1e3;

    private final Map<ClientCloseReason, Long> clientCloses = new EnumMap<>(ClientCloseReason.class);
    private long unsolicitedInputs;
    private long stalls;
    private double longestStallS;
    private double inputS;

    void recordClientClose(ClientCloseReason reason) {
        clientCloses.merge(reason, 1L, Long::sum);
    }

    /** Returns how many connections of clients were closed, or answered with an error, for a reason. */
    public long clientCloses(ClientCloseReason reason) {
        return clientCloses.getOrDefault(reason, 0L);
    }

    void recordUnsolicitedInput() {
        unsolicitedInputs++;
    }

    /** Returns the number of connections closed because their server sent input that no request asked for. */
    public long unsolicitedInputs() {
        return unsolicitedInputs;
    }

    void recordStall(double lateS) {
        stalls++;
        longestStallS = Math.max(longestStallS, lateS);
    }

    /** Returns how often a timer ran much later than it was due. */
    public long stalls() {
        return stalls;
    }

    /** Returns by how many milliseconds a timer ran late at most. */
    public long longestStallMs() {
        return Math.round(longestStallS * MS_PER_S);
    }

    void recordInput(double seconds) {
        inputS += seconds;
    }

    /** Returns the milliseconds that the loop has spent on reading and serving clients' input. */
    public long inputMs() {
        return Math.round(inputS * MS_PER_S);
    }
}
