package pepperdock.store.raft;

import java.util.List;

/** An action that the caller has to carry out for a {@link RaftServer}, in the order given. */
public sealed interface RaftOutput {

    /** Send a message to a peer; the message may be lost. */
    record Send(long to, RaftMessage message) implements RaftOutput {}

    /**
     * Write this after all writes with lower numbers, and call {@link RaftServer#written} once it is synced. Each part
     * may be absent. A snapshot covers all entries up to and including its index. Entries replace everything on disk
     * from the first entry's index on.
     *
     * @param truncateFrom everything on disk from this index on is invalid, even if no entries follow; 0 for no
     *     truncation
     */
    record Write(long number, HardState hardState, RaftSnapshot snapshot, long truncateFrom, List<RaftLogEntry> entries)
            implements RaftOutput {}

    /** Apply these entries, each once and in this order; they are committed and on this disk. */
    record Apply(List<RaftLogEntry> entries) implements RaftOutput {}

    /** Replace everything applied so far by this snapshot. */
    record Restore(RaftSnapshot snapshot) implements RaftOutput {}

    /** The role, the term or the leader (0 if none is known) has changed; informs the caller only. */
    record StateChange(RaftPeerState state, long term, long leader) implements RaftOutput {}

    /** The read may be answered once entries up to this index are applied (thesis, 6.4). */
    record ReadReady(long token, long index) implements RaftOutput {}

    /** The read can't be answered here, because this server is not, or no longer, the leader. */
    record ReadRejected(long token) implements RaftOutput {}
}
