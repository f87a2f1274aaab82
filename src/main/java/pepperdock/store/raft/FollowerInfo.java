package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a leader knows of one follower's log, and how it sends to it (thesis, 3.5 and 10.2.2, pipelining). Owned by the thread
 * that calls {@link RaftServer}; changed by the leader and its {@link LogAppender} alone.
 */
final class FollowerInfo {

    /** How a leader sends to a follower. */
    enum Mode {
        /** The last common index is not known: one message at a time. */
        PROBE,
        /** The logs agree: message after message, without waiting for answers. */
        REPLICATE,
        /** It lacks entries that are compacted: chunks of a snapshot. */
        SNAPSHOT
    }

    Mode mode = Mode.PROBE;
    /** The highest index known to be replicated, "matchIndex" of the thesis. */
    long matchIndex;

    /** The next index to be sent, "nextIndex" of the thesis. */
    long nextIndex;
    /** A probe or a chunk is in flight. */
    boolean waiting;
    /** The last indexes of messages that are not answered. */
    final Deque<Long> inFlight = new ArrayDeque<>();
    /** Has answered since the leader last checked its quorum. */
    boolean recentlyActive;
    /** The newest heartbeat round that it has answered. */
    long confirmedRound;

    /** The newest heartbeat round that was sent to it. */
    long roundSent;

    /** The commit index that was last sent to it. */
    long commitSent;

    /** The snapshot that is being sent; null in other modes. */
    RaftSnapshot snapshot;

    /** Where the next chunk of the snapshot begins. */
    int offset;

    FollowerInfo(long next) {
        this.nextIndex = next;
    }

    /** Goes back to one message at a time, from the last index that is known to be common. */
    void startProbing() {
        mode = Mode.PROBE;
        nextIndex = matchIndex + 1;
        waiting = false;
        inFlight.clear();
        snapshot = null;
    }

    /** Goes over to sending a snapshot, from its beginning. */
    void startSnapshot(RaftSnapshot toSend) {
        mode = Mode.SNAPSHOT;
        snapshot = toSend;
        offset = 0;
        waiting = false;
        inFlight.clear();
    }

    /** Its log is the leader's up to here. */
    void onMatch(long index) {
        if (index > matchIndex) {
            matchIndex = index;
            waiting = false;
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && inFlight.peek() <= matchIndex) {
            inFlight.poll();
        }
        if (mode == Mode.PROBE || mode == Mode.SNAPSHOT && matchIndex >= snapshot.index()) {
            mode = Mode.REPLICATE;
            nextIndex = matchIndex + 1;
            waiting = false;
            snapshot = null;
        }
    }
}
