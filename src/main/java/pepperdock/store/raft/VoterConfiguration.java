package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.LongUnaryOperator;

/**
 * The members of the group as of one index of the log (thesis, chapter 4): voters, and learners, which only receive the log.
 *
 * @param peers in the order in which they were added
 */
public record VoterConfiguration(List<RaftPeer> peers) {

    /** Of no members: what there is before the first entry. */
    public static final VoterConfiguration NONE = new VoterConfiguration(List.of());

    /** Copies the list. */
    public VoterConfiguration {
        peers = List.copyOf(peers);
    }

    /** The member of that id; null where there is none. */
    public RaftPeer peer(long id) {
        return peers.stream().filter(peer -> peer.id() == id).findFirst().orElse(null);
    }

    /** Whether that id is a voter's. */
    public boolean votes(long id) {
        RaftPeer peer = peer(id);
        return peer != null && peer.votes();
    }

    /** The voters' ids, in the members' order. */
    public List<Long> voters() {
        return peers.stream().filter(RaftPeer::votes).map(RaftPeer::id).toList();
    }

    /** Whether the predicate holds for a majority of the voters; never where there are none. */
    public boolean hasMajority(LongPredicate predicate) {
        List<Long> voters = voters();
        return 2 * voters.stream().filter(predicate::test).count() > voters.size();
    }

    /** The highest value that a majority of the voters has reached; 0 where there are none. */
    long majorityIndex(LongUnaryOperator value) {
        List<Long> values = voters().stream().map(value::applyAsLong).sorted().toList();
        return values.isEmpty() ? 0 : values.get((values.size() - 1) / 2);
    }

    /** With this member added, in place of the one of its id if there is one. */
    public VoterConfiguration with(RaftPeer peer) {
        List<RaftPeer> next = new ArrayList<>(peers);
        next.removeIf(member -> member.id() == peer.id());
        next.add(peer);
        return new VoterConfiguration(next);
    }

    /** Without the member of that id. */
    public VoterConfiguration without(long id) {
        return new VoterConfiguration(
                peers.stream().filter(peer -> peer.id() != id).toList());
    }

    /** How many vote in one and not in the other. Majorities of two that are one apart overlap (thesis, 4.1). */
    int votersChanged(VoterConfiguration other) {
        Set<Long> mine = new HashSet<>(voters());
        Set<Long> theirs = new HashSet<>(other.voters());
        Set<Long> both = new HashSet<>(mine);
        both.retainAll(theirs);
        return mine.size() + theirs.size() - 2 * both.size();
    }
}
