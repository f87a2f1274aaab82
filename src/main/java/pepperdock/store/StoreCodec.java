package pepperdock.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes entries and snapshots, in the same format on disk and between members. Stateless. Malformed bytes
 * are rejected with {@link IllegalArgumentException}.
 */
final class StoreCodec {

    /** Bytes of an entry in addition to its key and value: the sequence number and the two lengths. */
    private static final int HEADER_BYTES = 16;
    /** Stands in place of the length of a value that is absent. */
    private static final int NO_VALUE = -1;

    private StoreCodec() {}

    /**
     * All keys and their values as of one entry.
     *
     * @param logId id of the log that the sequence number belongs to
     * @param seq sequence number of the last entry that the snapshot covers
     */
    record Snapshot(String logId, long seq, Map<String, byte[]> values) {}

    /**
     * Encodes an entry as sequence number, key length, key, value length and value. A removal has {@link #NO_VALUE} as
     * value length and no value.
     */
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

    /** Decodes the next entry. */
    static StoreEntry entry(ByteBuffer buffer) {
        try {
            long seq = buffer.getLong();
            String key = new String(bytes(buffer, buffer.getInt()), StandardCharsets.UTF_8);
            int length = buffer.getInt();
            return new StoreEntry(seq, key, length == NO_VALUE ? null : bytes(buffer, length));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("entry ends before all of its fields", e);
        }
    }

    /** Encodes entries one after the other. */
    static byte[] entries(List<StoreEntry> entries) {
        List<byte[]> encoded = entries.stream().map(StoreCodec::entry).toList();
        ByteBuffer buffer = ByteBuffer.allocate(
                encoded.stream().mapToInt(entry -> entry.length).sum());
        encoded.forEach(buffer::put);
        return buffer.array();
    }

    /** Decodes entries up to the end of the bytes. */
    static List<StoreEntry> entries(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        List<StoreEntry> entries = new ArrayList<>();
        while (buffer.hasRemaining()) {
            entries.add(entry(buffer));
        }
        return entries;
    }

    /**
     * Encodes a snapshot as entries: the first holds the sequence number and the log id, and one entry per key follows.
     */
    static byte[] snapshot(Snapshot snapshot) {
        return snapshot(snapshot, null);
    }

    /**
     * Encodes a snapshot for another member: like {@link #snapshot(Snapshot)}, with the number of keys as the value of
     * the first entry. The file on disk has a checksum in its place.
     */
    static byte[] snapshotForPeer(Snapshot snapshot) {
        int keys = snapshot.values().size();
        return snapshot(
                snapshot, ByteBuffer.allocate(Integer.BYTES).putInt(keys).array());
    }

    private static byte[] snapshot(Snapshot snapshot, byte[] keyCount) {
        List<StoreEntry> entries = new ArrayList<>();
        entries.add(new StoreEntry(snapshot.seq(), snapshot.logId(), keyCount));
        snapshot.values().forEach((key, value) -> entries.add(new StoreEntry(0, key, value)));
        return entries(entries);
    }

    /**
     * Decodes a snapshot. Rejects one that says how many keys it has, and has fewer or more: its length then ends between
     * two entries.
     */
    static Snapshot snapshot(byte[] bytes) {
        List<StoreEntry> entries = entries(bytes);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException(
                    "snapshot has no entries; expected a first entry with its sequence number and log id");
        }
        Map<String, byte[]> values = new LinkedHashMap<>();
        entries.subList(1, entries.size()).forEach(entry -> values.put(entry.key(), entry.value()));
        byte[] keyCount = entries.get(0).value();
        if (keyCount != null
                && (keyCount.length != Integer.BYTES
                        || ByteBuffer.wrap(keyCount).getInt() != entries.size() - 1)) {
            throw new IllegalArgumentException(
                    "snapshot has " + (entries.size() - 1) + " keys, not as many as it says");
        }
        return new Snapshot(entries.get(0).key(), entries.get(0).seq(), values);
    }

    private static byte[] bytes(ByteBuffer buffer, int length) {
        if (length < 0 || length > buffer.remaining()) {
            throw new IllegalArgumentException(
                    "field length " + length + " is negative or exceeds the bytes left, " + buffer.remaining());
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return bytes;
    }
}
