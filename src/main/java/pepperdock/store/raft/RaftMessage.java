package pepperdock.store.raft;

import java.util.List;

/**
 * The messages between servers (thesis, figures 3.1 and 5.3). Any of them may be delayed, duplicated, reordered or
 * lost; the protocol does not rely on the transport.
 */
public sealed interface RaftMessage {

    /** Returns the sender's id. */
    long from();

    /**
     * Returns the sender's term; for a pre-vote request or a granted pre-vote, the term that the election would have.
     */
    long term();

    /**
     * RequestVote (thesis, 3.4).
     *
     * @param preVote whether this is a pre-vote, which changes no server's term (9.6)
     * @param leadershipTransfer whether the leader itself requested the election: then voters do not wait until they
     *     have not heard from the leader for an election timeout (4.2.3)
     */
    record RequestVote(long from, long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements RaftMessage {}

    /** The response to {@link RequestVote}. */
    record VoteResponse(long from, long term, boolean preVote, boolean granted) implements RaftMessage {}

    /**
     * AppendEntries (thesis, 3.5): entries that follow one that the receiver is expected to have. Without entries it is
     * a heartbeat.
     *
     * @param round returned in the response: a follower that returns it has followed this leader since that heartbeat
     *     round began (6.4)
     */
    record AppendEntries(
            long from,
            long term,
            long prevIndex,
            long prevTerm,
            List<RaftLogEntry> entries,
            long leaderCommit,
            long round)
            implements RaftMessage {}

    /**
     * The response to {@link AppendEntries}.
     *
     * @param success whether the log matches the leader's up to {@code index}; if not, it differs at {@code index},
     *     directly before the entries
     * @param hint if {@code success} is false, the last index at which the logs may still agree
     * @param hintTerm the term of the entry at {@code hint} in the follower's log
     */
    record AppendResponse(long from, long term, boolean success, long index, long hint, long hintTerm, long round)
            implements RaftMessage {}

    /** InstallSnapshot (thesis, 5.1 and figure 5.3): a chunk of a snapshot of {@code total} bytes. */
    record InstallSnapshot(
            long from,
            long term,
            long index,
            long indexTerm,
            VoterConfiguration configuration,
            long total,
            long offset,
            byte[] chunk,
            long round)
            implements RaftMessage {}

    /**
     * The response to {@link InstallSnapshot} with the number of bytes received so far. When the snapshot is complete,
     * an {@link AppendResponse} is sent instead.
     */
    record InstallResponse(long from, long term, long index, long receivedBytes, long round) implements RaftMessage {}

    /**
     * TimeoutNow (thesis, 3.10): tells the receiver to start an election at once, as the leader transfers its
     * leadership.
     */
    record TimeoutNow(long from, long term) implements RaftMessage {}
}
