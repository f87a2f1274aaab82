package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.LongUnaryOperator;

/** Who takes part as of one place in the log. Held as a list, in the order in which they came. */
public record Members(List<Peer> all) {

    public static final Members NONE = new Members(List.of());

    public Members {
        all = List.copyOf(all);
    }

    public Peer of(long id) {
        return all.stream().filter(p -> p.id() == id).findFirst().orElse(null);
    }

    public boolean votes(long id) {
        Peer p = of(id);
        return p != null && p.votes();
    }

    public List<Long> voters() {
        return all.stream().filter(Peer::votes).map(Peer::id).toList();
    }

    /** Whether a majority of those who vote say so; never of nobody. */
    public boolean most(LongPredicate says) {
        List<Long> voters = voters();
        return 2 * voters.stream().filter(says::test).count() > voters.size();
    }

    /** The highest value that a majority of those who vote have reached. */
    long reached(LongUnaryOperator value) {
        List<Long> values = voters().stream().map(value::applyAsLong).sorted().toList();
        return values.isEmpty() ? 0 : values.get((values.size() - 1) / 2);
    }

    /** With this one in place of the one of its id, or added. */
    public Members with(Peer peer) {
        List<Peer> next = new ArrayList<>(all);
        next.removeIf(p -> p.id() == peer.id());
        next.add(peer);
        return new Members(next);
    }

    public Members without(long id) {
        return new Members(all.stream().filter(p -> p.id() != id).toList());
    }

    /** How many vote in one and not in the other. Majorities of two that are one apart have a member in common. */
    int apart(Members other) {
        Set<Long> mine = new HashSet<>(voters());
        Set<Long> theirs = new HashSet<>(other.voters());
        Set<Long> both = new HashSet<>(mine);
        both.retainAll(theirs);
        return mine.size() + theirs.size() - 2 * both.size();
    }
}
