package pepperdock.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The one buffer of a connection. What came in stands at its low end, what is to go out is kept against its high end,
 * and the gap between them serves both; it is compacted in place and doubled, up to a cap, when the gap is too small.
 */
final class ConnectionBuffer {

    static final int MIN_CAPACITY = 2048;
    /** Room that a read wants at the least. */
    private static final int MIN_READ_SPACE = 512;

    private final int cap;
    private byte[] bytes = new byte[MIN_CAPACITY];
    private int readStart;
    private int readEnd;
    private int writeStart = MIN_CAPACITY;

    ConnectionBuffer(int cap) {
        this.cap = cap;
    }

    byte[] bytes() {
        return bytes;
    }

    int readStart() {
        return readStart;
    }

    int readEnd() {
        return readEnd;
    }

    void consume(int count) {
        readStart += count;
        if (readStart == readEnd) {
            readStart = 0;
            readEnd = 0;
        }
        shrink();
    }

    /** Room for a read, or null when the cap leaves none. */
    ByteBuffer forRead() {
        if (writeStart - readEnd < MIN_READ_SPACE && !ensureSpace(MIN_READ_SPACE)) {
            return null;
        }
        return ByteBuffer.wrap(bytes, readEnd, writeStart - readEnd);
    }

    void advanceRead(int count) {
        readEnd += count;
    }

    boolean nothingToWrite() {
        return writeStart == bytes.length;
    }

    /** Adds bytes to what is to go out; false when the cap leaves no room. */
    boolean append(byte[] from, int at, int count) {
        if (!ensureSpace(count)) {
            return false;
        }
        System.arraycopy(bytes, writeStart, bytes, writeStart - count, bytes.length - writeStart);
        writeStart -= count;
        System.arraycopy(from, at, bytes, bytes.length - count, count);
        return true;
    }

    ByteBuffer forWrite() {
        return ByteBuffer.wrap(bytes, writeStart, bytes.length - writeStart);
    }

    void advanceWrite(int count) {
        writeStart += count;
        shrink();
    }

    /** Makes the gap at least so wide: first by compacting, then by growing. */
    private boolean ensureSpace(int want) {
        if (writeStart - readEnd >= want) {
            return true;
        }
        System.arraycopy(bytes, readStart, bytes, 0, readEnd - readStart);
        readEnd -= readStart;
        readStart = 0;
        int used = readEnd + bytes.length - writeStart;
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
        if (bytes.length > MIN_CAPACITY && readStart == readEnd && nothingToWrite()) {
            readStart = 0;
            readEnd = 0;
            resize(MIN_CAPACITY);
        }
    }

    private void resize(int size) {
        if (size == bytes.length) {
            return;
        }
        int out = bytes.length - writeStart;
        byte[] next = Arrays.copyOf(Arrays.copyOf(bytes, readEnd), size);
        System.arraycopy(bytes, writeStart, next, size - out, out);
        bytes = next;
        writeStart = size - out;
    }
}
