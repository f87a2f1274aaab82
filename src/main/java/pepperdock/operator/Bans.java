package pepperdock.operator;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The workers that operators have banned: the state last read or written, and the changes that are still being written. A change
 * is in force from the moment it is requested, whatever is read of an older state meanwhile. No I/O; on the loop's thread.
 */
final class Bans {

    /** Bans at most: the file is read whole, and a fleet without most of its workers is not what a ban is for. */
    static final int MAX_BANS = 1000;

    /** A worker banned, or let back. */
    private record Change(String worker, boolean banned) {}

    /** As last read or written. */
    private final Set<String> saved = new LinkedHashSet<>();
    /** Changes that could not be written: in force here whatever is read, until one of the same worker is written. */
    private final Map<String, Change> unwritten = new LinkedHashMap<>();

    /** Changes that are being written, by number. */
    private final Map<Long, Change> pending = new LinkedHashMap<>();

    private long changeNumber;

    /** Takes a requested change; returns its number for {@link #written}. */
    long request(String worker, boolean banned) {
        pending.put(++changeNumber, new Change(worker, banned));
        return changeNumber;
    }

    /** A change is written, and this is the state since; null where it could not be written. */
    void written(long number, Collection<String> state) {
        Change change = pending.remove(number);
        unwritten.remove(change.worker());
        if (state != null) {
            read(state);
        } else {
            unwritten.put(change.worker(), change);
        }
    }

    /** Takes on the state of the file, which another process may have changed. */
    void read(Collection<String> state) {
        saved.clear();
        saved.addAll(state);
    }

    /** How many changes are still being written. */
    int pendingCount() {
        return pending.size();
    }

    /** The workers that are banned now. */
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
