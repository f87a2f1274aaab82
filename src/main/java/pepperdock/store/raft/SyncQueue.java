package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Actions that must wait until the state that they speak of is synced (thesis, 3.8), by the number of the write that holds it.
 * Owned by the thread that calls {@link RaftServer}.
 */
final class SyncQueue {

    /** An action, and the write that it waits for. */
    private record AfterSync(long write, Runnable then) {}

    private long lastWrite;
    private long lastSynced;
    /** Wait for the next write, or for none where nothing is to be written. */
    private final List<Runnable> deferred = new ArrayList<>();

    private final Deque<AfterSync> awaitingSync = new ArrayDeque<>();

    /** Numbers the next write. */
    long nextWrite() {
        return ++lastWrite;
    }

    long lastSynced() {
        return lastSynced;
    }

    /** Has an action run once all that holds now is synced. */
    void defer(Runnable then) {
        deferred.add(then);
    }

    boolean hasDeferred() {
        return !deferred.isEmpty();
    }

    /** The write that the deferred actions wait for is handed out: they run once it is synced, at once where it is. */
    void release() {
        List<Runnable> now = List.copyOf(deferred);
        deferred.clear();
        for (Runnable action : now) {
            if (lastWrite <= lastSynced) {
                action.run();
            } else {
                awaitingSync.add(new AfterSync(lastWrite, action));
            }
        }
    }

    /** All writes up to this one are synced. */
    void synced(long write) {
        lastSynced = write;
        while (!awaitingSync.isEmpty() && awaitingSync.peek().write() <= lastSynced) {
            awaitingSync.poll().then().run();
        }
    }

    /** A write failed: none of the waiting actions ever runs. */
    void clear() {
        awaitingSync.clear();
        deferred.clear();
    }
}
