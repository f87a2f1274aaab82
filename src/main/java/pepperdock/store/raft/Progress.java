package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a leader knows of one follower's log, and how it sends to it (thesis, 3.5 and 10.2.2, pipelining). Owned by the thread
 * that calls {@link Raft}; changed by the leader and its {@link LogAppender} alone.
 */
final class Progress {

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
    long match;

    /** The next index to be sent, "nextIndex" of the thesis. */
    long next;
    /** A probe or a chunk is in flight. */
    boolean waiting;
    /** The last indexes of messages that are not answered. */
    final Deque<Long> inFlight = new ArrayDeque<>();
    /** Has answered since the leader last checked its quorum. */
    boolean active;
    /** The newest heartbeat round that it has answered. */
    long round;

    /** The newest heartbeat round that was sent to it. */
    long roundSent;

    /** The commit index that was last sent to it. */
    long commitSent;

    /** The snapshot that is being sent; null in other modes. */
    Snapshot snapshot;

    /** Where the next chunk of the snapshot begins. */
    int offset;

    Progress(long next) {
        this.next = next;
    }

    /** Goes back to one message at a time, from the last index that is known to be common. */
    void probe() {
        mode = Mode.PROBE;
        next = match + 1;
        waiting = false;
        inFlight.clear();
        snapshot = null;
    }

    /** Goes over to sending a snapshot, from its beginning. */
    void send(Snapshot toSend) {
        mode = Mode.SNAPSHOT;
        snapshot = toSend;
        offset = 0;
        waiting = false;
        inFlight.clear();
    }

    /** Its log is the leader's up to here. */
    void holds(long index) {
        if (index > match) {
            match = index;
            waiting = false;
        }
        next = Math.max(next, match + 1);
        while (!inFlight.isEmpty() && inFlight.peek() <= match) {
            inFlight.poll();
        }
        if (mode == Mode.PROBE || mode == Mode.SNAPSHOT && match >= snapshot.index()) {
            mode = Mode.REPLICATE;
            next = match + 1;
            waiting = false;
            snapshot = null;
        }
    }
}
