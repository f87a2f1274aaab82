package pepperdock.operator;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which workers are taken out by hand: those last read or written, and what has been asked since and is still being written.
 * Pure; on the loop's thread. What is asked holds from the moment it is asked, whatever is read of an older state meanwhile.
 */
final class Bans {

    /** So many at most: more are no ban of workers any more, and the file is read whole. */
    static final int MOST = 1000;

    private record Change(String worker, boolean out) {}

    private final Set<String> kept = new LinkedHashSet<>();
    /** What could not be written: in force here whatever is read, until a change of the same worker is written. */
    private final Map<String, Change> unwritten = new LinkedHashMap<>();

    private final Map<Long, Change> asked = new LinkedHashMap<>();
    private long changeNumber;

    /** Takes what is asked; returns its number for {@link #written}. */
    long ask(String worker, boolean out) {
        asked.put(++changeNumber, new Change(worker, out));
        return changeNumber;
    }

    /** What was asked under a number is written, and this is the state since; null where it could not be written. */
    void written(long number, Collection<String> state) {
        Change change = asked.remove(number);
        unwritten.remove(change.worker());
        if (state != null) {
            read(state);
        } else {
            unwritten.put(change.worker(), change);
        }
    }

    /** The state as another process has written it. */
    void read(Collection<String> state) {
        kept.clear();
        kept.addAll(state);
    }

    /** Changes that are asked and not written yet. */
    int waiting() {
        return asked.size();
    }

    Set<String> inForce() {
        Set<String> now = new LinkedHashSet<>(kept);
        unwritten.values().forEach(change -> apply(now, change));
        asked.values().forEach(change -> apply(now, change));
        return now;
    }

    private static void apply(Set<String> state, Change change) {
        if (change.out()) {
            state.add(change.worker());
        } else {
            state.remove(change.worker());
        }
    }
}
