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
 * Who observes whom: in each of several rings, ordered by a hash of ring and name, a member observes the next. With few
 * members everyone observes all. The same set of names gives the same observers wherever it is held; one that joins or goes
 * changes its neighbours only. The graph is an expander, as in Rapid: any part of the fleet has observers outside of it.
 */
final class ObserverRings {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private final List<TreeMap<Long, String>> rings = new ArrayList<>();
    private final Set<String> names = new TreeSet<>();
    /** Worked out already, until the next change. */
    private final Map<String, Set<String>> observers = new HashMap<>();

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

    Collection<String> names() {
        return names;
    }

    /** In a fixed order; without the member itself. */
    Set<String> observersOf(String name) {
        return observers.computeIfAbsent(name, member -> neighbours(member, false));
    }

    Set<String> subjectsOf(String name) {
        return subjects.computeIfAbsent(name, member -> neighbours(member, true));
    }

    private Set<String> neighbours(String name, boolean successors) {
        Set<String> found = new LinkedHashSet<>();
        if (names.size() <= rings.size() + 1) {
            found.addAll(names);
        } else {
            for (int ring = 0; ring < rings.size(); ring++) {
                TreeMap<Long, String> positions = rings.get(ring);
                long ownPosition = position(ring, name);
                Map.Entry<Long, String> neighbour =
                        successors ? positions.higherEntry(ownPosition) : positions.lowerEntry(ownPosition);
                found.add((neighbour != null ? neighbour : successors ? positions.firstEntry() : positions.lastEntry())
                        .getValue());
            }
        }
        found.remove(name);
        return found;
    }
}
