package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a leader knows of one follower's log, and in which mode it sends to the follower (thesis, 3.5 and 10.2.2,
 * pipelining). Modified only by the leader and its {@link LogAppender}. Used only on the thread that calls
 * {@link RaftServer}.
 */
final class FollowerInfo {

    /** The way in which a leader sends to a follower. */
    enum Mode {
        /** The last common index is unknown: one message is sent at a time. */
        PROBE,
        /** The logs agree: messages are sent without waiting for responses. */
        REPLICATE,
        /** The follower lacks entries that are already compacted: chunks of a snapshot are sent. */
        SNAPSHOT
    }

    Mode mode = Mode.PROBE;
    /** The highest index known to be replicated to the follower, "matchIndex" in the thesis. */
    long matchIndex;

    /** The next index to send, "nextIndex" in the thesis. */
    long nextIndex;
    /** Whether a probe or a chunk is in flight. */
    boolean awaitingResponse;
    /** The last index of each message that is not answered yet. */
    final Deque<Long> inFlight = new ArrayDeque<>();
    /** Whether the follower has answered since the leader last checked its quorum. */
    boolean recentlyActive;
    /** The newest heartbeat round that the follower has answered. */
    long confirmedRound;

    /** The newest heartbeat round that was sent to the follower. */
    long roundSent;

    /** The commit index that was last sent to the follower. */
    long commitSent;

    /** The snapshot that is being sent; null in the other modes. */
    RaftSnapshot snapshot;

    /** The byte offset of the snapshot's next chunk. */
    int nextChunkOffset;

    FollowerInfo(long next) {
        this.nextIndex = next;
    }

    /** Returns to sending one message at a time, starting after the last index known to be common. */
    void startProbing() {
        mode = Mode.PROBE;
        nextIndex = matchIndex + 1;
        awaitingResponse = false;
        inFlight.clear();
        snapshot = null;
    }

    /** Starts to send a snapshot from its beginning. */
    void startSnapshot(RaftSnapshot toSend) {
        mode = Mode.SNAPSHOT;
        snapshot = toSend;
        nextChunkOffset = 0;
        awaitingResponse = false;
        inFlight.clear();
    }

    /** Records that the follower's log matches the leader's up to an index. */
    void onMatch(long index) {
        if (index > matchIndex) {
            matchIndex = index;
            awaitingResponse = false;
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && inFlight.peek() <= matchIndex) {
            inFlight.poll();
        }
        if (mode == Mode.PROBE || mode == Mode.SNAPSHOT && matchIndex >= snapshot.index()) {
            mode = Mode.REPLICATE;
            nextIndex = matchIndex + 1;
            awaitingResponse = false;
            snapshot = null;
        }
    }
}
