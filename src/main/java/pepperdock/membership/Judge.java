package pepperdock.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads verdicts from the table. A member is to be called gone when enough of its credible observers have said so for long
 * enough, nobody else is half way there (so that many who went together go in one change), and the one who judges reaches a
 * majority of the fleet, those lately gone counted in. Two thresholds: {@code low} observers put a member in doubt, and what
 * it says of others then counts no more; {@code high} of those whose word counts agree on a verdict.
 */
final class Judge {

    /** So many times {@code confirmS} a verdict waits for others that are half way. */
    private static final double WAIT = 3;

    private static final int RELAPSES_MOST = 3;

    /**
     * @param sure whether this member reaches a majority of the fleet
     * @param reached by way of members that reach each other, this one included
     * @param fleet those here, and those gone a short while ago
     * @param gone to be called gone, once enough of the others have been heard after this was so
     */
    record Verdicts(boolean sure, int reached, int fleet, List<String> gone) {}

    private final Settings settings;
    private final Table table;
    private final Map<String, Double> pending = new HashMap<>();
    private long version = -1;
    private boolean halfWay;
    private int reached;

    Judge(Settings settings, Table table) {
        this.settings = settings;
        this.table = table;
    }

    /** Of a member's observers, those that say that they do not reach it. */
    private Set<String> unreachedBy(String subject, Set<String> observers) {
        Set<String> all = new HashSet<>();
        table.saidOf(subject).forEach((o, w) -> {
            if (w == Word.UNREACHED
                    && observers.contains(o)
                    && !table.get(o).links().ill()) {
                all.add(o);
            }
        });
        return all;
    }

    Verdicts judge(String self, boolean ill, double now) {
        if (table.version() != version) {
            version = table.version();
            count(self, now);
        }
        int lately = 0;
        for (String g : table.gone()) {
            lately += now - table.get(g).since() < settings.memoryS() ? 1 : 0;
        }
        int fleet = table.rings().names().size() + lately;
        boolean sure = !ill && 2 * reached > fleet;
        if (!sure) {
            // What was said while this member was cut off is old when it no longer is: the time counts from then.
            pending.replaceAll((name, since) -> now);
        }
        return new Verdicts(sure, reached, fleet, sure ? due(now) : List.of());
    }

    private void count(String self, double now) {
        Map<String, Set<String>> against = new HashMap<>();
        Set<String> doubted = new HashSet<>();
        for (String s : table.spokenOf()) {
            if (table.get(s).here()) {
                Set<String> of = table.rings().observersOf(s);
                Set<String> by = unreachedBy(s, of);
                against.put(s, by);
                if (by.size() >= Math.min(settings.low(), Math.max(1, of.size()))) {
                    doubted.add(s);
                }
            }
        }
        Set<String> agreed = new HashSet<>();
        halfWay = false;
        for (String s : doubted) {
            if (s.equals(self)) {
                continue;
            }
            int credible = 0;
            int saying = 0;
            for (String o : table.rings().observersOf(s)) {
                if (!doubted.contains(o) && !table.get(o).links().ill()) {
                    credible++;
                    saying += against.get(s).contains(o) ? 1 : 0;
                }
            }
            if (saying > 0 && saying >= settings.high() * credible) {
                agreed.add(s);
            } else {
                halfWay = true;
            }
        }
        pending.keySet().retainAll(agreed);
        agreed.forEach(s -> pending.putIfAbsent(s, now));
        reached = doubted.isEmpty() ? table.rings().names().size() : reached(self);
    }

    /**
     * How many are reached from this member by way of observers that reach their subjects. Counting whoever is not in doubt
     * would take in those of the other side of a partition whose observers are all over there: their word, that all is well, is
     * the last that was heard of them.
     */
    private int reached(String self) {
        Set<String> found = new HashSet<>(Set.of(self));
        Deque<String> open = new ArrayDeque<>(found);
        while (!open.isEmpty()) {
            String o = open.poll();
            for (String s : table.rings().subjectsOf(o)) {
                if (!found.contains(s) && table.saidOf(s).get(o) != Word.UNREACHED) {
                    found.add(s);
                    open.add(s);
                }
            }
        }
        return found.size();
    }

    /** Those whose time is over, unless others are still on their way: these are waited for, but not for ever. */
    private List<String> due(double now) {
        List<String> gone = new ArrayList<>();
        boolean wait = halfWay;
        boolean longEnough = false;
        for (Map.Entry<String, Double> p : pending.entrySet()) {
            double waited = now - p.getValue();
            double needed = needed(p.getKey());
            if (waited >= needed) {
                gone.add(p.getKey());
                longEnough |= waited >= WAIT * needed;
            } else {
                wait = true;
            }
        }
        if (wait && !longEnough) {
            return List.of();
        }
        gone.sort(null);
        return gone;
    }

    /** Longer for one that came back from gone in this life: it was called so wrongly before. */
    private double needed(String name) {
        return settings.confirmS()
                * (1 << Math.min(RELAPSES_MOST, table.get(name).relapses()));
    }
}
