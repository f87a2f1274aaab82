package pepperdock.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes entries and snapshots, on disk and between members alike. Stateless. Malformed bytes are rejected with
 * {@link IllegalArgumentException}.
 */
final class StoreCodec {

    /** Bytes of an entry beside its key and value: the sequence number and two lengths. */
    private static final int HEADER_BYTES = 16;
    /** In place of the length of a value that is absent. */
    private static final int NO_VALUE = -1;

    private StoreCodec() {}

    /**
     * All keys with their values as of one entry.
     *
     * @param lineage of the log that the sequence number belongs to
     * @param seq of the last entry that it covers
     */
    record Snapshot(String lineage, long seq, Map<String, byte[]> values) {}

    /** Sequence number, key length, key, value length, value; a removal has {@link #NO_VALUE} for a value's length. */
    static byte[] entry(StoreEntry entry) {
        byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
        byte[] value = entry.value();
        int length = value == null ? 0 : value.length;
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + key.length + length);
        buffer.putLong(entry.seq()).putInt(key.length).put(key).putInt(value == null ? NO_VALUE : length);
        if (value != null) {
            buffer.put(value);
        }
        return buffer.array();
    }

    /** Reads the next entry. */
    static StoreEntry entry(ByteBuffer buffer) {
        try {
            long seq = buffer.getLong();
            String key = new String(bytes(buffer, buffer.getInt()), StandardCharsets.UTF_8);
            int length = buffer.getInt();
            return new StoreEntry(seq, key, length == NO_VALUE ? null : bytes(buffer, length));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("entry cut short", e);
        }
    }

    /** Entries, one after the other. */
    static byte[] entries(List<StoreEntry> all) {
        List<byte[]> encoded = all.stream().map(StoreCodec::entry).toList();
        ByteBuffer buffer = ByteBuffer.allocate(
                encoded.stream().mapToInt(entry -> entry.length).sum());
        encoded.forEach(buffer::put);
        return buffer.array();
    }

    /** Reads entries to the end of the bytes. */
    static List<StoreEntry> entries(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        List<StoreEntry> all = new ArrayList<>();
        while (buffer.hasRemaining()) {
            all.add(entry(buffer));
        }
        return all;
    }

    /** A snapshot as entries: the first has its sequence number and lineage, then comes one a key. */
    static byte[] snapshot(Snapshot snapshot) {
        List<StoreEntry> all = new ArrayList<>();
        all.add(new StoreEntry(snapshot.seq(), snapshot.lineage(), null));
        snapshot.values().forEach((key, value) -> all.add(new StoreEntry(0, key, value)));
        return entries(all);
    }

    /** Reads a snapshot. */
    static Snapshot snapshot(byte[] bytes) {
        List<StoreEntry> all = entries(bytes);
        if (all.isEmpty()) {
            throw new IllegalArgumentException("empty snapshot");
        }
        Map<String, byte[]> values = new LinkedHashMap<>();
        all.subList(1, all.size()).forEach(entry -> values.put(entry.key(), entry.value()));
        return new Snapshot(all.get(0).key(), all.get(0).seq(), values);
    }

    private static byte[] bytes(ByteBuffer buffer, int length) {
        if (length < 0 || length > buffer.remaining()) {
            throw new IllegalArgumentException("length " + length + " of " + buffer.remaining());
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return bytes;
    }
}
