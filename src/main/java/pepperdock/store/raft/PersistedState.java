package pepperdock.store.raft;

import java.util.List;

/**
 * What a disk holds when a process starts: the last of each that was written and synced (thesis, 3.8). The entries are
 * contiguous, and begin no later than right after the snapshot.
 */
public record PersistedState(HardState hardState, RaftSnapshot snapshot, List<RaftLogEntry> entries) {

    /** Of a new disk. */
    public static final PersistedState NOTHING = new PersistedState(new HardState(0, 0), RaftSnapshot.NONE, List.of());
}
