package pepperdock.codec.frame;

import java.util.Arrays;

/** Cuts a stream of bytes, in any pieces, into frames: four bytes of length, a letter, the rest. */
public final class FrameParser {

    private final int most;
    private final String letters;
    private Frame frame;

    /** Takes frames of these letters, up to {@code most} bytes; any other is known for one by its first five bytes. */
    public FrameParser(int most, String letters) {
        this.most = most;
        this.letters = letters;
    }

    /** Returns how many bytes were used: those of one whole frame, which {@link #take} then gives, or none. */
    public int feed(byte[] bytes, int from, int to) throws FrameException {
        if (to - from < 4) {
            return 0;
        }
        int length = (bytes[from] & 0xff) << 24
                | (bytes[from + 1] & 0xff) << 16
                | (bytes[from + 2] & 0xff) << 8
                | bytes[from + 3] & 0xff;
        if (length < 1 || length > most) {
            throw new FrameException("frame of length " + length);
        }
        if (to - from > 4 && letters.indexOf(bytes[from + 4] & 0xff) < 0) {
            throw new FrameException("frame of letter " + (bytes[from + 4] & 0xff));
        }
        if (to - from - 4 < length) {
            return 0;
        }
        frame = new Frame((char) (bytes[from + 4] & 0xff), Arrays.copyOfRange(bytes, from + 5, from + 4 + length));
        return 4 + length;
    }

    /** The frame that the last feed completed, or null. */
    public Frame take() {
        Frame taken = frame;
        frame = null;
        return taken;
    }
}
