package pepperdock.store.raft;

/**
 * A leadership transfer that is under way, if any (thesis, 3.10): the leader takes no new entries, brings the target up to date
 * and tells it to start an election at once. It is abandoned after an election timeout. Owned by the thread that calls
 * {@link RaftServer}.
 */
final class LeadershipTransfer {

    private long target = ServerState.NO_SERVER;
    private int ticks;
    private boolean requested;

    void start(long to) {
        target = to;
        ticks = 0;
        requested = false;
    }

    boolean inProgress() {
        return target != ServerState.NO_SERVER;
    }

    /** The server that is to lead; 0 for none. */
    long target() {
        return target;
    }

    void tick(int timeoutTicks) {
        if (inProgress() && ++ticks >= timeoutTicks) {
            target = ServerState.NO_SERVER;
        }
    }

    /** Whether the target is still to be told to start its election. */
    boolean requestDue() {
        return inProgress() && !requested;
    }

    void requestSent() {
        requested = true;
    }
}
