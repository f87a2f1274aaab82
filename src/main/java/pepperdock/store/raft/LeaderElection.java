package pepperdock.store.raft;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs an election (thesis, 3.4): first a pre-vote (9.6), so that a server that is partitioned, or is the only one that
 * does not hear from the leader, does not disrupt the others with ever higher terms; then a vote in a new term.
 */
final class LeaderElection extends RaftRole {

    private final boolean preVote;
    private final boolean leadershipTransfer;
    private final Map<Long, Boolean> votes = new HashMap<>();

    /**
     * Creates an election that starts when it becomes the server's role.
     *
     * @param preVote whether this is a pre-vote
     * @param leadershipTransfer whether the leader requested this election in order to transfer its leadership (thesis,
     *     3.10)
     */
    LeaderElection(RaftServer raft, boolean preVote, boolean leadershipTransfer) {
        super(raft);
        this.preVote = preVote;
        this.leadershipTransfer = leadershipTransfer;
    }

    @Override
    RaftPeerState state() {
        return preVote ? RaftPeerState.PRE_CANDIDATE : RaftPeerState.CANDIDATE;
    }

    @Override
    void onStart() {
        if (!preVote) {
            raft.startNewTerm();
        }
        long term = raft.term() + (preVote ? 1 : 0);
        for (Long voter : raft.log.configuration().voters()) {
            if (voter != raft.id) {
                raft.sendOnceSynced(
                        voter,
                        new RaftMessage.RequestVote(
                                raft.id, term, raft.log.lastIndex(), raft.log.lastTerm(), preVote, leadershipTransfer));
            }
        }
        // The server's own vote counts once it is on disk, like every other vote.
        raft.onceSynced(() -> {
            if (raft.isCurrent(this)) {
                countVote(raft.id, true);
            }
        });
    }

    @Override
    void tick() {
        if (raft.electionTimedOut()) {
            raft.become(new LeaderElection(raft, true, false));
        }
    }

    @Override
    void onMessage(RaftMessage message) {
        if (message instanceof RaftMessage.VoteResponse response
                && response.preVote() == preVote
                && response.term() == raft.term() + (preVote && response.granted() ? 1 : 0)) {
            countVote(response.from(), response.granted());
        }
    }

    private void countVote(long from, boolean granted) {
        votes.putIfAbsent(from, granted);
        VoterConfiguration configuration = raft.log.configuration();
        if (configuration.hasMajority(voter -> votes.getOrDefault(voter, false))) {
            raft.become(preVote ? new LeaderElection(raft, false, false) : new LeaderRole(raft));
        } else if (configuration.hasMajority(voter -> !votes.getOrDefault(voter, true))) {
            raft.becomeFollower(raft.term(), ServerState.NO_SERVER);
        }
    }
}
