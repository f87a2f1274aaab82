package pepperdock.store.raft;

import java.util.HashMap;
import java.util.Map;

/**
 * Asks for votes: first whether it would get them, so that one that is cut off, or that all others hear a leader beside,
 * disturbs nobody with ever newer terms; then in a term of its own.
 */
final class Candidate extends Role {

    private final boolean pre;
    private final boolean told;
    private final Map<Long, Boolean> votes = new HashMap<>();

    /** {@code told}: by the leader, whom it is to follow. */
    Candidate(Raft raft, boolean pre, boolean told) {
        super(raft);
        this.pre = pre;
        this.told = told;
    }

    @Override
    PeerState state() {
        return pre ? PeerState.PRE_CANDIDATE : PeerState.CANDIDATE;
    }

    @Override
    void begins() {
        if (!pre) {
            raft.startNewTerm();
        }
        long term = raft.term() + (pre ? 1 : 0);
        for (Long voter : raft.log.configuration().voters()) {
            if (voter != raft.id) {
                raft.sendOnceSynced(
                        voter,
                        new Message.RequestVote(raft.id, term, raft.log.lastIndex(), raft.log.lastTerm(), pre, told));
            }
        }
        // One's own vote counts like all others: once it is on disk.
        raft.onceSynced(() -> {
            if (raft.isCurrent(this)) {
                countVote(raft.id, true);
            }
        });
    }

    @Override
    void tick() {
        if (raft.electionTimedOut()) {
            raft.become(new Candidate(raft, true, false));
        }
    }

    @Override
    void received(Message m) {
        if (m instanceof Message.VoteResponse v
                && v.pre() == pre
                && v.term() == raft.term() + (pre && v.granted() ? 1 : 0)) {
            countVote(v.from(), v.granted());
        }
    }

    private void countVote(long from, boolean granted) {
        votes.putIfAbsent(from, granted);
        Configuration configuration = raft.log.configuration();
        if (configuration.hasMajority(p -> votes.getOrDefault(p, false))) {
            raft.become(pre ? new Candidate(raft, false, false) : new Leader(raft));
        } else if (configuration.hasMajority(p -> !votes.getOrDefault(p, true))) {
            raft.becomeFollower(raft.term(), 0);
        }
    }
}
