package pepperdock.simulation.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import pepperdock.store.raft.HardState;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.RaftLogEntry;
import pepperdock.store.raft.RaftOutput.Write;
import pepperdock.store.raft.RaftSnapshot;

/** What a disk has synced, and the writes that it has not. */
class Disk {

    private HardState hardState = PersistedState.NOTHING.hardState();
    private RaftSnapshot snapshot;
    private final List<RaftLogEntry> entries = new ArrayList<>();
    final Deque<Write> open = new ArrayDeque<>();

    Disk(PersistedState begins) {
        hardState = begins.hardState();
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
        if (w.hardState() != null) {
            hardState = w.hardState();
        }
        if (w.truncateFrom() > 0) {
            entries.removeIf(e -> e.index() >= w.truncateFrom());
        }
        if (w.snapshot() != null) {
            snapshot = w.snapshot();
        }
        for (RaftLogEntry e : w.entries()) {
            entries.removeIf(x -> x.index() >= e.index());
            entries.add(e);
        }
    }

    PersistedState saved() {
        return new PersistedState(hardState, snapshot, List.copyOf(entries));
    }

    /** The term of what it holds at an index; -1 where that is nothing, -2 where a snapshot stands for it. */
    long term(long index) {
        for (RaftLogEntry e : entries) {
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
