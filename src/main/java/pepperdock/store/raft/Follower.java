package pepperdock.store.raft;

/** Follows a leader, or waits for one. Without signs of one for long enough it asks whether it would be voted for. */
final class Follower extends Role {

    Follower(Raft raft) {
        super(raft);
    }

    @Override
    Standing standing() {
        return Standing.FOLLOWER;
    }

    @Override
    void tick() {
        if (raft.impatient()) {
            raft.forgetLeader();
            if (raft.log.members().votes(raft.id)) {
                raft.become(new Candidate(raft, true, false));
            } else {
                raft.patient();
            }
        }
    }
}
