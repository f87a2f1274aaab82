package pepperdock.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/** One member's copy: the log since the last snapshot, and the values that result; in memory only without a folder. */
final class Replica implements AutoCloseable {

    private final LogFile file;
    private final int snapshotEvery;
    private final Map<String, byte[]> values = new LinkedHashMap<>();
    private final List<StoreEntry> tail = new ArrayList<>();
    private String lineage = "";
    private long base;
    private long seq;

    /** {@code leads}: a leader's empty copy begins a log of its own, a follower's takes on the leader's. */
    Replica(Path folder, int snapshotEvery, boolean leads) throws IOException {
        this.snapshotEvery = snapshotEvery;
        file = folder == null ? null : new LogFile(folder);
        byte[] snapshot = file == null ? null : file.snapshot();
        if (snapshot != null) {
            install(StoreCodec.snapshot(snapshot));
            for (byte[] record : file.found()) {
                StoreEntry e = StoreCodec.entry(ByteBuffer.wrap(record));
                // Entries up to the snapshot are left over when a crash came between the two.
                if (e.seq() == seq + 1) {
                    apply(e);
                }
            }
        } else if (leads) {
            // Only a log that others may follow needs a name; a random one costs every start the security providers.
            lineage = file == null ? "memory" : UUID.randomUUID().toString();
            compact();
        }
    }

    String lineage() {
        return lineage;
    }

    long seq() {
        return seq;
    }

    byte[] get(String key) {
        return values.get(key);
    }

    /** Adds the next entry, on disk before this returns. */
    void append(StoreEntry e) throws IOException {
        if (e.seq() != seq + 1) {
            throw new IOException("entry " + e.seq() + " after " + seq);
        }
        if (file != null) {
            file.append(StoreCodec.entry(e));
        }
        apply(e);
        if (tail.size() >= 2 * snapshotEvery) {
            compact();
        }
    }

    /** The entries after a place in the log; null where only a snapshot can bring a member of that log up. */
    List<StoreEntry> after(String ofLineage, long place) {
        return !ofLineage.equals(lineage) || place < base || place > seq
                ? null
                : List.copyOf(tail.subList((int) (place - base), tail.size()));
    }

    StoreCodec.Snapshot snapshot() {
        return new StoreCodec.Snapshot(lineage, seq, new LinkedHashMap<>(values));
    }

    /** Takes another copy's snapshot in place of all there is. */
    void restore(StoreCodec.Snapshot s) throws IOException {
        install(s);
        if (file != null) {
            file.replace(StoreCodec.snapshot(s));
        }
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    private void install(StoreCodec.Snapshot s) {
        lineage = s.lineage();
        base = s.seq();
        seq = s.seq();
        values.clear();
        values.putAll(s.values());
        tail.clear();
    }

    private void apply(StoreEntry e) {
        seq = e.seq();
        tail.add(e);
        if (e.value() == null) {
            values.remove(e.key());
        } else {
            values.put(e.key(), e.value());
        }
    }

    private void compact() throws IOException {
        if (file != null) {
            file.replace(StoreCodec.snapshot(snapshot()));
        }
        base = seq;
        tail.clear();
    }
}
