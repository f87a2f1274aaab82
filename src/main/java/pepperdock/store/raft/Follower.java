package pepperdock.store.raft;

/**
 * Follows a leader, or waits for one (thesis, 3.4). When the election timeout passes without a sign of a leader, a voter
 * begins a pre-vote; a learner goes on waiting.
 */
final class Follower extends Role {

    Follower(Raft raft) {
        super(raft);
    }

    @Override
    PeerState state() {
        return PeerState.FOLLOWER;
    }

    @Override
    void tick() {
        if (raft.electionTimedOut()) {
            raft.clearLeader();
            if (raft.log.configuration().votes(raft.id)) {
                raft.become(new Candidate(raft, true, false));
            } else {
                raft.resetElectionTimer();
            }
        }
    }
}
