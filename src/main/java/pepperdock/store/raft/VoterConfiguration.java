package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.LongUnaryOperator;

/**
 * The members of the group as of one index of the log (thesis, chapter 4): voters, and learners, which only receive the
 * log.
 *
 * @param peers the members in the order in which they were added
 */
public record VoterConfiguration(List<RaftPeer> peers) {

    /** The configuration without members, in force before the first entry. */
    public static final VoterConfiguration NONE = new VoterConfiguration(List.of());

    /** Creates a configuration with a copy of the list. */
    public VoterConfiguration {
        peers = List.copyOf(peers);
    }

    /** Returns the member with an id; null if there is none. */
    public RaftPeer peer(long id) {
        return peers.stream().filter(peer -> peer.id() == id).findFirst().orElse(null);
    }

    /** Returns whether the id belongs to a voter. */
    public boolean votes(long id) {
        RaftPeer peer = peer(id);
        return peer != null && peer.votes();
    }

    /** Returns the voters' ids, in the order of the members. */
    public List<Long> voters() {
        return peers.stream().filter(RaftPeer::votes).map(RaftPeer::id).toList();
    }

    /** Returns whether the predicate holds for a majority of the voters; false if there are no voters. */
    public boolean hasMajority(LongPredicate predicate) {
        List<Long> voters = voters();
        return 2 * voters.stream().filter(predicate::test).count() > voters.size();
    }

    /** Returns the highest value that a majority of the voters has reached; 0 if there are no voters. */
    long majorityIndex(LongUnaryOperator value) {
        List<Long> values = voters().stream().map(value::applyAsLong).sorted().toList();
        return values.isEmpty() ? 0 : values.get((values.size() - 1) / 2);
    }

    /** Returns a configuration with this member added; it replaces a member with the same id. */
    public VoterConfiguration with(RaftPeer peer) {
        List<RaftPeer> next = new ArrayList<>(peers);
        next.removeIf(member -> member.id() == peer.id());
        next.add(peer);
        return new VoterConfiguration(next);
    }

    /** Returns a configuration without the member with that id. */
    public VoterConfiguration without(long id) {
        return new VoterConfiguration(
                peers.stream().filter(peer -> peer.id() != id).toList());
    }

    /**
     * Returns the number of members that are voters in exactly one of the two configurations. Majorities of
     * configurations that differ by one voter overlap (thesis, 4.1).
     */
    int votersChanged(VoterConfiguration other) {
        Set<Long> mine = new HashSet<>(voters());
        Set<Long> theirs = new HashSet<>(other.voters());
        Set<Long> both = new HashSet<>(mine);
        both.retainAll(theirs);
        return mine.size() + theirs.size() - 2 * both.size();
    }
}
