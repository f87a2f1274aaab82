package pepperdock.store.raft;

import java.util.List;

/**
 * What a disk holds when a process starts: the last of each that was written and synced. Entries follow on each other, and
 * begin no later than right after the snapshot.
 */
public record Saved(Hard hard, Snapshot snapshot, List<Entry> entries) {

    public static final Saved NOTHING = new Saved(new Hard(0, 0), Snapshot.NONE, List.of());
}
