package pepperdock.codec.frame;

import java.util.Arrays;

/**
 * Splits a stream of bytes, which arrives in chunks of any size, into frames. Feed it the received bytes, discard as
 * many as it consumed, and take the frame; repeat until it consumes none. Not thread-safe: each connection has its own
 * parser.
 */
public final class FrameParser {

    private final int maxLength;
    private final String types;
    private Frame frame;

    /**
     * Creates a parser that accepts frames of these types whose length is at most {@code maxLength} bytes. Any other
     * frame is rejected as soon as its header has arrived: the payload of an invalid frame might never end.
     */
    public FrameParser(int maxLength, String types) {
        this.maxLength = maxLength;
        this.types = types;
    }

    /**
     * Consumes one complete frame, which {@link #take} then returns, and returns its size in bytes. Consumes nothing
     * and returns 0 if no frame is complete yet.
     */
    public int feed(byte[] bytes, int from, int to) throws FrameException {
        int available = to - from;
        if (available < FrameEncoder.LENGTH_BYTES) {
            return 0;
        }
        int length = readInt(bytes, from);
        if (length < 1 || length > maxLength) {
            throw new FrameException("invalid frame length " + length);
        }
        if (available < FrameEncoder.HEADER_BYTES) {
            return 0;
        }
        int type = bytes[from + FrameEncoder.LENGTH_BYTES] & 0xff;
        if (types.indexOf(type) < 0) {
            throw new FrameException("unexpected frame type " + type);
        }
        if (available - FrameEncoder.LENGTH_BYTES < length) {
            return 0;
        }
        int end = from + FrameEncoder.LENGTH_BYTES + length;
        frame = new Frame((char) type, Arrays.copyOfRange(bytes, from + FrameEncoder.HEADER_BYTES, end));
        return FrameEncoder.LENGTH_BYTES + length;
    }

    private static int readInt(byte[] bytes, int from) {
        return (bytes[from] & 0xff) << 24
                | (bytes[from + 1] & 0xff) << 16
                | (bytes[from + 2] & 0xff) << 8
                | bytes[from + 3] & 0xff;
    }

    /**
     * Returns the frame that the last call of {@link #feed} completed; null if there is none or it was taken already.
     */
    public Frame take() {
        Frame taken = frame;
        frame = null;
        return taken;
    }
}
