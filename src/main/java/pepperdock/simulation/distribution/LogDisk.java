package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import pepperdock.store.raft.HardState;
import pepperdock.store.raft.LogEntry;
import pepperdock.store.raft.Output;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.Snapshot;

/** What the disk of a control machine holds of the log. */
final class LogDisk {

    private HardState hard;
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();

    LogDisk(PersistedState begins) {
        hard = begins.hardState();
        snapshot = begins.snapshot();
        entries.addAll(begins.entries());
    }

    void keep(Output.Write write) {
        if (write.hardState() != null) {
            hard = write.hardState();
        }
        if (write.cut() > 0) {
            entries.removeIf(e -> e.index() >= write.cut());
        }
        if (write.snapshot() != null) {
            snapshot = write.snapshot();
        }
        for (LogEntry entry : write.entries()) {
            entries.removeIf(e -> e.index() >= entry.index());
            entries.add(entry);
        }
    }

    PersistedState saved() {
        return new PersistedState(hard, snapshot, List.copyOf(entries));
    }
}
