package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Actions that must wait until the state that they depend on is synced (thesis, 3.8), queued by the number of the write
 * that has this state. Used only on the thread that calls {@link RaftServer}.
 */
final class SyncQueue {

    /** An action and the number of the write that it waits for. */
    private record AfterSync(long write, Runnable then) {}

    private long lastWrite;
    private long lastSynced;
    /** Actions that wait for the next write, or run at once if nothing has to be written. */
    private final List<Runnable> deferred = new ArrayList<>();

    private final Deque<AfterSync> awaitingSync = new ArrayDeque<>();

    /** Returns the number for the next write. */
    long nextWrite() {
        return ++lastWrite;
    }

    long lastSynced() {
        return lastSynced;
    }

    /** Defers an action until all of the current state is synced. */
    void defer(Runnable then) {
        deferred.add(then);
    }

    boolean hasDeferred() {
        return !deferred.isEmpty();
    }

    /**
     * Called once the write that the deferred actions wait for is handed out. The actions run once it is synced, or at
     * once if it already is.
     */
    void release() {
        List<Runnable> released = List.copyOf(deferred);
        deferred.clear();
        for (Runnable action : released) {
            if (lastWrite <= lastSynced) {
                action.run();
            } else {
                awaitingSync.add(new AfterSync(lastWrite, action));
            }
        }
    }

    /** Records that all writes up to this one are synced, and runs the actions that waited for them. */
    void synced(long write) {
        lastSynced = write;
        while (!awaitingSync.isEmpty() && awaitingSync.peek().write() <= lastSynced) {
            awaitingSync.poll().then().run();
        }
    }

    /** Discards all waiting actions because a write failed. */
    void clear() {
        awaitingSync.clear();
        deferred.clear();
    }
}
