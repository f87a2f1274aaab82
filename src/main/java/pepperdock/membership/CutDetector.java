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
 * Multi-process cut detection after Rapid, section 4.2: reads from the table which members are to be declared faulty. Members
 * with {@code lowWatermark} accusers or more are accused, and their own observations no longer count. Where the accusers reach
 * {@code highWatermark}, a share of the observers that count, the member is agreed on. Verdicts wait for accused members that
 * are not agreed on, so that many that fail together go in one change. Nobody is declared faulty by a member that does not
 * reach a majority of the fleet, those declared faulty recently included. Owned by the thread that calls {@link Membership}.
 */
final class CutDetector {

    /** Times its confirmation that a verdict waits for others that are accused and not agreed on. */
    private static final double UNSTABLE_WAIT_FACTOR = 3;

    /** The confirmation doubles with each refutation of the member, so often at most. */
    private static final int MAX_DOUBLINGS = 3;

    /**
     * What was detected.
     *
     * @param hasMajority whether this member reaches a majority of the fleet
     * @param reachable members reached by way of observers that reach their subjects, this one included
     * @param fleetSize members that are alive, and those declared faulty recently
     * @param faulty to be declared faulty, once enough of the others have been heard after this was so
     */
    record Detection(boolean hasMajority, int reachable, int fleetSize, List<String> faulty) {}

    private final MembershipSettings settings;
    private final MembershipTable table;
    /** Members agreed on, and since when. */
    private final Map<String, Double> pending = new HashMap<>();
    /** The table's version when accusations were last counted. */
    private long countedVersion = -1;
    /** Whether a member is accused and not agreed on. */
    private boolean unstable;

    private int reachable;

    CutDetector(MembershipSettings settings, MembershipTable table) {
        this.settings = settings;
        this.table = table;
    }

    /** Detects from the table as it is; {@code unhealthy}: whether this member doubts itself. */
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
        Map<String, Set<String>> accusers = new HashMap<>();
        Set<String> accused = new HashSet<>();
        for (String subject : table.observedSubjects()) {
            if (table.get(subject).isAlive()) {
                Set<String> observers = table.rings().observersOf(subject);
                Set<String> accusing = accusersOf(subject, observers);
                accusers.put(subject, accusing);
                if (accusing.size() >= Math.min(settings.lowWatermark(), Math.max(1, observers.size()))) {
                    accused.add(subject);
                }
            }
        }
        Set<String> agreed = new HashSet<>();
        unstable = false;
        for (String subject : accused) {
            if (subject.equals(self)) {
                continue;
            }
            if (isAgreed(subject, accusers.get(subject), accused)) {
                agreed.add(subject);
            } else {
                unstable = true;
            }
        }
        pending.keySet().retainAll(agreed);
        agreed.forEach(subject -> pending.putIfAbsent(subject, now));
        reachable = accused.isEmpty() ? table.rings().names().size() : countReachable(self);
    }

    /** Of a member's observers, those that say that they do not reach it and do not doubt themselves. */
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

    private boolean isAgreed(String subject, Set<String> accusers, Set<String> accused) {
        int credible = 0;
        int accusing = 0;
        for (String observer : table.rings().observersOf(subject)) {
            if (!accused.contains(observer)
                    && !table.get(observer).observations().unhealthy()) {
                credible++;
                accusing += accusers.contains(observer) ? 1 : 0;
            }
        }
        return accusing > 0 && accusing >= settings.highWatermark() * credible;
    }

    /**
     * How many are reached from this member by way of observers that reach their subjects. Counting all that are not accused
     * would take in those on the other side of a partition whose observers are all over there: the last that was heard of
     * these observers is that all is well.
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

    /** Those whose confirmation is over, unless others are still on their way: these are waited for, but not for ever. */
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

    /** Longer for a member that has refuted a verdict in this generation: it was wrongly declared faulty before. */
    private double confirmationTime(String name) {
        return settings.confirmationS()
                * (1 << Math.min(MAX_DOUBLINGS, table.get(name).refutations()));
    }
}
