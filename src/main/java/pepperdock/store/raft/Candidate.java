package pepperdock.store.raft;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs an election (thesis, 3.4): first a pre-vote (9.6), so that a server that is partitioned, or the only one not to hear
 * from the leader, does not disrupt the others with ever newer terms; then a vote in a term of its own.
 */
final class Candidate extends Role {

    private final boolean pre;
    private final boolean told;
    private final Map<Long, Boolean> votes = new HashMap<>();

    /**
     * Begins with the next change of role.
     *
     * @param pre whether this is a pre-vote
     * @param told whether the leader asked for this election, to transfer its leadership (thesis, 3.10)
     */
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
        // The vote for itself counts like all others: once it is on disk.
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
    void received(Message message) {
        if (message instanceof Message.VoteResponse response
                && response.pre() == pre
                && response.term() == raft.term() + (pre && response.granted() ? 1 : 0)) {
            countVote(response.from(), response.granted());
        }
    }

    private void countVote(long from, boolean granted) {
        votes.putIfAbsent(from, granted);
        Configuration configuration = raft.log.configuration();
        if (configuration.hasMajority(voter -> votes.getOrDefault(voter, false))) {
            raft.become(pre ? new Candidate(raft, false, false) : new Leader(raft));
        } else if (configuration.hasMajority(voter -> !votes.getOrDefault(voter, true))) {
            raft.becomeFollower(raft.term(), ServerState.NO_SERVER);
        }
    }
}
