package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a leader knows of one peer's log, and how it sends to it. */
final class Progress {

    /** How a leader sends to a peer. */
    enum Mode {
        /** Where the logs part is not known: one message at a time. */
        PROBE,
        /** Message after message, without waiting. */
        REPLICATE,
        /** It lacks what is not kept any more: pieces of a snapshot. */
        SNAPSHOT
    }

    Mode mode = Mode.PROBE;
    /** Known to be held, and the next to be sent. */
    long match;

    long next;
    /** A probe or a piece is on its way. */
    boolean waiting;
    /** The last entries of messages that are not answered. */
    final Deque<Long> inFlight = new ArrayDeque<>();
    /** Answered since the leader last looked. */
    boolean active;
    /** The newest round that it has answered, and that was sent to it. */
    long round;

    long roundSent;
    long commitSent;
    Snapshot snapshot;
    int offset;

    Progress(long next) {
        this.next = next;
    }

    void probe() {
        mode = Mode.PROBE;
        next = match + 1;
        waiting = false;
        inFlight.clear();
        snapshot = null;
    }

    void send(Snapshot s) {
        mode = Mode.SNAPSHOT;
        snapshot = s;
        offset = 0;
        waiting = false;
        inFlight.clear();
    }

    /** It holds all up to here. */
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
