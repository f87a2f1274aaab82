package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** What may be said or done only once the state that it speaks of is synced, by the number of the write that holds it. */
final class SyncQueue {

    private record AfterSync(long write, Runnable then) {}

    private long lastWrite;
    private long lastSynced;
    /** Speaks of the write to come, or of none where nothing is to be written. */
    private final List<Runnable> deferred = new ArrayList<>();

    private final Deque<AfterSync> awaitingSync = new ArrayDeque<>();

    /** The number of a further write. */
    long nextWrite() {
        return ++lastWrite;
    }

    long lastSynced() {
        return lastSynced;
    }

    void defer(Runnable then) {
        deferred.add(then);
    }

    boolean hasDeferred() {
        return !deferred.isEmpty();
    }

    /** The write that the deferred ones speak of is handed out: they run once it is synced, at once where it is. */
    void release() {
        List<Runnable> now = List.copyOf(deferred);
        deferred.clear();
        for (Runnable r : now) {
            if (lastWrite <= lastSynced) {
                r.run();
            } else {
                awaitingSync.add(new AfterSync(lastWrite, r));
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

    /** A write failed: nothing of what waits is ever said. */
    void clear() {
        awaitingSync.clear();
        deferred.clear();
    }
}
