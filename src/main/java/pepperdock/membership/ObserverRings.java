package pepperdock.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines who observes whom: the expander-based monitoring overlay of Rapid, section 4.1. In each of several rings,
 * ordered by a hash of ring and name, a member observes the next one; in a fleet of few members, all observe all. The
 * same set of names gives the same observers at every member, and a member that joins or leaves changes its neighbours
 * only. Any part of the fleet has observers outside of it. Owned by the thread that calls {@link Membership}.
 */
final class ObserverRings {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private final List<TreeMap<Long, String>> rings = new ArrayList<>();
    private final Set<String> names = new TreeSet<>();
    /** Observers by member, cached until the next change. */
    private final Map<String, Set<String>> observers = new HashMap<>();

    /** Subjects by member, cached until the next change. */
    private final Map<String, Set<String>> subjects = new HashMap<>();

    ObserverRings(int count) {
        for (int ring = 0; ring < count; ring++) {
            rings.add(new TreeMap<>());
        }
    }

    private static long position(int ring, String name) {
        return HASH.hashCharsToLong(ring + "/" + name);
    }

    void add(String name) {
        if (names.add(name)) {
            clearCache();
            for (int ring = 0; ring < rings.size(); ring++) {
                rings.get(ring).put(position(ring, name), name);
            }
        }
    }

    void remove(String name) {
        if (names.remove(name)) {
            clearCache();
            for (int ring = 0; ring < rings.size(); ring++) {
                rings.get(ring).remove(position(ring, name));
            }
        }
    }

    private void clearCache() {
        observers.clear();
        subjects.clear();
    }

    /** Returns the names of all members in the rings, which are the members that are alive. */
    Collection<String> names() {
        return names;
    }

    /** Returns the observers of a member in a fixed order, without the member itself. */
    Set<String> observersOf(String name) {
        return observers.computeIfAbsent(name, member -> neighbours(member, false));
    }

    /** Returns the subjects of a member in a fixed order, without the member itself. */
    Set<String> subjectsOf(String name) {
        return subjects.computeIfAbsent(name, member -> neighbours(member, true));
    }

    private Set<String> neighbours(String name, boolean successors) {
        Set<String> found = new LinkedHashSet<>();
        if (names.size() <= rings.size() + 1) {
            found.addAll(names);
        } else {
            for (int ring = 0; ring < rings.size(); ring++) {
                long own = position(ring, name);
                found.add(successors ? successor(rings.get(ring), own) : predecessor(rings.get(ring), own));
            }
        }
        found.remove(name);
        return found;
    }

    private static String successor(TreeMap<Long, String> ring, long position) {
        Map.Entry<Long, String> next = ring.higherEntry(position);
        return (next != null ? next : ring.firstEntry()).getValue();
    }

    private static String predecessor(TreeMap<Long, String> ring, long position) {
        Map.Entry<Long, String> previous = ring.lowerEntry(position);
        return (previous != null ? previous : ring.lastEntry()).getValue();
    }
}
