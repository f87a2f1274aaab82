package pepperdock.store.raft;

/**
 * The term, the vote and the known leader of one server, and whether the term and the vote still have to be written to
 * disk (thesis, figure 3.1, "persistent state on all servers"). Used only on the thread that calls {@link RaftServer}.
 */
final class ServerState {

    /** The id that stands for no server. */
    static final long NO_SERVER = 0;

    private long term;
    private long votedFor;
    private long leader = NO_SERVER;
    private boolean hardStateUnwritten;

    ServerState(HardState saved) {
        term = saved.term();
        votedFor = saved.votedFor();
    }

    long term() {
        return term;
    }

    long leader() {
        return leader;
    }

    void setLeader(long id) {
        leader = id;
    }

    boolean leaderKnown() {
        return leader != NO_SERVER;
    }

    /**
     * Returns whether this server may vote for the candidate in the current term; it has one vote per term (thesis,
     * 3.4).
     */
    boolean mayVoteFor(long candidate) {
        return votedFor == candidate || votedFor == NO_SERVER && !leaderKnown();
    }

    /** Records a vote in the current term; a vote already granted is kept. */
    void voteFor(long candidate) {
        if (votedFor == NO_SERVER) {
            votedFor = candidate;
            hardStateUnwritten = true;
        }
    }

    /** Advances to a newer term, in which this server has not voted yet; does nothing if the term is older or equal. */
    void advanceTo(long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = NO_SERVER;
            hardStateUnwritten = true;
        }
    }

    /** Starts the next term as a candidate that votes for itself (thesis, 3.4). */
    void startElection(long self) {
        term++;
        votedFor = self;
        leader = NO_SERVER;
        hardStateUnwritten = true;
    }

    boolean hasUnwrittenHardState() {
        return hardStateUnwritten;
    }

    /** Returns the term and the vote to be written to disk; null if neither has changed since the last call. */
    HardState takeUnwrittenHardState() {
        HardState unwritten = hardStateUnwritten ? new HardState(term, votedFor) : null;
        hardStateUnwritten = false;
        return unwritten;
    }
}
