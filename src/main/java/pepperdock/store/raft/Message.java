package pepperdock.store.raft;

import java.util.List;

/** What peers say to each other. Any of it may come late, twice, out of order, or never. */
public sealed interface Message {

    /** The sender's id. */
    long from();

    /** The sender's term, or with {@code pre} the one that it would have. */
    long term();

    /**
     * Vote for me.
     *
     * @param pre would you? Nobody's term changes by it.
     * @param told by the leader itself, whom it is to follow: then nobody waits for that leader to fall silent
     */
    record RequestVote(long from, long term, long lastIndex, long lastTerm, boolean pre, boolean told)
            implements Message {}

    /** The answer to a request for a vote. */
    record VoteResponse(long from, long term, boolean pre, boolean granted) implements Message {}

    /**
     * Entries that follow on one that the receiver is thought to have; without entries a sign of life.
     *
     * @param round to be said back: whoever does has followed this leader since that round began
     */
    record AppendEntries(
            long from, long term, long prevIndex, long prevTerm, List<LogEntry> entries, long leaderCommit, long round)
            implements Message {}

    /**
     * The answer to entries.
     *
     * @param ok the log is the sender's up to {@code index}; otherwise it isn't at {@code index}, the one before the entries
     * @param hint where not ok: the last index at which the two may still agree, and {@code hintTerm} its term here
     */
    record AppendResponse(long from, long term, boolean ok, long index, long hint, long hintTerm, long round)
            implements Message {}

    /** A piece of a snapshot, of so many bytes in all. */
    record InstallSnapshot(
            long from,
            long term,
            long index,
            long indexTerm,
            Configuration configuration,
            long total,
            long offset,
            byte[] piece,
            long round)
            implements Message {}

    /** So many bytes of the snapshot are held; when it is whole, {@link AppendResponse} is said in place of this. */
    record InstallResponse(long from, long term, long index, long held, long round) implements Message {}

    /** Ask for votes at once: the leader wants this one to follow it. */
    record TimeoutNow(long from, long term) implements Message {}
}
