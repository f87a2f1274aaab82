package pepperdock.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/**
 * One member's copy: the log since the last snapshot, and the values that result; in memory only without a folder. A log has a
 * lineage, a random name that tells it from another leader's, whose sequence numbers mean other entries. Owned by one thread.
 */
final class Replica implements AutoCloseable {

    /** Null for a copy in memory only. */
    private final StoreLogFile file;

    private final int snapshotEvery;
    private final Map<String, byte[]> values = new LinkedHashMap<>();
    /** The entries after the snapshot. */
    private final List<StoreEntry> tail = new ArrayList<>();

    private String lineage = "";
    /** The sequence number of the snapshot. */
    private long snapshotSeq;
    /** The sequence number of the last entry. */
    private long seq;

    /**
     * Opens the copy in a folder.
     *
     * @param folder null for a copy in memory only
     * @param snapshotEvery the log is compacted when it has twice as many entries
     * @param leads a leader's empty copy begins a log of its own, a follower's takes on the leader's
     */
    Replica(Path folder, int snapshotEvery, boolean leads) throws IOException {
        this.snapshotEvery = snapshotEvery;
        file = folder == null ? null : new StoreLogFile(folder);
        byte[] snapshot = file == null ? null : file.snapshot();
        if (snapshot != null) {
            install(StoreCodec.snapshot(snapshot));
            for (byte[] record : file.recordsAtOpen()) {
                StoreEntry entry = StoreCodec.entry(ByteBuffer.wrap(record));
                // A crash between writing a snapshot and truncating the log leaves entries up to the snapshot.
                if (entry.seq() == seq + 1) {
                    apply(entry);
                }
            }
        } else if (leads) {
            // Only a log that others may follow needs a name; a random one costs every start the security providers.
            lineage = file == null ? "memory" : UUID.randomUUID().toString();
            compact();
        }
    }

    /** The name of this copy's log; empty where a follower has none yet. */
    String lineage() {
        return lineage;
    }

    /** The sequence number of the last entry; 0 where there is none. */
    long seq() {
        return seq;
    }

    /** A key's value; null where there is none. */
    byte[] get(String key) {
        return values.get(key);
    }

    /** Adds the next entry, on disk before this returns. */
    void append(StoreEntry entry) throws IOException {
        if (entry.seq() != seq + 1) {
            throw new LogGapException(entry.seq(), seq);
        }
        if (file != null) {
            file.append(StoreCodec.entry(entry));
        }
        apply(entry);
        if (tail.size() >= 2 * snapshotEvery) {
            compact();
        }
    }

    /** The entries after a sequence number of a log; null where only a snapshot can bring a member of that log up to date. */
    List<StoreEntry> after(String ofLineage, long after) {
        return !ofLineage.equals(lineage) || after < snapshotSeq || after > seq
                ? null
                : List.copyOf(tail.subList((int) (after - snapshotSeq), tail.size()));
    }

    /** All values as of now. */
    StoreCodec.Snapshot snapshot() {
        return new StoreCodec.Snapshot(lineage, seq, new LinkedHashMap<>(values));
    }

    /** Replaces this copy by another's snapshot, on disk before this returns. */
    void restore(StoreCodec.Snapshot snapshot) throws IOException {
        install(snapshot);
        if (file != null) {
            file.replaceBySnapshot(StoreCodec.snapshot(snapshot));
        }
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }

    private void install(StoreCodec.Snapshot snapshot) {
        lineage = snapshot.lineage();
        snapshotSeq = snapshot.seq();
        seq = snapshot.seq();
        values.clear();
        values.putAll(snapshot.values());
        tail.clear();
    }

    private void apply(StoreEntry entry) {
        seq = entry.seq();
        tail.add(entry);
        if (entry.value() == null) {
            values.remove(entry.key());
        } else {
            values.put(entry.key(), entry.value());
        }
    }

    /** Replaces the entries by a snapshot of the values. */
    private void compact() throws IOException {
        if (file != null) {
            file.replaceBySnapshot(StoreCodec.snapshot(snapshot()));
        }
        snapshotSeq = seq;
        tail.clear();
    }
}
