package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import pepperdock.store.raft.HardState;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.RaftLogEntry;
import pepperdock.store.raft.RaftOutput;
import pepperdock.store.raft.RaftSnapshot;

/** The disk of a control machine, with the synced part of the log. */
final class LogDisk {

    private HardState hardState;
    private RaftSnapshot snapshot;
    private final List<RaftLogEntry> entries = new ArrayList<>();

    LogDisk(PersistedState initial) {
        hardState = initial.hardState();
        snapshot = initial.snapshot();
        entries.addAll(initial.entries());
    }

    void store(RaftOutput.Write write) {
        if (write.hardState() != null) {
            hardState = write.hardState();
        }
        if (write.truncateFrom() > 0) {
            entries.removeIf(e -> e.index() >= write.truncateFrom());
        }
        if (write.snapshot() != null) {
            snapshot = write.snapshot();
        }
        for (RaftLogEntry entry : write.entries()) {
            entries.removeIf(e -> e.index() >= entry.index());
            entries.add(entry);
        }
    }

    PersistedState saved() {
        return new PersistedState(hardState, snapshot, List.copyOf(entries));
    }
}
