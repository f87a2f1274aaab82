package pepperdock.store.raft;

import java.util.List;

/** What the machine wants done, in this order. */
public sealed interface Output {

    /** A message to a peer. */
    record Send(long to, Message message) implements Output {}

    /**
     * To be written after all writes of lower numbers, and {@link Raft#written} to be called once it is synced. Each part may
     * be absent. A snapshot stands for all before and including its index. Entries replace whatever was held from the first
     * one's index on.
     *
     * @param cut whatever was held from this index on is void, also where no entries follow; 0 where nothing is
     */
    record Write(long number, HardState hardState, Snapshot snapshot, long cut, List<LogEntry> entries)
            implements Output {}

    /** Committed, and on this disk: to be applied, once each and in this order. */
    record Apply(List<LogEntry> entries) implements Output {}

    /** Takes the place of all that was applied. */
    record Restore(Snapshot snapshot) implements Output {}

    /** This peer's part, its term and its leader (0 where it knows none) have changed. */
    record StateChange(PeerState state, long term, long leader) implements Output {}

    /** A read asked for may be answered once entries up to this index are applied. */
    record ReadReady(long token, long index) implements Output {}

    /** It can't be answered here: this peer does not lead, or no longer. */
    record ReadRejected(long token) implements Output {}
}
