package pepperdock.store.raft;

/**
 * Follows a leader, or waits for one (thesis, 3.4). When the election timeout passes without a sign of a leader, a
 * voter starts a pre-vote and a learner continues to wait.
 */
final class FollowerRole extends RaftRole {

    FollowerRole(RaftServer raft) {
        super(raft);
    }

    @Override
    RaftPeerState state() {
        return RaftPeerState.FOLLOWER;
    }

    @Override
    void tick() {
        if (raft.electionTimedOut()) {
            raft.clearLeader();
            if (raft.log.configuration().votes(raft.id)) {
                raft.become(new LeaderElection(raft, true, false));
            } else {
                raft.resetElectionTimer();
            }
        }
    }
}
