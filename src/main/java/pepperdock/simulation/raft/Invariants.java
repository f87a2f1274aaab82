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

/** Checks the invariants of all processes together, by what is visible from outside of them, and records violations. */
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

    void violation(String text) {
        violations.add(text);
    }

    /** Returns the index up to which entries are known to be committed. */
    long committed() {
        return committed;
    }

    /** Returns the numbers of terms with a leader, of entries committed and of reads answered. */
    long[] counts() {
        return new long[] {leaders.size(), committed, readsAnswered};
    }

    /** Registers a read that is requested now; returns its token. */
    long registerRead() {
        long token = reads.size() + 1L;
        reads.put(token, committed);
        return token;
    }

    /** Checks a snapshot that a process has installed. */
    void checkSnapshot(SimulatedRaftGroup.Node node, RaftSnapshot snapshot) {
        Applied known = applied.get(node.applied);
        if (known == null || known.state() != node.state || known.term() != snapshot.term()) {
            violations.add("the snapshot at index " + node.applied + " differs from the state that was applied there");
        }
    }

    /** Records the index up to which a process knows its log to be committed. */
    void recordCommitted(SimulatedRaftGroup.Node node) {
        if (node.raft.commitIndex() > committed) {
            for (long i = committed + 1; i <= node.raft.commitIndex(); i++) {
                committedTerm.put(i, node.raft.termAt(i));
            }
            committed = node.raft.commitIndex();
        }
    }

    /** Checks a read that is answered from the state applied up to that index. */
    void checkRead(long token, long index) {
        readsAnswered++;
        if (index < reads.get(token)) {
            violations.add("a read was answered at index " + index + ", but index " + reads.get(token)
                    + " had been committed before it was requested");
        }
    }

    void checkSent(SimulatedRaftGroup.Node node, RaftOutput.Send send) {
        if (send.message() instanceof RaftMessage.VoteResponse vote && !vote.preVote() && vote.granted()) {
            Long before = votes.putIfAbsent(List.of(node.id, vote.term()), send.to());
            if (before != null && before != send.to()) {
                violations.add(node.id + " has voted for " + before + " and " + send.to() + " in term " + vote.term());
            }
            if (node.disk.saved().hardState().term() < vote.term()) {
                violations.add(
                        node.id + " has voted in term " + vote.term() + ", but its disk does not hold that term");
            }
        }
        if (send.message() instanceof RaftMessage.AppendResponse response
                && response.success()
                && response.term() == node.raft.term()
                && node.disk.lastIndex() < response.index()) {
            violations.add(node.id + " acknowledged entries up to index " + response.index()
                    + ", but its disk holds entries up to index " + node.disk.lastIndex());
        }
    }

    void checkWritten(SimulatedRaftGroup.Node node, RaftOutput.Write write) {
        for (RaftLogEntry entry : write.entries()) {
            int hash = java.util.Arrays.hashCode(entry.data()) * 31
                    + (entry.configuration() == null ? 0 : entry.configuration().hashCode());
            long before = node.raft.termAt(entry.index() - 1);
            if (before >= 0) {
                Integer known = entries.putIfAbsent(List.of(entry.index(), entry.term(), before), hash);
                if (known != null && known != hash) {
                    violations.add("two different entries of term " + entry.term() + " at index " + entry.index());
                }
            }
            if (entry.configuration() != null
                    && entry.term() == node.raft.term()
                    && node.raft.state() == RaftPeerState.LEADER) {
                long uncommittedChanges = write.entries().stream()
                        .filter(x -> x.configuration() != null && x.index() > node.raft.commitIndex())
                        .count();
                if (uncommittedChanges > 1 || !noEarlierUncommittedChange(node, entry.index())) {
                    violations.add("two membership changes at once, the second at index " + entry.index());
                }
            }
        }
    }

    /** Returns whether no other membership change lies between the last committed entry and this one. */
    private boolean noEarlierUncommittedChange(SimulatedRaftGroup.Node node, long index) {
        return node.disk.saved().entries().stream()
                        .noneMatch(x ->
                                x.configuration() != null && x.index() > node.raft.commitIndex() && x.index() < index)
                && node.disk.pending.stream()
                        .flatMap(w -> w.entries().stream())
                        .noneMatch(x -> x.configuration() != null
                                && x.index() > node.raft.commitIndex()
                                && x.index() < index
                                && node.raft.termAt(x.index()) == x.term());
    }

    /** Checks an entry that a process has applied to its state, after all entries up to {@code before}. */
    void checkApplied(SimulatedRaftGroup.Node node, RaftLogEntry entry, long before) {
        if (entry.index() != before + 1) {
            violations.add(node.id + " applied index " + entry.index() + " after index " + before);
        }
        Applied known = applied.putIfAbsent(entry.index(), new Applied(entry.term(), node.state));
        if (known != null && (known.term() != entry.term() || known.state() != node.state)) {
            violations.add(node.id + " applied an entry of term " + entry.term() + " at index " + entry.index()
                    + ", where a different entry of term " + known.term() + " was applied before");
        }
    }

    void checkStateChange(SimulatedRaftGroup.Node node, RaftOutput.StateChange change) {
        if (change.state() != RaftPeerState.LEADER) {
            return;
        }
        Long before = leaders.putIfAbsent(change.term(), node.id);
        if (before != null && before != node.id) {
            violations.add("two leaders in term " + change.term() + ": " + before + " and " + node.id);
        }
        for (long i = 1; i <= committed; i++) {
            long term = node.raft.termAt(i);
            if (i > node.raft.lastIndex() || term >= 0 && term != committedTerm.get(i)) {
                violations.add("the leader of term " + change.term() + " lacks the committed entry at index " + i);
                return;
            }
        }
    }
}
