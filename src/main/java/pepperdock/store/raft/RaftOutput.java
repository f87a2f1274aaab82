package pepperdock.store.raft;

import java.util.List;

/** What the caller is to do for a {@link RaftServer}, in the order given. */
public sealed interface RaftOutput {

    /** Send a message to a peer; it may be lost. */
    record Send(long to, RaftMessage message) implements RaftOutput {}

    /**
     * Write this after all writes of lower numbers, and {@link RaftServer#written} to be called once it is synced. Each part may
     * be absent. A snapshot stands for all before and including its index. Entries replace whatever was held from the first
     * one's index on.
     *
     * @param truncateFrom whatever was held from this index on is void, also where no entries follow; 0 where nothing is
     */
    record Write(long number, HardState hardState, RaftSnapshot snapshot, long truncateFrom, List<RaftLogEntry> entries)
            implements RaftOutput {}

    /** Apply these entries, once each and in this order: they are committed, and on this disk. */
    record Apply(List<RaftLogEntry> entries) implements RaftOutput {}

    /** Replace all that was applied by this snapshot. */
    record Restore(RaftSnapshot snapshot) implements RaftOutput {}

    /** The role, the term or the leader (0 where none is known) has changed; for the caller's information. */
    record StateChange(RaftPeerState state, long term, long leader) implements RaftOutput {}

    /** The read may be answered once entries up to this index are applied (thesis, 6.4). */
    record ReadReady(long token, long index) implements RaftOutput {}

    /** The read can't be answered here: this server does not lead, or no longer. */
    record ReadRejected(long token) implements RaftOutput {}
}
