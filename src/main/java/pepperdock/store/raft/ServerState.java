package pepperdock.store.raft;

/**
 * The term, the vote and the known leader of one server, and whether the term and the vote still have to be written to disk
 * (thesis, figure 3.1, "persistent state on all servers"). Owned by the thread that calls {@link RaftServer}.
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

    /** Whether this server may still vote for the candidate in the current term: one vote a term (thesis, 3.4). */
    boolean mayVoteFor(long candidate) {
        return votedFor == candidate || votedFor == NO_SERVER && !leaderKnown();
    }

    /** Records a vote in the current term; a vote already given stays. */
    void voteFor(long candidate) {
        if (votedFor == NO_SERVER) {
            votedFor = candidate;
            hardStateUnwritten = true;
        }
    }

    /** Takes on a newer term, in which no vote has been given yet; an older or equal one changes nothing. */
    void advanceTo(long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = NO_SERVER;
            hardStateUnwritten = true;
        }
    }

    /** Opens the next term as a candidate, which votes for itself (thesis, 3.4). */
    void startElection(long self) {
        term++;
        votedFor = self;
        leader = NO_SERVER;
        hardStateUnwritten = true;
    }

    boolean hasUnwrittenHardState() {
        return hardStateUnwritten;
    }

    /** The term and the vote for the next write to disk; null where neither has changed since the last. */
    HardState takeUnwrittenHardState() {
        HardState unwritten = hardStateUnwritten ? new HardState(term, votedFor) : null;
        hardStateUnwritten = false;
        return unwritten;
    }
}
