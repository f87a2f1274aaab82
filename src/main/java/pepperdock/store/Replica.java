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
 * One member's copy of the store: the log since the last snapshot and the resulting values. Without a folder the copy
 * is kept in memory only. Each log has an id, a random name that distinguishes it from another leader's log, in which
 * the same sequence numbers stand for other entries. Used by one thread only.
 */
final class Replica implements AutoCloseable {

    /** Null for a copy in memory only. */
    private final StoreLogFile file;

    private final int snapshotEvery;
    private final Map<String, byte[]> values = new LinkedHashMap<>();
    /** The entries after the snapshot, in the order of their sequence numbers. */
    private final List<StoreEntry> entriesSinceSnapshot = new ArrayList<>();

    private String logId = "";
    /** The sequence number of the snapshot. */
    private long snapshotSeq;
    /** The sequence number of the last entry. */
    private long seq;

    /**
     * Opens the copy that is stored in a folder.
     *
     * @param folder null for a copy in memory only
     * @param snapshotEvery number of entries; the log is compacted when it has twice as many
     * @param leads whether this member is the leader: the empty copy of a leader starts a new log, that of a follower
     *     adopts the leader's log
     */
    Replica(Path folder, int snapshotEvery, boolean leads) throws IOException {
        this.snapshotEvery = snapshotEvery;
        file = folder == null ? null : new StoreLogFile(folder);
        byte[] snapshot = file == null ? null : file.snapshot();
        if (snapshot != null) {
            install(StoreCodec.snapshot(snapshot));
            for (byte[] record : file.recordsAtOpen()) {
                StoreEntry entry = StoreCodec.entry(ByteBuffer.wrap(record));
                // After a crash between writing a snapshot and truncating the log, the log still has entries that the
                // snapshot covers; they are skipped.
                if (entry.seq() == seq + 1) {
                    apply(entry);
                }
            }
        } else if (leads) {
            // A log in memory has no followers and needs no unique id; generating a random one would load the
            // security providers at every start.
            logId = file == null ? "memory" : UUID.randomUUID().toString();
            compact();
        }
    }

    /** Returns the id of this copy's log; empty if this is a follower that has no log yet. */
    String logId() {
        return logId;
    }

    /** Returns the sequence number of the last entry; 0 if there is none. */
    long seq() {
        return seq;
    }

    /** Returns the value of a key; null if there is none. */
    byte[] get(String key) {
        return values.get(key);
    }

    /** Appends the next entry. It is on disk when this returns. */
    void append(StoreEntry entry) throws IOException {
        if (entry.seq() != seq + 1) {
            throw new LogGapException(entry.seq(), seq);
        }
        if (file != null) {
            file.append(StoreCodec.entry(entry));
        }
        apply(entry);
        if (entriesSinceSnapshot.size() >= 2 * snapshotEvery) {
            compact();
        }
    }

    /**
     * Returns the entries after a sequence number of a log; null if only a snapshot can bring a member with that log up
     * to date.
     */
    List<StoreEntry> after(String requestedLogId, long after) {
        return !requestedLogId.equals(logId) || after < snapshotSeq || after > seq
                ? null
                : List.copyOf(entriesSinceSnapshot.subList((int) (after - snapshotSeq), entriesSinceSnapshot.size()));
    }

    /** Returns all current values. */
    StoreCodec.Snapshot snapshot() {
        return new StoreCodec.Snapshot(logId, seq, new LinkedHashMap<>(values));
    }

    /** Replaces this copy by a snapshot of another copy. It is on disk when this returns. */
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
        logId = snapshot.logId();
        snapshotSeq = snapshot.seq();
        seq = snapshot.seq();
        values.clear();
        values.putAll(snapshot.values());
        entriesSinceSnapshot.clear();
    }

    private void apply(StoreEntry entry) {
        seq = entry.seq();
        entriesSinceSnapshot.add(entry);
        if (entry.value() == null) {
            values.remove(entry.key());
        } else {
            values.put(entry.key(), entry.value());
        }
    }

    /** Replaces the log's entries by a snapshot of the current values. */
    private void compact() throws IOException {
        if (file != null) {
            file.replaceBySnapshot(StoreCodec.snapshot(snapshot()));
        }
        snapshotSeq = seq;
        entriesSinceSnapshot.clear();
    }
}
