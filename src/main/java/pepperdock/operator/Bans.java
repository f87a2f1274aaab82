package pepperdock.operator;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers that operators have banned: the state last read or written, and the changes that are still being written.
 * A change is in force as soon as it is requested, even if an older state is read before it is written. Does no I/O;
 * used on the loop's thread.
 */
final class Bans {

    /** Maximum number of bans: the file is read whole, and bans are not meant to remove most workers of a fleet. */
    static final int MAX_BANS = 1000;

    /** A request to ban a worker or to lift its ban. */
    record Change(String worker, boolean banned) {}

    /** The banned workers as last read or written. */
    private final Set<String> saved = new LinkedHashSet<>();
    /**
     * Changes that could not be written yet, by worker. Each overrides the saved state in this process until it is
     * written or the next change of the same worker ends.
     */
    private final Map<String, Change> unwritten = new LinkedHashMap<>();

    /** Changes that are being written, by change number. */
    private final Map<Long, Change> pending = new LinkedHashMap<>();

    private long changeNumber;

    /** Adds a requested change; returns its number for {@link #onWritten}. */
    long request(String worker, boolean banned) {
        pending.put(++changeNumber, new Change(worker, banned));
        return changeNumber;
    }

    /**
     * Ends a requested change. {@code state} is the content of the file after it, or null if it could not be written.
     */
    void onWritten(long number, Collection<String> state) {
        Change change = pending.remove(number);
        unwritten.remove(change.worker());
        if (state != null) {
            onRead(state);
        } else {
            unwritten.put(change.worker(), change);
        }
    }

    /** Returns the changes that could not be written and are to be written again. */
    List<Change> unwritten() {
        return List.copyOf(unwritten.values());
    }

    /**
     * Ends a change that was written after all. {@code state} is the content of the file after it. A later change of
     * the same worker stays in force.
     */
    void onRewritten(Change change, Collection<String> state) {
        unwritten.remove(change.worker(), change);
        onRead(state);
    }

    /** Adopts the state of the file, which another process may have changed. */
    void onRead(Collection<String> state) {
        saved.clear();
        saved.addAll(state);
    }

    /** Returns how many changes are still being written. */
    int pendingCount() {
        return pending.size();
    }

    /** Returns the workers that are banned now. */
    Set<String> inForce() {
        Set<String> now = new LinkedHashSet<>(saved);
        unwritten.values().forEach(change -> apply(now, change));
        pending.values().forEach(change -> apply(now, change));
        return now;
    }

    private static void apply(Set<String> state, Change change) {
        if (change.banned()) {
            state.add(change.worker());
        } else {
            state.remove(change.worker());
        }
    }
}
