package pepperdock.codec.frame;

import java.util.Arrays;

/**
 * Splits a stream of bytes, which comes in any pieces, into frames. Feed it the bytes that were received, discard as many as it
 * used, and take the frame; repeat until it uses none. Not thread-safe: one parser for one connection.
 */
public final class FrameParser {

    private final int maxLength;
    private final String types;
    private Frame frame;

    /**
     * Accepts frames of these types whose length is at most {@code maxLength} bytes. Any other is rejected as soon as its
     * header has come: the payload of an invalid frame might never end.
     */
    public FrameParser(int maxLength, String types) {
        this.maxLength = maxLength;
        this.types = types;
    }

    /** Returns how many bytes were used: those of one complete frame, which {@link #take} then returns, or none. */
    public int feed(byte[] bytes, int from, int to) throws FrameException {
        int available = to - from;
        if (available < FrameEncoder.LENGTH_BYTES) {
            return 0;
        }
        int length = readInt(bytes, from);
        if (length < 1 || length > maxLength) {
            throw new FrameException("frame of length " + length);
        }
        if (available < FrameEncoder.HEADER_BYTES) {
            return 0;
        }
        int type = bytes[from + FrameEncoder.LENGTH_BYTES] & 0xff;
        if (types.indexOf(type) < 0) {
            throw new FrameException("frame of type " + type);
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

    /** Returns the frame that the last feed completed, once; null where there is none. */
    public Frame take() {
        Frame taken = frame;
        frame = null;
        return taken;
    }
}
