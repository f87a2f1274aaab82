package pepperdock.store.raft;

import java.util.List;

/** What the caller is to do for a {@link Raft}, in the order given. */
public sealed interface Output {

    /** Send a message to a peer; it may be lost. */
    record Send(long to, Message message) implements Output {}

    /**
     * Write this after all writes of lower numbers, and {@link Raft#written} to be called once it is synced. Each part may
     * be absent. A snapshot stands for all before and including its index. Entries replace whatever was held from the first
     * one's index on.
     *
     * @param cut whatever was held from this index on is void, also where no entries follow; 0 where nothing is
     */
    record Write(long number, HardState hardState, Snapshot snapshot, long cut, List<LogEntry> entries)
            implements Output {}

    /** Apply these entries, once each and in this order: they are committed, and on this disk. */
    record Apply(List<LogEntry> entries) implements Output {}

    /** Replace all that was applied by this snapshot. */
    record Restore(Snapshot snapshot) implements Output {}

    /** The role, the term or the leader (0 where none is known) has changed; for the caller's information. */
    record StateChange(PeerState state, long term, long leader) implements Output {}

    /** The read may be answered once entries up to this index are applied (thesis, 6.4). */
    record ReadReady(long token, long index) implements Output {}

    /** The read can't be answered here: this server does not lead, or no longer. */
    record ReadRejected(long token) implements Output {}
}
