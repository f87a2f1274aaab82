package pepperdock.store.raft;

/**
 * Grants or denies votes and pre-votes (thesis, 3.4, 3.6.1 and 9.6). An answer is sent once the vote is synced. Owned by the
 * thread that calls {@link RaftServer}.
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

    /** Whoever hears from a leader ignores requests of other candidates, but not one that the leader asked to run (4.2.3). */
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

    /** The election restriction: the candidate's log is at least as up to date as this one (thesis, 3.6.1). */
    private boolean isUpToDate(RaftMessage.RequestVote request) {
        RaftLog log = raft.log;
        return request.lastTerm() > log.lastTerm()
                || request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex();
    }
}
