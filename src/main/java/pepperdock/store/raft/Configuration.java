package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.LongUnaryOperator;

/** Who takes part as of one place in the log. Held as a list, in the order in which they came. */
public record Configuration(List<Peer> peers) {

    public static final Configuration NONE = new Configuration(List.of());

    public Configuration {
        peers = List.copyOf(peers);
    }

    public Peer peer(long id) {
        return peers.stream().filter(p -> p.id() == id).findFirst().orElse(null);
    }

    public boolean votes(long id) {
        Peer p = peer(id);
        return p != null && p.votes();
    }

    public List<Long> voters() {
        return peers.stream().filter(Peer::votes).map(Peer::id).toList();
    }

    /** Whether a majority of those who vote say so; never of nobody. */
    public boolean hasMajority(LongPredicate says) {
        List<Long> voters = voters();
        return 2 * voters.stream().filter(says::test).count() > voters.size();
    }

    /** The highest value that a majority of those who vote have reached. */
    long majorityIndex(LongUnaryOperator value) {
        List<Long> values = voters().stream().map(value::applyAsLong).sorted().toList();
        return values.isEmpty() ? 0 : values.get((values.size() - 1) / 2);
    }

    /** With this one in place of the one of its id, or added. */
    public Configuration with(Peer peer) {
        List<Peer> next = new ArrayList<>(peers);
        next.removeIf(p -> p.id() == peer.id());
        next.add(peer);
        return new Configuration(next);
    }

    public Configuration without(long id) {
        return new Configuration(peers.stream().filter(p -> p.id() != id).toList());
    }

    /** How many vote in one and not in the other. Majorities of two that are one apart have a member in common. */
    int votersChanged(Configuration other) {
        Set<Long> mine = new HashSet<>(voters());
        Set<Long> theirs = new HashSet<>(other.voters());
        Set<Long> both = new HashSet<>(mine);
        both.retainAll(theirs);
        return mine.size() + theirs.size() - 2 * both.size();
    }
}
