package pepperdock.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What is held of all members: for each name its newest card and what it last said as an observer. Merging is idempotent and
 * takes items in any order, so members that have heard the same hold the same. Bounded; gone and left members are forgotten
 * after a while, and what is told of such a one that is not known is not taken in again.
 */
final class Table {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** A member as held here. */
    static final class Entry {
        private Card card;
        private Links links;
        /** When it came to its status here. */
        private double since;

        private long sum;
        /** Its part of the state: its sum while it is here, else none. */
        private long counted;

        /** How often it came back from gone, in this life. */
        private int relapses;

        Card card() {
            return card;
        }

        Links links() {
            return links;
        }

        double since() {
            return since;
        }

        int relapses() {
            return relapses;
        }

        boolean here() {
            return card.status() == Status.HERE;
        }
    }

    /** What merging an item did. */
    enum Merged {
        /** Known already, or older than what is known. */
        NOTHING,
        /** Something of a known member changed. */
        CHANGED,
        /** Unknown until now. */
        ADDED,
        /** Another life of a known name has taken its place. */
        REPLACED
    }

    private final int most;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<String, Map<String, Word>> said = new HashMap<>();
    private final Rings rings;
    private final Set<String> gone = new TreeSet<>();
    /** Observers that say anything. */
    private final Set<String> speaking = new TreeSet<>();

    /** Of all, here or not, by slice of the names: the sums of those in it. */
    private final long[] slices = new long[Message.SLICE_COUNT];

    private long state;
    private long version;
    private long refused;

    Table(int most, int observers) {
        this.most = most;
        rings = new Rings(observers);
    }

    Entry get(String name) {
        return entries.get(name);
    }

    Collection<Entry> all() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** Those here, and who observes whom among them. */
    Rings rings() {
        return rings;
    }

    /** Those called gone and not forgotten yet. */
    Collection<String> gone() {
        return gone;
    }

    /** Equal for two members that hold the same of those here. */
    long state() {
        return state;
    }

    /** Grows with each change of anything here. */
    long version() {
        return version;
    }

    /** Members not taken in for want of room. */
    long refused() {
        return refused;
    }

    /** What was said of a subject's present life, by observer, whoever that is. */
    Map<String, Word> saidOf(String subject) {
        return said.getOrDefault(subject, Map.of());
    }

    /** Subjects of which anything is said. */
    Collection<String> spokenOf() {
        return said.keySet();
    }

    Merged merge(Card c, double now) {
        Entry e = entries.get(c.name());
        if (e == null) {
            if (c.status() != Status.HERE) {
                return Merged.NOTHING;
            }
            if (entries.size() >= most) {
                refused++;
                return Merged.NOTHING;
            }
            e = new Entry();
            entries.put(c.name(), e);
            e.card = c;
            e.links = Links.none(c);
            e.since = now;
            // Observers may have been heard of before their subject.
            resay(c.name());
            changed(e);
            return Merged.ADDED;
        }
        return c.beats(e.card) ? put(e, c, now) : Merged.NOTHING;
    }

    /** Puts a card in place of one that was told to nobody yet, whichever would go before the other. */
    void yield(Card to, double now) {
        put(entries.get(to.name()), to, now);
    }

    private Merged put(Entry e, Card c, double now) {
        boolean replaced = c.life() != e.card.life();
        if (replaced) {
            unsay(e.links);
            e.links = Links.none(c);
            e.relapses = 0;
        } else if (e.card.status() == Status.GONE && c.status() == Status.HERE) {
            e.relapses++;
        }
        if (replaced || c.status() != e.card.status()) {
            e.since = now;
        }
        e.card = c;
        if (replaced) {
            // What observers said of the life before is no longer said of this one.
            resay(c.name());
        }
        changed(e);
        return replaced ? Merged.REPLACED : Merged.CHANGED;
    }

    Merged merge(Links l) {
        Entry e = entries.get(l.name());
        if (e == null || !l.beats(e.links)) {
            return Merged.NOTHING;
        }
        unsay(e.links);
        e.links = l;
        if (!l.said().isEmpty()) {
            speaking.add(l.name());
        }
        l.said().forEach((subject, s) -> say(l.name(), subject, s));
        changed(e);
        return Merged.CHANGED;
    }

    private void say(String observer, String subject, Links.Said s) {
        Entry of = entries.get(subject);
        if (of != null && of.card.life() == s.life()) {
            said.computeIfAbsent(subject, x -> new TreeMap<>()).put(observer, s.word());
        }
    }

    private void unsay(Links l) {
        speaking.remove(l.name());
        for (String subject : l.said().keySet()) {
            Map<String, Word> of = said.get(subject);
            if (of != null) {
                of.remove(l.name());
                if (of.isEmpty()) {
                    said.remove(subject);
                }
            }
        }
    }

    private void resay(String subject) {
        said.remove(subject);
        for (String observer : speaking) {
            Links.Said s = entries.get(observer).links.said().get(subject);
            if (s != null) {
                say(observer, subject, s);
            }
        }
    }

    /** An entry's share of the sum is taken out and put in anew, and its place in the rings set right. */
    private void changed(Entry e) {
        version++;
        int slice = slice(e.card.name());
        slices[slice] ^= e.sum;
        e.sum = sum(e);
        slices[slice] ^= e.sum;
        state ^= e.counted;
        e.counted = e.here() ? e.sum : 0;
        state ^= e.counted;
        if (e.here()) {
            rings.add(e.card.name());
        } else {
            rings.remove(e.card.name());
        }
        if (e.card.status() == Status.GONE) {
            gone.add(e.card.name());
        } else {
            gone.remove(e.card.name());
        }
    }

    private static long sum(Entry e) {
        Card c = e.card;
        return HASH.hashCharsToLong(
                c.name() + ' ' + c.life() + ' ' + c.incarnation() + ' ' + c.status() + ' ' + e.links.revision());
    }

    /** Forgets those that went long ago, one excepted. */
    void forget(double before, String except) {
        for (Iterator<Entry> i = entries.values().iterator(); i.hasNext(); ) {
            Entry e = i.next();
            if (!e.here() && e.since < before && !e.card.name().equals(except)) {
                unsay(e.links);
                said.remove(e.card.name());
                gone.remove(e.card.name());
                slices[slice(e.card.name())] ^= e.sum;
                version++;
                i.remove();
            }
        }
    }

    // ---- Full exchange ------------------------------------------------------------

    /** Which slice a name is in. */
    static int slice(String name) {
        return (int) (HASH.hashCharsToLong(name) & Message.SLICE_COUNT - 1);
    }

    private static boolean in(String name, int slices) {
        return slices == Message.ALL_SLICES || (slices >>> slice(name) & 1) == 1;
    }

    int size() {
        return entries.size();
    }

    List<Long> slices() {
        return Arrays.stream(slices).boxed().toList();
    }

    /** Names held, in one slice. */
    List<String> names(int slice) {
        return entries.keySet().stream().filter(n -> slice(n) == slice).toList();
    }

    /** By name, in these slices. */
    Map<String, Long> sums(int slices) {
        Map<String, Long> sums = new TreeMap<>();
        entries.forEach((name, e) -> {
            if (in(name, slices)) {
                sums.put(name, e.sum);
            }
        });
        return sums;
    }

    /** Names that another lacks or holds otherwise, by its sums of these slices. */
    List<String> against(Map<String, Long> sums, int slices) {
        List<String> names = new ArrayList<>();
        entries.forEach((name, e) -> {
            Long other = sums.get(name);
            if (other == null ? in(name, slices) : other != e.sum) {
                names.add(name);
            }
        });
        return names;
    }

    /** Names that another holds, and this does not or holds otherwise. */
    List<String> lacking(Map<String, Long> sums) {
        return sums.entrySet().stream()
                .filter(s -> {
                    Entry e = entries.get(s.getKey());
                    return e == null || e.sum != s.getValue();
                })
                .map(Map.Entry::getKey)
                .toList();
    }

    /** A member's card, and what it said where it said anything. */
    List<Item> of(String name) {
        Entry e = entries.get(name);
        return e == null ? List.of() : e.links.revision() == 0 ? List.of(e.card) : List.of(e.card, e.links);
    }
}
