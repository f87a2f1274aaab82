package pepperdock.lab.distribution;

import java.util.ArrayList;
import java.util.List;
import pepperdock.store.raft.Entry;
import pepperdock.store.raft.Hard;
import pepperdock.store.raft.Output;
import pepperdock.store.raft.Saved;
import pepperdock.store.raft.Snapshot;

/** What the disk of a control machine holds of the log. */
final class LogDisk {

    private Hard hard;
    private Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();

    LogDisk(Saved begins) {
        hard = begins.hard();
        snapshot = begins.snapshot();
        entries.addAll(begins.entries());
    }

    void keep(Output.Write write) {
        if (write.hard() != null) {
            hard = write.hard();
        }
        if (write.cut() > 0) {
            entries.removeIf(e -> e.index() >= write.cut());
        }
        if (write.snapshot() != null) {
            snapshot = write.snapshot();
        }
        for (Entry entry : write.entries()) {
            entries.removeIf(e -> e.index() >= entry.index());
            entries.add(entry);
        }
    }

    Saved saved() {
        return new Saved(hard, snapshot, List.copyOf(entries));
    }
}
