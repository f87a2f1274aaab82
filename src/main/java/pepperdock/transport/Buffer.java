package pepperdock.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The one buffer of a connection. What came in stands at its low end, what is to go out is kept against its high end,
 * and the gap between them serves both; it is compacted in place and doubled, up to a cap, when the gap is too small.
 */
final class Buffer {

    static final int LEAST = 2048;
    /** Room that a read wants at the least. */
    private static final int READ_ROOM = 512;

    private final int cap;
    private byte[] bytes = new byte[LEAST];
    private int inFrom;
    private int inTo;
    private int outFrom = LEAST;

    Buffer(int cap) {
        this.cap = cap;
    }

    byte[] bytes() {
        return bytes;
    }

    int inFrom() {
        return inFrom;
    }

    int inTo() {
        return inTo;
    }

    void consume(int count) {
        inFrom += count;
        if (inFrom == inTo) {
            inFrom = 0;
            inTo = 0;
        }
        shrink();
    }

    /** Room for a read, or null when the cap leaves none. */
    ByteBuffer forRead() {
        if (outFrom - inTo < READ_ROOM && !room(READ_ROOM)) {
            return null;
        }
        return ByteBuffer.wrap(bytes, inTo, outFrom - inTo);
    }

    void didRead(int count) {
        inTo += count;
    }

    boolean nothingOut() {
        return outFrom == bytes.length;
    }

    /** Adds bytes to what is to go out; false when the cap leaves no room. */
    boolean append(byte[] from, int at, int count) {
        if (!room(count)) {
            return false;
        }
        System.arraycopy(bytes, outFrom, bytes, outFrom - count, bytes.length - outFrom);
        outFrom -= count;
        System.arraycopy(from, at, bytes, bytes.length - count, count);
        return true;
    }

    ByteBuffer forWrite() {
        return ByteBuffer.wrap(bytes, outFrom, bytes.length - outFrom);
    }

    void didWrite(int count) {
        outFrom += count;
        shrink();
    }

    /** Makes the gap at least so wide: first by compacting, then by growing. */
    private boolean room(int want) {
        if (outFrom - inTo >= want) {
            return true;
        }
        System.arraycopy(bytes, inFrom, bytes, 0, inTo - inFrom);
        inTo -= inFrom;
        inFrom = 0;
        int used = inTo + bytes.length - outFrom;
        if (used + want > cap) {
            return false;
        }
        int size = bytes.length;
        while (size < used + want) {
            size = Math.min(cap, size * 2);
        }
        resize(size);
        return true;
    }

    /** An idle connection keeps no more than it began with. */
    private void shrink() {
        if (bytes.length > LEAST && inFrom == inTo && nothingOut()) {
            inFrom = 0;
            inTo = 0;
            resize(LEAST);
        }
    }

    private void resize(int size) {
        if (size == bytes.length) {
            return;
        }
        int out = bytes.length - outFrom;
        byte[] next = Arrays.copyOf(Arrays.copyOf(bytes, inTo), size);
        System.arraycopy(bytes, outFrom, next, size - out, out);
        bytes = next;
        outFrom = size - out;
    }
}
