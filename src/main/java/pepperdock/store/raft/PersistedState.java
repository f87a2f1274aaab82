package pepperdock.store.raft;

import java.util.List;

/**
 * The state on disk when a process starts: the last hard state, snapshot and entries that were written and synced
 * (thesis, 3.8). The entries are contiguous and begin no later than directly after the snapshot.
 */
public record PersistedState(HardState hardState, RaftSnapshot snapshot, List<RaftLogEntry> entries) {

    /** The state of a new disk. */
    public static final PersistedState NOTHING = new PersistedState(new HardState(0, 0), RaftSnapshot.NONE, List.of());
}
