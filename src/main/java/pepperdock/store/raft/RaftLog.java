package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The log in memory, from a little before the snapshot on; how much of it is on disk, committed and applied; and the members as
 * of each index. What was handed to the disk and not confirmed yet is remembered by its write, since a later write may replace
 * it. Owned by the thread that calls {@link RaftServer}.
 */
final class RaftLog {

    /** Entries up to {@code to} that were handed to the disk with a write. */
    private static final class PendingWrite {
        private final long write;
        private long to;

        PendingWrite(long write, long to) {
            this.write = write;
            this.to = to;
        }
    }

    /** The index of the entry before the first one in memory, and its term. */
    private long base;

    private long baseTerm;
    private final List<RaftLogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, VoterConfiguration> configurations = new TreeMap<>();
    private RaftSnapshot snapshot;
    private long commitIndex;
    private long appliedIndex;
    private long durableIndex;
    private final List<PendingWrite> pendingWrites = new ArrayList<>();
    /** The first entry that was not handed to the disk; and from where it has to truncate first, 0 for nowhere. */
    private long firstUnwritten;

    private long truncateFrom;
    private boolean snapshotUnwritten;
    /** Estimated bytes of the uncommitted entries. */
    private int uncommittedBytes;

    RaftLog(RaftSnapshot snapshot, List<RaftLogEntry> saved) {
        this.snapshot = snapshot;
        configurations.put(snapshot.index(), snapshot.configuration());
        boolean contiguous = saved.isEmpty() || saved.get(0).index() <= snapshot.index() + 1;
        if (!contiguous) {
            throw new IllegalArgumentException(
                    "entries from " + saved.get(0).index() + " on, after a snapshot of " + snapshot.index());
        }
        base = snapshot.index();
        baseTerm = snapshot.term();
        for (RaftLogEntry entry : saved) {
            // A crash between writing a snapshot and truncating the log leaves older entries behind.
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
        return base + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /** The first index whose entry is in memory. */
    long firstIndex() {
        return base + 1;
    }

    /** The term at an index; -1 where it is compacted or beyond the end. */
    long term(long index) {
        return index == base
                ? baseTerm
                : index < base || index > lastIndex() ? -1 : get(index).term();
    }

    RaftLogEntry get(long index) {
        return entries.get((int) (index - base - 1));
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

    /** The members by the newest entry that names any, committed or not (thesis, 4.1). */
    VoterConfiguration configuration() {
        return configurations.lastEntry().getValue();
    }

    /** The index of that entry. */
    long configurationIndex() {
        return configurations.lastKey();
    }

    /** The members as of an index. */
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

    /** The largest index up to {@code from} whose term is no later than that one. */
    long lastIndexNotAfterTerm(long from, long term) {
        long index = Math.min(from, lastIndex());
        while (index > base && term(index) > term) {
            index--;
        }
        return index;
    }

    /**
     * Merges a leader's entries, which follow one in this log (thesis, 3.5). Those that are here already stay, with all that
     * follows them, as the message may be an old one; from the first that differs on, the rest is replaced.
     */
    void merge(List<RaftLogEntry> all) {
        for (RaftLogEntry entry : all) {
            if (entry.index() <= base || term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= lastIndex()) {
                if (entry.index() <= commitIndex) {
                    throw new CommittedEntryConflictException(entry.index());
                }
                List<RaftLogEntry> rest = entries.subList((int) (entry.index() - base - 1), entries.size());
                rest.forEach(dropped -> uncommittedBytes -= dropped.size());
                rest.clear();
                configurations.tailMap(entry.index(), true).clear();
                replacedFrom(entry.index());
            }
            add(entry);
        }
    }

    /** Entries from this index on were dropped: what the disk has of them is void. */
    private void replacedFrom(long from) {
        durableIndex = Math.min(durableIndex, from - 1);
        pendingWrites.forEach(pending -> pending.to = Math.min(pending.to, from - 1));
        if (from < firstUnwritten) {
            truncateFrom = truncateFrom == 0 ? from : Math.min(truncateFrom, from);
            firstUnwritten = from;
        }
    }

    /** Entries from an index on, of so many bytes at most, but one at least where there is one. */
    List<RaftLogEntry> entriesFrom(long index, int bytes) {
        List<RaftLogEntry> selected = new ArrayList<>();
        int sum = 0;
        for (long i = index; i <= lastIndex(); i++) {
            RaftLogEntry entry = get(i);
            sum += entry.size();
            if (sum > bytes && !selected.isEmpty()) {
                break;
            }
            selected.add(entry);
        }
        return selected;
    }

    int uncommittedBytes() {
        return uncommittedBytes;
    }

    /** Advances the commit index, which never goes back; returns whether it has advanced. */
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

    /** The entries to apply now: committed, on this disk, and not applied before. */
    List<RaftLogEntry> toApply() {
        long to = Math.min(commitIndex, durableIndex);
        if (to <= appliedIndex) {
            return List.of();
        }
        List<RaftLogEntry> selected = List.copyOf(entries.subList((int) (appliedIndex - base), (int) (to - base)));
        appliedIndex = to;
        return selected;
    }

    // ---- The disk ------------------------------------------------------------

    boolean hasUnwritten() {
        return firstUnwritten <= lastIndex() || truncateFrom > 0 || snapshotUnwritten;
    }

    /** All that was not handed to the disk yet, as one write. */
    RaftOutput.Write nextWrite(long write, HardState hardState) {
        List<RaftLogEntry> selected = firstUnwritten > lastIndex()
                ? List.of()
                : List.copyOf(entries.subList((int) (firstUnwritten - base - 1), entries.size()));
        RaftOutput.Write all =
                new RaftOutput.Write(write, hardState, snapshotUnwritten ? snapshot : null, truncateFrom, selected);
        if (!selected.isEmpty() || snapshotUnwritten) {
            pendingWrites.add(new PendingWrite(write, lastIndex()));
        }
        firstUnwritten = lastIndex() + 1;
        truncateFrom = 0;
        snapshotUnwritten = false;
        return all;
    }

    /** All writes up to this one are synced. */
    void written(long write) {
        while (!pendingWrites.isEmpty() && pendingWrites.get(0).write <= write) {
            durableIndex = Math.max(durableIndex, pendingWrites.remove(0).to);
        }
    }

    // ---- Snapshots ------------------------------------------------------------

    /** Takes a snapshot of the applied entries (thesis, 5.1); entries well before its index are dropped from memory. */
    void compact(long index, byte[] state, int retained) {
        if (index <= snapshot.index() || index > appliedIndex) {
            throw new IllegalArgumentException(
                    "snapshot of " + index + ", with " + snapshot.index() + " held and " + appliedIndex + " applied");
        }
        snapshot = new RaftSnapshot(index, term(index), configurationAt(index), state);
        snapshotUnwritten = true;
        long lastDropped = index - retained;
        if (lastDropped > base) {
            long term = term(lastDropped);
            entries.subList(0, (int) (lastDropped - base)).clear();
            base = lastDropped;
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
        base = leaderSnapshot.index();
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
