package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * The linearizable reads that a leader has not answered yet (thesis, 6.4). A read first waits until the first entry of
 * the leader's term is committed, as the commit index is not known earlier, and then until a majority has answered a
 * heartbeat round that began after the read was requested. Used only on the thread that calls {@link RaftServer}.
 */
final class PendingReads {

    /** A read at a commit index, which a heartbeat round has to confirm. */
    private record PendingRead(long token, long readIndex, long round) {}

    private final RaftServer raft;
    private final Deque<PendingRead> confirming = new ArrayDeque<>();
    private final Deque<Long> beforeFirstCommit = new ArrayDeque<>();

    PendingReads(RaftServer raft) {
        this.raft = raft;
    }

    void addBeforeFirstCommit(long token) {
        beforeFirstCommit.add(token);
    }

    /** Removes and returns the reads that waited for the first commit, in the order of their requests. */
    List<Long> takeBeforeFirstCommit() {
        List<Long> tokens = List.copyOf(beforeFirstCommit);
        beforeFirstCommit.clear();
        return tokens;
    }

    /** Adds a read at the current commit index, which the given round has to confirm. */
    void add(long token, long round) {
        confirming.add(new PendingRead(token, raft.log.commitIndex(), round));
    }

    /** Answers the reads whose round a majority has confirmed: no other server was leader when they were requested. */
    void answerConfirmed(LongPredicate roundConfirmed) {
        while (!confirming.isEmpty() && roundConfirmed.test(confirming.peek().round())) {
            PendingRead read = confirming.poll();
            raft.output(new RaftOutput.ReadReady(read.token(), read.readIndex()));
        }
    }

    /** Rejects all reads because the leader has stepped down. */
    void rejectAll() {
        confirming.forEach(read -> raft.output(new RaftOutput.ReadRejected(read.token())));
        beforeFirstCommit.forEach(token -> raft.output(new RaftOutput.ReadRejected(token)));
        confirming.clear();
        beforeFirstCommit.clear();
    }
}
