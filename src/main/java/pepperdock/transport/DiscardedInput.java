package pepperdock.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Reads input of one connection that nobody needs, only to notice the peer's disconnect, and counts it. Owned by the I/O
 * thread.
 */
final class DiscardedInput {

    /** What a read has found. */
    enum Found {
        NOTHING,
        INPUT,
        /** More than {@link #MAX_BYTES} have been discarded: reported once for each of the two purposes. */
        OVERFLOW,
        DISCONNECT
    }

    /** Enough for data in flight, not for all that a peer may send. */
    private static final int MAX_BYTES = 1 << 20;

    private final ConduitStreamSourceChannel source;
    private int bytes;
    private boolean overflowReported;
    private boolean any;

    DiscardedInput(ConduitStreamSourceChannel source) {
        this.source = source;
    }

    /** Returns whether input of a request was discarded: later input may then begin in the middle of a message. */
    boolean any() {
        return any;
    }

    /** Discards input behind a request in progress. */
    Found discardUnconsumed(ByteBuffer space) throws IOException {
        int count = source.read(space);
        any |= count > 0;
        Found found = count(count);
        if (found == Found.OVERFLOW) {
            if (overflowReported) {
                return Found.INPUT;
            }
            overflowReported = true;
            bytes = 0;
        }
        return found;
    }

    /** Discards input after the last write. */
    Found discardAfterLastWrite(ByteBuffer space) throws IOException {
        return count(source.read(space));
    }

    private Found count(int count) {
        if (count < 0) {
            return Found.DISCONNECT;
        }
        bytes += count;
        return bytes > MAX_BYTES ? Found.OVERFLOW : count > 0 ? Found.INPUT : Found.NOTHING;
    }
}
