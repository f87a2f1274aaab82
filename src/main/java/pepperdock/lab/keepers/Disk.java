package pepperdock.lab.keepers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import pepperdock.store.raft.Entry;
import pepperdock.store.raft.Hard;
import pepperdock.store.raft.Output.Write;
import pepperdock.store.raft.Saved;
import pepperdock.store.raft.Snapshot;

/** What a disk has synced, and the writes that it has not. */
class Disk {

    private Hard hard = Saved.NOTHING.hard();
    private Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();
    final Deque<Write> open = new ArrayDeque<>();

    Disk(Saved begins) {
        hard = begins.hard();
        snapshot = begins.snapshot();
        entries.addAll(begins.entries());
    }

    /** Syncs the first write that is not; returns its number. */
    long sync() {
        Write w = open.poll();
        keep(w);
        return w.number();
    }

    /** The process ends: so many of the open writes have got to the disk all the same, the rest has not. */
    void crash(int kept) {
        for (int i = 0; i < kept && !open.isEmpty(); i++) {
            keep(open.poll());
        }
        open.clear();
    }

    private void keep(Write w) {
        if (w.hard() != null) {
            hard = w.hard();
        }
        if (w.cut() > 0) {
            entries.removeIf(e -> e.index() >= w.cut());
        }
        if (w.snapshot() != null) {
            snapshot = w.snapshot();
        }
        for (Entry e : w.entries()) {
            entries.removeIf(x -> x.index() >= e.index());
            entries.add(e);
        }
    }

    Saved saved() {
        return new Saved(hard, snapshot, List.copyOf(entries));
    }

    /** The term of what it holds at an index; -1 where that is nothing, -2 where a snapshot stands for it. */
    long term(long index) {
        for (Entry e : entries) {
            if (e.index() == index) {
                return e.term();
            }
        }
        return index <= snapshot.index() ? -2 : -1;
    }

    long lastIndex() {
        return entries.isEmpty()
                ? snapshot.index()
                : Math.max(snapshot.index(), entries.get(entries.size() - 1).index());
    }
}
