package pepperdock.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Entries and snapshots as bytes, on disk and between members alike. */
final class StoreCodec {

    private StoreCodec() {}

    /** All keys with their values as of one place in the log, and of which log. */
    record Snapshot(String lineage, long seq, Map<String, byte[]> values) {}

    static byte[] entry(StoreEntry e) {
        byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
        int length = e.value() == null ? 0 : e.value().length;
        ByteBuffer b = ByteBuffer.allocate(16 + key.length + length);
        b.putLong(e.seq()).putInt(key.length).put(key).putInt(e.value() == null ? -1 : length);
        if (e.value() != null) {
            b.put(e.value());
        }
        return b.array();
    }

    static StoreEntry entry(ByteBuffer b) {
        try {
            long seq = b.getLong();
            String key = new String(bytes(b, b.getInt()), StandardCharsets.UTF_8);
            int length = b.getInt();
            return new StoreEntry(seq, key, length == -1 ? null : bytes(b, length));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("entry cut short", e);
        }
    }

    static byte[] entries(List<StoreEntry> all) {
        List<byte[]> each = all.stream().map(StoreCodec::entry).toList();
        ByteBuffer b = ByteBuffer.allocate(each.stream().mapToInt(x -> x.length).sum());
        each.forEach(b::put);
        return b.array();
    }

    static List<StoreEntry> entries(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        List<StoreEntry> all = new ArrayList<>();
        while (b.hasRemaining()) {
            all.add(entry(b));
        }
        return all;
    }

    static byte[] snapshot(Snapshot s) {
        List<StoreEntry> all = new ArrayList<>();
        all.add(new StoreEntry(s.seq(), s.lineage(), null));
        s.values().forEach((key, value) -> all.add(new StoreEntry(0, key, value)));
        return entries(all);
    }

    static Snapshot snapshot(byte[] bytes) {
        List<StoreEntry> all = entries(bytes);
        if (all.isEmpty()) {
            throw new IllegalArgumentException("empty snapshot");
        }
        Map<String, byte[]> values = new LinkedHashMap<>();
        all.subList(1, all.size()).forEach(e -> values.put(e.key(), e.value()));
        return new Snapshot(all.get(0).key(), all.get(0).seq(), values);
    }

    private static byte[] bytes(ByteBuffer b, int length) {
        if (length < 0 || length > b.remaining()) {
            throw new IllegalArgumentException("length " + length + " of " + b.remaining());
        }
        byte[] found = new byte[length];
        b.get(found);
        return found;
    }
}
