package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import pepperdock.store.raft.HardState;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.RaftLogEntry;
import pepperdock.store.raft.RaftOutput;
import pepperdock.store.raft.RaftSnapshot;

/** What the disk of a control machine holds of the log. */
final class LogDisk {

    private HardState hard;
    private RaftSnapshot snapshot;
    private final List<RaftLogEntry> entries = new ArrayList<>();

    LogDisk(PersistedState begins) {
        hard = begins.hardState();
        snapshot = begins.snapshot();
        entries.addAll(begins.entries());
    }

    void keep(RaftOutput.Write write) {
        if (write.hardState() != null) {
            hard = write.hardState();
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
        return new PersistedState(hard, snapshot, List.copyOf(entries));
    }
}
