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
     * frame is rejected by the first byte that shows it: an invalid frame might never be completed.
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
        long length = smallestLength(bytes, from, Math.min(available, FrameEncoder.LENGTH_BYTES));
        if (length > maxLength) {
            throw new FrameException("invalid frame length, at least " + length);
        }
        if (available < FrameEncoder.LENGTH_BYTES) {
            return 0;
        }
        if (length < 1) {
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
        int end = from + FrameEncoder.LENGTH_BYTES + (int) length;
        frame = new Frame((char) type, Arrays.copyOfRange(bytes, from + FrameEncoder.HEADER_BYTES, end));
        return end - from;
    }

    /** Returns the smallest length whose encoding begins with these bytes; the length itself if all are there. */
    private static long smallestLength(byte[] bytes, int from, int count) {
        long length = 0;
        for (int i = 0; i < FrameEncoder.LENGTH_BYTES; i++) {
            length = length << 8 | (i < count ? bytes[from + i] & 0xff : 0);
        }
        return length;
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
