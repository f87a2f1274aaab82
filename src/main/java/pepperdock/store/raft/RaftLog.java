package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The log in memory, starting shortly before the snapshot's index. Tracks how much of it is on disk, committed and
 * applied, and the members as of each index. Entries that were handed to the disk and are not confirmed yet are tracked
 * by the number of their write, since a later write may replace them. Used only on the thread that calls
 * {@link RaftServer}.
 */
final class RaftLog {

    /** A write that was handed to the disk, with entries up to index {@code to}. */
    private static final class PendingWrite {
        private final long write;
        private long to;

        PendingWrite(long write, long to) {
            this.write = write;
            this.to = to;
        }
    }

    /** The index of the entry before the first one in memory. */
    private long baseIndex;

    /** The term of the entry at {@code baseIndex}. */
    private long baseTerm;

    private final List<RaftLogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, VoterConfiguration> configurations = new TreeMap<>();
    private RaftSnapshot snapshot;
    private long commitIndex;
    private long appliedIndex;
    private long durableIndex;
    private final List<PendingWrite> pendingWrites = new ArrayList<>();
    /** The index of the first entry that was not handed to the disk yet. */
    private long firstUnwritten;

    /** The index from which the disk has to truncate its log before the next entries; 0 for no truncation. */
    private long truncateFrom;

    private boolean snapshotUnwritten;
    /** Estimated size of the uncommitted entries in bytes. */
    private int uncommittedBytes;

    RaftLog(RaftSnapshot snapshot, List<RaftLogEntry> saved) {
        this.snapshot = snapshot;
        configurations.put(snapshot.index(), snapshot.configuration());
        boolean contiguous = saved.isEmpty() || saved.get(0).index() <= snapshot.index() + 1;
        if (!contiguous) {
            throw new IllegalArgumentException("saved entries begin at index "
                    + saved.get(0).index() + ", expected at most the one after the snapshot's, " + snapshot.index());
        }
        baseIndex = snapshot.index();
        baseTerm = snapshot.term();
        for (RaftLogEntry entry : saved) {
            // After a crash between writing a snapshot and truncating the log, the log still has entries that the
            // snapshot covers; they are skipped.
            if (entry.index() == lastIndex() + 1) {
                add(entry);
            }
        }
        commitIndex = snapshot.index();
        appliedIndex = snapshot.index();
        durableIndex = lastIndex();
        firstUnwritten = lastIndex() + 1;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /** Returns the first index whose entry is in memory. */
    long firstIndex() {
        return baseIndex + 1;
    }

    /** Returns the term at an index; -1 if the index is compacted or beyond the end. */
    long term(long index) {
        return index == baseIndex
                ? baseTerm
                : index < baseIndex || index > lastIndex() ? -1 : get(index).term();
    }

    RaftLogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    long commitIndex() {
        return commitIndex;
    }

    long durableIndex() {
        return durableIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    RaftSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the members as of the newest entry that has a configuration, committed or not (thesis, 4.1). */
    VoterConfiguration configuration() {
        return configurations.lastEntry().getValue();
    }

    /** Returns the index of the entry that {@link #configuration} is from. */
    long configurationIndex() {
        return configurations.lastKey();
    }

    /** Returns the members as of an index. */
    private VoterConfiguration configurationAt(long index) {
        Map.Entry<Long, VoterConfiguration> entry = configurations.floorEntry(index);
        return entry == null ? VoterConfiguration.NONE : entry.getValue();
    }

    void add(RaftLogEntry entry) {
        entries.add(entry);
        uncommittedBytes += entry.size();
        if (entry.configuration() != null) {
            configurations.put(entry.index(), entry.configuration());
        }
    }

    /** Returns the largest index up to {@code from} whose term is not later than {@code term}. */
    long lastIndexNotAfterTerm(long from, long term) {
        long index = Math.min(from, lastIndex());
        while (index > baseIndex && term(index) > term) {
            index--;
        }
        return index;
    }

    /**
     * Merges a leader's entries, which follow an entry of this log (thesis, 3.5). Entries that are already here stay,
     * with all entries after them, as the message may be an old one. From the first entry that differs on, the rest of
     * the log is replaced.
     */
    void merge(List<RaftLogEntry> leaderEntries) {
        for (RaftLogEntry entry : leaderEntries) {
            if (entry.index() <= baseIndex || term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= lastIndex()) {
                if (entry.index() <= commitIndex) {
                    throw new CommittedEntryConflictException(entry.index());
                }
                List<RaftLogEntry> rest = entries.subList((int) (entry.index() - baseIndex - 1), entries.size());
                rest.forEach(dropped -> uncommittedBytes -= dropped.size());
                rest.clear();
                configurations.tailMap(entry.index(), true).clear();
                invalidateFrom(entry.index());
            }
            add(entry);
        }
    }

    /** Marks the entries from an index on, which were dropped from memory, as invalid on disk. */
    private void invalidateFrom(long from) {
        durableIndex = Math.min(durableIndex, from - 1);
        pendingWrites.forEach(pending -> pending.to = Math.min(pending.to, from - 1));
        if (from < firstUnwritten) {
            truncateFrom = truncateFrom == 0 ? from : Math.min(truncateFrom, from);
            firstUnwritten = from;
        }
    }

    /** Returns entries from an index on, up to the given number of bytes, but at least one if there is any. */
    List<RaftLogEntry> entriesFrom(long index, int maxBytes) {
        List<RaftLogEntry> selected = new ArrayList<>();
        int totalBytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            RaftLogEntry entry = get(i);
            totalBytes += entry.size();
            if (totalBytes > maxBytes && !selected.isEmpty()) {
                break;
            }
            selected.add(entry);
        }
        return selected;
    }

    int uncommittedBytes() {
        return uncommittedBytes;
    }

    /** Advances the commit index, which never decreases; returns whether it has advanced. */
    boolean commitTo(long index) {
        long to = Math.min(index, lastIndex());
        if (to <= commitIndex) {
            return false;
        }
        for (long i = commitIndex + 1; i <= to; i++) {
            uncommittedBytes -= get(i).size();
        }
        commitIndex = to;
        return true;
    }

    /** Returns the entries to apply now, which are committed, on this disk, and not applied before. */
    List<RaftLogEntry> toApply() {
        long to = Math.min(commitIndex, durableIndex);
        if (to <= appliedIndex) {
            return List.of();
        }
        List<RaftLogEntry> selected =
                List.copyOf(entries.subList((int) (appliedIndex - baseIndex), (int) (to - baseIndex)));
        appliedIndex = to;
        return selected;
    }

    // ---- The disk ------------------------------------------------------------

    boolean hasUnwritten() {
        return firstUnwritten <= lastIndex() || truncateFrom > 0 || snapshotUnwritten;
    }

    /** Returns everything that was not handed to the disk yet, as one write. */
    RaftOutput.Write nextWrite(long write, HardState hardState) {
        List<RaftLogEntry> selected = firstUnwritten > lastIndex()
                ? List.of()
                : List.copyOf(entries.subList((int) (firstUnwritten - baseIndex - 1), entries.size()));
        RaftOutput.Write next =
                new RaftOutput.Write(write, hardState, snapshotUnwritten ? snapshot : null, truncateFrom, selected);
        if (!selected.isEmpty() || snapshotUnwritten) {
            pendingWrites.add(new PendingWrite(write, lastIndex()));
        }
        firstUnwritten = lastIndex() + 1;
        truncateFrom = 0;
        snapshotUnwritten = false;
        return next;
    }

    /** Records that all writes up to this one are synced. */
    void written(long write) {
        while (!pendingWrites.isEmpty() && pendingWrites.get(0).write <= write) {
            durableIndex = Math.max(durableIndex, pendingWrites.remove(0).to);
        }
    }

    // ---- Snapshots ------------------------------------------------------------

    /**
     * Takes a snapshot of the applied entries up to an index (thesis, 5.1). Entries at least {@code retained} before
     * the index are dropped from memory.
     */
    void compact(long index, byte[] state, int retained) {
        if (index <= snapshot.index() || index > appliedIndex) {
            throw new IllegalArgumentException(
                    "can't compact to index " + index + ": expected one after the last snapshot's, " + snapshot.index()
                            + ", and not after " + appliedIndex + ", the last applied");
        }
        snapshot = new RaftSnapshot(index, term(index), configurationAt(index), state);
        snapshotUnwritten = true;
        long lastDropped = index - retained;
        if (lastDropped > baseIndex) {
            long term = term(lastDropped);
            entries.subList(0, (int) (lastDropped - baseIndex)).clear();
            baseIndex = lastDropped;
            baseTerm = term;
        }
        VoterConfiguration current = configurationAt(index);
        configurations.headMap(index, true).clear();
        configurations.put(index, current);
    }

    /** Replaces the whole log by a leader's snapshot (thesis, 5.1). */
    void restore(RaftSnapshot leaderSnapshot) {
        entries.clear();
        configurations.clear();
        configurations.put(leaderSnapshot.index(), leaderSnapshot.configuration());
        baseIndex = leaderSnapshot.index();
        baseTerm = leaderSnapshot.term();
        snapshot = leaderSnapshot;
        commitIndex = leaderSnapshot.index();
        appliedIndex = leaderSnapshot.index();
        pendingWrites.clear();
        durableIndex = 0;
        firstUnwritten = leaderSnapshot.index() + 1;
        truncateFrom = 1;
        snapshotUnwritten = true;
        uncommittedBytes = 0;
    }
}
