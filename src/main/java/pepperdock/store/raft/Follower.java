package pepperdock.store.raft;

/** Follows a leader, or waits for one. Without signs of one for long enough it asks whether it would be voted for. */
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
