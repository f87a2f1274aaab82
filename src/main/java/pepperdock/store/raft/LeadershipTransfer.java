package pepperdock.store.raft;

/**
 * The leadership transfer in progress, if any (thesis, 3.10): the leader accepts no new entries, brings the target up
 * to date and tells it to start an election at once. The transfer is abandoned after an election timeout. Used only on
 * the thread that calls {@link RaftServer}.
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

    /** Returns the id of the server that is to become leader; 0 for none. */
    long target() {
        return target;
    }

    void tick(int timeoutTicks) {
        if (inProgress() && ++ticks >= timeoutTicks) {
            target = ServerState.NO_SERVER;
        }
    }

    /** Returns whether the target still has to be told to start its election. */
    boolean requestDue() {
        return inProgress() && !requested;
    }

    void requestSent() {
        requested = true;
    }
}
