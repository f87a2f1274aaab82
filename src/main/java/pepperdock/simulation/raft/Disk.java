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

/** A simulated disk: its synced contents, and the writes that are not synced yet. */
class Disk {

    private HardState hardState = PersistedState.NOTHING.hardState();
    private RaftSnapshot snapshot;
    private final List<RaftLogEntry> entries = new ArrayList<>();
    final Deque<Write> pending = new ArrayDeque<>();

    Disk(PersistedState initial) {
        hardState = initial.hardState();
        snapshot = initial.snapshot();
        entries.addAll(initial.entries());
    }

    /** Syncs the oldest pending write; returns its number. */
    long sync() {
        Write write = pending.poll();
        store(write);
        return write.number();
    }

    /** Ends the process: the first {@code kept} pending writes still reach the disk, the others are lost. */
    void crash(int kept) {
        for (int i = 0; i < kept && !pending.isEmpty(); i++) {
            store(pending.poll());
        }
        pending.clear();
    }

    private void store(Write write) {
        if (write.hardState() != null) {
            hardState = write.hardState();
        }
        if (write.truncateFrom() > 0) {
            entries.removeIf(e -> e.index() >= write.truncateFrom());
        }
        if (write.snapshot() != null) {
            snapshot = write.snapshot();
        }
        for (RaftLogEntry e : write.entries()) {
            entries.removeIf(x -> x.index() >= e.index());
            entries.add(e);
        }
    }

    PersistedState saved() {
        return new PersistedState(hardState, snapshot, List.copyOf(entries));
    }

    /** Returns the term of the entry at an index; -1 if there is none, -2 if the snapshot covers the index. */
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
