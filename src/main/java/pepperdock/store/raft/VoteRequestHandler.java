package pepperdock.store.raft;

/**
 * Grants or denies votes and pre-votes (thesis, 3.4, 3.6.1 and 9.6). A response is sent only once the vote is synced.
 * Used only on the thread that calls {@link RaftServer}.
 */
final class VoteRequestHandler {

    private final RaftServer raft;
    private final ServerState state;
    private final ElectionTimer electionTimer;

    VoteRequestHandler(RaftServer raft, ServerState state, ElectionTimer electionTimer) {
        this.raft = raft;
        this.state = state;
        this.electionTimer = electionTimer;
    }

    /**
     * Returns whether a vote request is ignored: a server that hears from a leader ignores candidates, unless the
     * leader requested the election (4.2.3).
     */
    boolean ignores(RaftMessage.RequestVote request) {
        return !request.leadershipTransfer() && state.leaderKnown() && electionTimer.withinMinimum();
    }

    void onRequestVote(RaftMessage.RequestVote request) {
        boolean mayVote = state.mayVoteFor(request.from()) || request.preVote() && request.term() > state.term();
        boolean granted = mayVote && isUpToDate(request);
        if (granted && !request.preVote()) {
            electionTimer.reset();
            state.voteFor(request.from());
        }
        long term = granted && request.preVote() ? request.term() : state.term();
        raft.sendOnceSynced(request.from(), new RaftMessage.VoteResponse(raft.id, term, request.preVote(), granted));
    }

    /**
     * Checks the election restriction: the candidate's log must be at least as up to date as this one (thesis, 3.6.1).
     */
    private boolean isUpToDate(RaftMessage.RequestVote request) {
        RaftLog log = raft.log;
        return request.lastTerm() > log.lastTerm()
                || request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex();
    }
}
