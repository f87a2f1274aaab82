package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The entries that are held in memory, from a little before the snapshot on; what of them is on disk, committed and applied;
 * and who takes part as of each place. What was handed to the disk and not confirmed yet is remembered by its write, since a
 * later write may replace it.
 */
final class Log {

    private static final class Handed {
        private final long write;
        private long to;

        Handed(long write, long to) {
            this.write = write;
            this.to = to;
        }
    }

    /** The entry before the first that is held, and its term. */
    private long base;

    private long baseTerm;
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<Long, Members> members = new TreeMap<>();
    private Snapshot snapshot;
    private long commit;
    private long applied;
    private long durable;
    private final List<Handed> handed = new ArrayList<>();
    /** The first entry that was not handed to the disk; and what it has to cut off first, 0 for nothing. */
    private long fresh;

    private long cut;
    private boolean freshSnapshot;
    /** Bytes of what is not committed. */
    private int open;

    Log(Snapshot snapshot, List<Entry> kept) {
        this.snapshot = snapshot;
        members.put(snapshot.index(), snapshot.members());
        boolean whole = kept.isEmpty() || kept.get(0).index() <= snapshot.index() + 1;
        if (!whole) {
            throw new IllegalArgumentException(
                    "entries from " + kept.get(0).index() + " on, after a snapshot of " + snapshot.index());
        }
        base = snapshot.index();
        baseTerm = snapshot.term();
        for (Entry e : kept) {
            // Older ones are left behind by a crash between a snapshot and the end of its clearing up.
            if (e.index() == last() + 1) {
                add(e);
            }
        }
        commit = snapshot.index();
        applied = snapshot.index();
        durable = last();
        fresh = last() + 1;
    }

    long last() {
        return base + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /** The first entry that can still be sent. */
    long first() {
        return base + 1;
    }

    /** The term at an index; -1 where it is not held any more, or not yet. */
    long term(long index) {
        return index == base
                ? baseTerm
                : index < base || index > last() ? -1 : get(index).term();
    }

    Entry get(long index) {
        return entries.get((int) (index - base - 1));
    }

    long commit() {
        return commit;
    }

    long durable() {
        return durable;
    }

    long applied() {
        return applied;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** Those of the newest entry that names any, committed or not. */
    Members members() {
        return members.lastEntry().getValue();
    }

    /** The index of that entry. */
    long membersAt() {
        return members.lastKey();
    }

    /** Those as of an index. */
    private Members membersAt(long index) {
        Map.Entry<Long, Members> e = members.floorEntry(index);
        return e == null ? Members.NONE : e.getValue();
    }

    void add(Entry e) {
        entries.add(e);
        open += e.size();
        if (e.members() != null) {
            members.put(e.index(), e.members());
        }
    }

    /** The largest index up to {@code from} whose term is no later than that one. */
    long noLaterThan(long from, long term) {
        long i = Math.min(from, last());
        while (i > base && term(i) > term) {
            i--;
        }
        return i;
    }

    /**
     * Takes entries in that follow on one held here. Those that are here already stay, with all that follows them: the message
     * may be an old one. At the first that differs the rest is replaced.
     */
    void merge(List<Entry> all) {
        for (Entry e : all) {
            if (e.index() <= base || term(e.index()) == e.term()) {
                continue;
            }
            if (e.index() <= last()) {
                if (e.index() <= commit) {
                    throw new IllegalStateException("entry " + e.index() + " is committed, and another is sent for it");
                }
                List<Entry> rest = entries.subList((int) (e.index() - base - 1), entries.size());
                rest.forEach(x -> open -= x.size());
                rest.clear();
                members.tailMap(e.index(), true).clear();
                replacedFrom(e.index());
            }
            add(e);
        }
    }

    private void replacedFrom(long from) {
        durable = Math.min(durable, from - 1);
        handed.forEach(h -> h.to = Math.min(h.to, from - 1));
        if (from < fresh) {
            cut = cut == 0 ? from : Math.min(cut, from);
            fresh = from;
        }
    }

    /** Entries from an index on, of so many bytes, but one at least where there is one. */
    List<Entry> from(long index, int bytes) {
        List<Entry> some = new ArrayList<>();
        int sum = 0;
        for (long i = index; i <= last(); i++) {
            Entry e = get(i);
            sum += e.size();
            if (sum > bytes && !some.isEmpty()) {
                break;
            }
            some.add(e);
        }
        return some;
    }

    int uncommitted() {
        return open;
    }

    /** Nothing is ever taken back from what is committed. Returns whether there is more of it now. */
    boolean commit(long index) {
        long to = Math.min(index, last());
        if (to <= commit) {
            return false;
        }
        for (long i = commit + 1; i <= to; i++) {
            open -= get(i).size();
        }
        commit = to;
        return true;
    }

    /** What is to be applied now: committed, and on this disk. */
    List<Entry> toApply() {
        long to = Math.min(commit, durable);
        if (to <= applied) {
            return List.of();
        }
        List<Entry> some = List.copyOf(entries.subList((int) (applied - base), (int) (to - base)));
        applied = to;
        return some;
    }

    // ---- The disk ------------------------------------------------------------

    boolean anythingFresh() {
        return fresh <= last() || cut > 0 || freshSnapshot;
    }

    /** What is not handed to the disk yet, handed to it with this write. */
    Output.Write hand(long write, Hard hard) {
        List<Entry> some =
                fresh > last() ? List.of() : List.copyOf(entries.subList((int) (fresh - base - 1), entries.size()));
        Output.Write all = new Output.Write(write, hard, freshSnapshot ? snapshot : null, cut, some);
        if (!some.isEmpty() || freshSnapshot) {
            handed.add(new Handed(write, last()));
        }
        fresh = last() + 1;
        cut = 0;
        freshSnapshot = false;
        return all;
    }

    /** All writes up to this one are synced. */
    void written(long write) {
        while (!handed.isEmpty() && handed.get(0).write <= write) {
            durable = Math.max(durable, handed.remove(0).to);
        }
    }

    // ---- Snapshots ------------------------------------------------------------

    /** What was applied up to an index has come to this; entries well before it are let go. */
    void compact(long index, byte[] state, int kept) {
        if (index <= snapshot.index() || index > applied) {
            throw new IllegalArgumentException(
                    "snapshot of " + index + ", with " + snapshot.index() + " held and " + applied + " applied");
        }
        snapshot = new Snapshot(index, term(index), membersAt(index), state);
        freshSnapshot = true;
        long to = index - kept;
        if (to > base) {
            long term = term(to);
            entries.subList(0, (int) (to - base)).clear();
            base = to;
            baseTerm = term;
        }
        Members then = membersAt(index);
        members.headMap(index, true).clear();
        members.put(index, then);
    }

    /** Puts another's snapshot in place of all there is. */
    void restore(Snapshot s) {
        entries.clear();
        members.clear();
        members.put(s.index(), s.members());
        base = s.index();
        baseTerm = s.term();
        snapshot = s;
        commit = s.index();
        applied = s.index();
        handed.clear();
        durable = 0;
        fresh = s.index() + 1;
        cut = 1;
        freshSnapshot = true;
        open = 0;
    }
}
