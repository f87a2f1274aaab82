package pepperdock.simulation.raft;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pepperdock.store.raft.RaftLogEntry;
import pepperdock.store.raft.RaftMessage;
import pepperdock.store.raft.RaftOutput;
import pepperdock.store.raft.RaftPeerState;
import pepperdock.store.raft.RaftSnapshot;

/** What must hold of all processes together, checked by what is known from outside of them; the violations found. */
final class Invariants {

    private record Applied(long term, long state) {}

    private final List<String> violations = new ArrayList<>();
    private final Map<Long, Long> leaders = new HashMap<>();
    private final Map<List<Long>, Long> votes = new HashMap<>();
    private final Map<List<Long>, Integer> entries = new HashMap<>();
    private final TreeMap<Long, Applied> applied = new TreeMap<>();
    private final Map<Long, Long> reads = new HashMap<>();
    private final Map<Long, Long> committedTerm = new HashMap<>();
    private long committed;
    private long readsAnswered;

    List<String> violations() {
        return violations;
    }

    void violation(String what) {
        violations.add(what);
    }

    /** Index up to which entries are known to be committed. */
    long committed() {
        return committed;
    }

    /** Terms with a leader, entries committed, reads answered. */
    long[] counts() {
        return new long[] {leaders.size(), committed, readsAnswered};
    }

    /** A read is asked for now; returns its token. */
    long readAsked() {
        long token = reads.size() + 1L;
        reads.put(token, committed);
        return token;
    }

    /** A process has put a snapshot in place of what it held. */
    void restored(World.Node node, RaftSnapshot snapshot) {
        Applied known = applied.get(node.applied);
        if (known == null || known.state() != node.state || known.term() != snapshot.term()) {
            violations.add("a snapshot of " + node.applied + " that is not what was applied");
        }
    }

    /** Notes how far a process knows its log to be committed. */
    void committed(World.Node node) {
        if (node.raft.commitIndex() > committed) {
            for (long i = committed + 1; i <= node.raft.commitIndex(); i++) {
                committedTerm.put(i, node.raft.termAt(i));
            }
            committed = node.raft.commitIndex();
        }
    }

    /** A read is answered by what is applied up to that index. */
    void readAnswered(long token, long index) {
        readsAnswered++;
        if (index < reads.get(token)) {
            violations.add("a read at " + index + ", when " + reads.get(token) + " was committed before it came");
        }
    }

    void sent(World.Node node, RaftOutput.Send send) {
        if (send.message() instanceof RaftMessage.VoteResponse v && !v.preVote() && v.granted()) {
            Long before = votes.putIfAbsent(List.of(node.id, v.term()), send.to());
            if (before != null && before != send.to()) {
                violations.add(node.id + " has voted for " + before + " and " + send.to() + " in term " + v.term());
            }
            if (node.disk.saved().hardState().term() < v.term()) {
                violations.add(node.id + " has voted in term " + v.term() + ", of which its disk does not know");
            }
        }
        if (send.message() instanceof RaftMessage.AppendResponse a
                && a.success()
                && a.term() == node.raft.term()
                && node.disk.lastIndex() < a.index()) {
            violations.add(
                    node.id + " says that it holds " + a.index() + ", and its disk holds " + node.disk.lastIndex());
        }
    }

    void wrote(World.Node node, RaftOutput.Write w) {
        for (RaftLogEntry e : w.entries()) {
            int sum = java.util.Arrays.hashCode(e.data()) * 31
                    + (e.configuration() == null ? 0 : e.configuration().hashCode());
            long before = node.raft.termAt(e.index() - 1);
            if (before >= 0) {
                Integer known = entries.putIfAbsent(List.of(e.index(), e.term(), before), sum);
                if (known != null && known != sum) {
                    violations.add("two entries of term " + e.term() + " at " + e.index());
                }
            }
            if (e.configuration() != null
                    && e.term() == node.raft.term()
                    && node.raft.state() == RaftPeerState.LEADER) {
                long unsettled = w.entries().stream()
                        .filter(x -> x.configuration() != null && x.index() > node.raft.commitIndex())
                        .count();
                if (unsettled > 1 || !settledBefore(node, e.index())) {
                    violations.add("two changes of members at once, the second at " + e.index());
                }
            }
        }
    }

    /** Whether no other entry that changes members lies between what is committed and this one. */
    private boolean settledBefore(World.Node node, long index) {
        return node.disk.saved().entries().stream()
                        .noneMatch(x ->
                                x.configuration() != null && x.index() > node.raft.commitIndex() && x.index() < index)
                && node.disk.open.stream()
                        .flatMap(w -> w.entries().stream())
                        .noneMatch(x -> x.configuration() != null
                                && x.index() > node.raft.commitIndex()
                                && x.index() < index
                                && node.raft.termAt(x.index()) == x.term());
    }

    /** An entry was applied, after all up to {@code before}; the process has folded it into its state. */
    void applied(World.Node node, RaftLogEntry e, long before) {
        if (e.index() != before + 1) {
            violations.add(node.id + " applied " + e.index() + " after " + before);
        }
        Applied known = applied.putIfAbsent(e.index(), new Applied(e.term(), node.state));
        if (known != null && (known.term() != e.term() || known.state() != node.state)) {
            violations.add(node.id + " applied an entry of term " + e.term() + " at " + e.index()
                    + ", where another of term " + known.term() + " was applied");
        }
    }

    void stateChanged(World.Node node, RaftOutput.StateChange r) {
        if (r.state() != RaftPeerState.LEADER) {
            return;
        }
        Long before = leaders.putIfAbsent(r.term(), node.id);
        if (before != null && before != node.id) {
            violations.add("two leaders in term " + r.term() + ": " + before + " and " + node.id);
        }
        for (long i = 1; i <= committed; i++) {
            long term = node.raft.termAt(i);
            if (i > node.raft.lastIndex() || term >= 0 && term != committedTerm.get(i)) {
                violations.add("the leader of term " + r.term() + " has not what was committed at " + i);
                return;
            }
        }
    }
}
