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
final class CutDetector {

    /** So many times {@code confirmS} a verdict waits for others that are half way. */
    private static final double UNSTABLE_WAIT_FACTOR = 3;

    private static final int MAX_DOUBLINGS = 3;

    /**
     * @param sure whether this member reaches a majority of the fleet
     * @param reached by way of members that reach each other, this one included
     * @param fleet those here, and those gone a short while ago
     * @param gone to be called gone, once enough of the others have been heard after this was so
     */
    record Detection(boolean hasMajority, int reachable, int fleetSize, List<String> faulty) {}

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final Map<String, Double> pending = new HashMap<>();
    private long countedVersion = -1;
    private boolean unstable;
    private int reachable;

    CutDetector(MembershipSettings settings, MembershipTable table) {
        this.settings = settings;
        this.table = table;
    }

    /** Of a member's observers, those that say that they do not reach it. */
    private Set<String> accusersOf(String subject, Set<String> observers) {
        Set<String> accusers = new HashSet<>();
        table.observationsOf(subject).forEach((observer, observation) -> {
            if (observation == Observation.UNREACHABLE
                    && observers.contains(observer)
                    && !table.get(observer).observations().unhealthy()) {
                accusers.add(observer);
            }
        });
        return accusers;
    }

    Detection detect(String self, boolean unhealthy, double now) {
        if (table.version() != countedVersion) {
            countedVersion = table.version();
            recount(self, now);
        }
        int recentlyFaulty = 0;
        for (String name : table.faulty()) {
            recentlyFaulty += now - table.get(name).since() < settings.faultyMemoryS() ? 1 : 0;
        }
        int fleetSize = table.rings().names().size() + recentlyFaulty;
        boolean hasMajority = !unhealthy && 2 * reachable > fleetSize;
        if (!hasMajority) {
            // What was said while this member was cut off is old when it no longer is: the time counts from then.
            pending.replaceAll((name, since) -> now);
        }
        return new Detection(hasMajority, reachable, fleetSize, hasMajority ? confirmed(now) : List.of());
    }

    private void recount(String self, double now) {
        Map<String, Set<String>> against = new HashMap<>();
        Set<String> doubted = new HashSet<>();
        for (String s : table.observedSubjects()) {
            if (table.get(s).isAlive()) {
                Set<String> of = table.rings().observersOf(s);
                Set<String> by = accusersOf(s, of);
                against.put(s, by);
                if (by.size() >= Math.min(settings.lowWatermark(), Math.max(1, of.size()))) {
                    doubted.add(s);
                }
            }
        }
        Set<String> agreed = new HashSet<>();
        unstable = false;
        for (String s : doubted) {
            if (s.equals(self)) {
                continue;
            }
            int credible = 0;
            int saying = 0;
            for (String o : table.rings().observersOf(s)) {
                if (!doubted.contains(o) && !table.get(o).observations().unhealthy()) {
                    credible++;
                    saying += against.get(s).contains(o) ? 1 : 0;
                }
            }
            if (saying > 0 && saying >= settings.highWatermark() * credible) {
                agreed.add(s);
            } else {
                unstable = true;
            }
        }
        pending.keySet().retainAll(agreed);
        agreed.forEach(s -> pending.putIfAbsent(s, now));
        reachable = doubted.isEmpty() ? table.rings().names().size() : countReachable(self);
    }

    /**
     * How many are reached from this member by way of observers that reach their subjects. Counting whoever is not in doubt
     * would take in those of the other side of a partition whose observers are all over there: their word, that all is well, is
     * the last that was heard of them.
     */
    private int countReachable(String self) {
        Set<String> found = new HashSet<>(Set.of(self));
        Deque<String> unvisited = new ArrayDeque<>(found);
        while (!unvisited.isEmpty()) {
            String observer = unvisited.poll();
            for (String subject : table.rings().subjectsOf(observer)) {
                if (!found.contains(subject)
                        && table.observationsOf(subject).get(observer) != Observation.UNREACHABLE) {
                    found.add(subject);
                    unvisited.add(subject);
                }
            }
        }
        return found.size();
    }

    /** Those whose time is over, unless others are still on their way: these are waited for, but not for ever. */
    private List<String> confirmed(double now) {
        List<String> faulty = new ArrayList<>();
        boolean wait = unstable;
        boolean longEnough = false;
        for (Map.Entry<String, Double> candidate : pending.entrySet()) {
            double waited = now - candidate.getValue();
            double needed = confirmationTime(candidate.getKey());
            if (waited >= needed) {
                faulty.add(candidate.getKey());
                longEnough |= waited >= UNSTABLE_WAIT_FACTOR * needed;
            } else {
                wait = true;
            }
        }
        if (wait && !longEnough) {
            return List.of();
        }
        faulty.sort(null);
        return faulty;
    }

    /** Longer for one that came back from gone in this life: it was called so wrongly before. */
    private double confirmationTime(String name) {
        return settings.confirmationS()
                * (1 << Math.min(MAX_DOUBLINGS, table.get(name).refutations()));
    }
}
