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
final class Rings {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private final List<TreeMap<Long, String>> rings = new ArrayList<>();
    private final Set<String> names = new TreeSet<>();
    /** Worked out already, until the next change. */
    private final Map<String, Set<String>> observers = new HashMap<>();

    private final Map<String, Set<String>> subjects = new HashMap<>();

    Rings(int count) {
        for (int i = 0; i < count; i++) {
            rings.add(new TreeMap<>());
        }
    }

    private static long place(int ring, String name) {
        return HASH.hashCharsToLong(ring + "/" + name);
    }

    void add(String name) {
        if (names.add(name)) {
            changed();
            for (int i = 0; i < rings.size(); i++) {
                rings.get(i).put(place(i, name), name);
            }
        }
    }

    void remove(String name) {
        if (names.remove(name)) {
            changed();
            for (int i = 0; i < rings.size(); i++) {
                rings.get(i).remove(place(i, name));
            }
        }
    }

    private void changed() {
        observers.clear();
        subjects.clear();
    }

    Collection<String> names() {
        return names;
    }

    /** In a fixed order; without the member itself. */
    Set<String> observersOf(String name) {
        return observers.computeIfAbsent(name, n -> neighbours(n, false));
    }

    Set<String> subjectsOf(String name) {
        return subjects.computeIfAbsent(name, n -> neighbours(n, true));
    }

    private Set<String> neighbours(String name, boolean next) {
        Set<String> found = new LinkedHashSet<>();
        if (names.size() <= rings.size() + 1) {
            found.addAll(names);
        } else {
            for (int i = 0; i < rings.size(); i++) {
                TreeMap<Long, String> ring = rings.get(i);
                long here = place(i, name);
                Map.Entry<Long, String> e = next ? ring.higherEntry(here) : ring.lowerEntry(here);
                found.add((e != null ? e : next ? ring.firstEntry() : ring.lastEntry()).getValue());
            }
        }
        found.remove(name);
        return found;
    }
}
