package pepperdock.store.raft;

import java.util.List;

/**
 * The messages between servers (thesis, figures 3.1 and 5.3). Any of them may be delayed, duplicated, reordered or lost:
 * the protocol does not depend on the transport.
 */
public sealed interface RaftMessage {

    /** The sender's id. */
    long from();

    /** The sender's term, or with {@code pre} the one that it would have. */
    long term();

    /**
     * RequestVote (thesis, 3.4).
     *
     * @param preVote whether this is a pre-vote, which changes nobody's term (9.6)
     * @param leadershipTransfer whether the leader itself asked for the election: then nobody waits for it to fall silent (4.2.3)
     */
    record RequestVote(long from, long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements RaftMessage {}

    /** The response to {@link RequestVote}. */
    record VoteResponse(long from, long term, boolean preVote, boolean granted) implements RaftMessage {}

    /**
     * AppendEntries (thesis, 3.5): entries that follow one that the receiver is expected to have; without entries a heartbeat.
     *
     * @param round to be echoed: whoever does has followed this leader since that heartbeat round began (6.4)
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
     * @param success whether the log matches the leader's up to {@code index}; if not, it differs at {@code index}, right before the
     *     entries
     * @param hint where not ok: the last index at which the logs may still agree, and {@code hintTerm} its term here
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

    /** So many bytes of the snapshot are received; when it is complete, {@link AppendResponse} is sent in place of this. */
    record InstallResponse(long from, long term, long index, long receivedBytes, long round) implements RaftMessage {}

    /** TimeoutNow (thesis, 3.10): start an election at once, as the leader transfers its leadership. */
    record TimeoutNow(long from, long term) implements RaftMessage {}
}
