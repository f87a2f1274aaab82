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
    Standing standing() {
        return pre ? Standing.ASKING : Standing.CANDIDATE;
    }

    @Override
    void begins() {
        if (!pre) {
            raft.candidacy();
        }
        long term = raft.term() + (pre ? 1 : 0);
        for (Long voter : raft.log.members().voters()) {
            if (voter != raft.id) {
                raft.say(voter, new Message.AskVote(raft.id, term, raft.log.last(), raft.log.lastTerm(), pre, told));
            }
        }
        // One's own vote counts like all others: once it is on disk.
        raft.onceSynced(() -> {
            if (raft.isNow(this)) {
                counted(raft.id, true);
            }
        });
    }

    @Override
    void tick() {
        if (raft.impatient()) {
            raft.become(new Candidate(raft, true, false));
        }
    }

    @Override
    void received(Message m) {
        if (m instanceof Message.Vote v && v.pre() == pre && v.term() == raft.term() + (pre && v.granted() ? 1 : 0)) {
            counted(v.from(), v.granted());
        }
    }

    private void counted(long from, boolean granted) {
        votes.putIfAbsent(from, granted);
        Members members = raft.log.members();
        if (members.most(p -> votes.getOrDefault(p, false))) {
            raft.become(pre ? new Candidate(raft, false, false) : new Leader(raft));
        } else if (members.most(p -> !votes.getOrDefault(p, true))) {
            raft.follow(raft.term(), 0);
        }
    }
}
