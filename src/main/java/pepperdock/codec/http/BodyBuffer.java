package pepperdock.codec.http;

import java.util.ArrayList;
import java.util.List;

/**
 * The body of a message while it arrives, in pieces of any size. What has arrived is never copied to make room for more:
 * bodies that arrive slowly, or never end, would otherwise leave several times their size to the garbage collector.
 */
final class BodyBuffer {

    private static final int MIN_CHUNK_BYTES = 256;
    private static final int MAX_CHUNK_BYTES = 4096;

    private final List<byte[]> chunks = new ArrayList<>(1);
    /** How many bytes of the last chunk are in use. */
    private int lastChunkBytes;

    private int size;
    private int capacity;

    /** Appends bytes. */
    void write(byte[] bytes, int from, int count) {
        int position = from;
        int end = from + count;
        while (position < end) {
            byte[] chunk = chunkWithSpace(end - position);
            int copied = Math.min(end - position, chunk.length - lastChunkBytes);
            System.arraycopy(bytes, position, chunk, lastChunkBytes, copied);
            lastChunkBytes += copied;
            position += copied;
        }
        size += count;
    }

    private byte[] chunkWithSpace(int needed) {
        byte[] last = chunks.isEmpty() ? null : chunks.get(chunks.size() - 1);
        if (last != null && lastChunkBytes < last.length) {
            return last;
        }
        int growth = Math.max(MIN_CHUNK_BYTES, Math.min(MAX_CHUNK_BYTES, size));
        byte[] chunk = new byte[Math.max(needed, growth)];
        chunks.add(chunk);
        capacity += chunk.length;
        lastChunkBytes = 0;
        return chunk;
    }

    /** Returns the number of bytes written. */
    int size() {
        return size;
    }

    /** Returns the memory that the bytes take, in bytes. */
    int capacity() {
        return capacity;
    }

    /** Returns all bytes written. */
    byte[] toByteArray() {
        byte[] all = new byte[size];
        int position = 0;
        for (byte[] chunk : chunks) {
            int count = Math.min(chunk.length, size - position);
            System.arraycopy(chunk, 0, all, position, count);
            position += count;
        }
        return all;
    }
}
