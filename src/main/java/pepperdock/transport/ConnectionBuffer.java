package pepperdock.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The single buffer of a connection. Input is kept at its low end and output at its high end, and both grow into the
 * gap between them. When the gap is too small, the buffer is compacted in place and doubled, up to a cap.
 */
final class ConnectionBuffer {

    static final int MIN_CAPACITY = 2048;
    /** Minimum free space for a read, in bytes. */
    private static final int MIN_READ_SPACE = 512;

    private final int maxCapacity;
    private byte[] bytes = new byte[MIN_CAPACITY];
    private int readStart;
    private int readEnd;
    private int writeStart = MIN_CAPACITY;

    ConnectionBuffer(int maxCapacity) {
        this.maxCapacity = maxCapacity;
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

    /** Returns free space for a read, or null when the cap leaves none. */
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

    /** Appends bytes to the output; returns false when the cap leaves no space for them. */
    boolean append(byte[] source, int offset, int count) {
        if (!ensureSpace(count)) {
            return false;
        }
        System.arraycopy(bytes, writeStart, bytes, writeStart - count, bytes.length - writeStart);
        writeStart -= count;
        System.arraycopy(source, offset, bytes, bytes.length - count, count);
        return true;
    }

    ByteBuffer forWrite() {
        return ByteBuffer.wrap(bytes, writeStart, bytes.length - writeStart);
    }

    void advanceWrite(int count) {
        writeStart += count;
        shrink();
    }

    /**
     * Makes the gap at least {@code needed} bytes wide, first by compacting, then by growing; returns false if it
     * can't.
     */
    private boolean ensureSpace(int needed) {
        if (writeStart - readEnd >= needed) {
            return true;
        }
        System.arraycopy(bytes, readStart, bytes, 0, readEnd - readStart);
        readEnd -= readStart;
        readStart = 0;
        int used = readEnd + bytes.length - writeStart;
        if (used + needed > maxCapacity) {
            return false;
        }
        int size = bytes.length;
        while (size < used + needed) {
            size = Math.min(maxCapacity, size * 2);
        }
        resize(size);
        return true;
    }

    /** Reduces an empty buffer to the initial capacity, so that an idle connection keeps no more. */
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
        int outputBytes = bytes.length - writeStart;
        byte[] resized = Arrays.copyOf(Arrays.copyOf(bytes, readEnd), size);
        System.arraycopy(bytes, writeStart, resized, size - outputBytes, outputBytes);
        bytes = resized;
        writeStart = size - outputBytes;
    }
}
