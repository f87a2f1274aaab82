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
 * Determines from the table which members are to be declared faulty: the multi-process cut detection of Rapid, section
 * 4.2. A member that {@code lowWatermark} or more observers report unreachable is doubted, and its own observations no
 * longer count. A doubted member is agreed on once at least the share {@code highWatermark} of its credible observers,
 * those that are neither doubted nor unhealthy, report it. Verdicts wait for doubted members that are not agreed on, so
 * that many members that fail together are declared faulty in one change. A member that does not reach a majority of
 * the fleet, members declared faulty recently included, declares nobody faulty. Owned by the thread that calls
 * {@link Membership}.
 */
final class CutDetector {

    /** Confirmation times for which a verdict waits for other members that are doubted and not agreed on. */
    private static final double UNSTABLE_WAIT_FACTOR = 3;

    /** Most doublings of the confirmation time; each refutation by the member doubles it once. */
    private static final int MAX_DOUBLINGS = 3;

    /**
     * The result of a detection.
     *
     * @param hasMajority whether this member reaches a majority of the fleet
     * @param reachable members that this one reaches directly or through a chain of observers, itself included
     * @param fleetSize members that are alive, and those declared faulty recently
     * @param faulty members to declare faulty, once most other subjects have been heard after this result first held
     */
    record Detection(boolean hasMajority, int reachable, int fleetSize, List<String> faulty) {}

    private final MembershipSettings settings;
    private final MembershipTable table;
    /** Members agreed on, and since when they have been. */
    private final Map<String, Double> pending = new HashMap<>();
    /** The table's version when reports were last counted. */
    private long countedVersion = -1;
    /** Whether a member is doubted and not agreed on. */
    private boolean unstable;

    private int reachable;

    CutDetector(MembershipSettings settings, MembershipTable table) {
        this.settings = settings;
        this.table = table;
    }

    /** Evaluates the table as it is; {@code unhealthy} says whether this member distrusts its own observations. */
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
            // Reports received during a cut-off are outdated when it ends, so the confirmation times start only then.
            pending.replaceAll((name, since) -> now);
        }
        return new Detection(hasMajority, reachable, fleetSize, hasMajority ? confirmed(now) : List.of());
    }

    private void recount(String self, double now) {
        Map<String, Set<String>> reporters = new HashMap<>();
        Set<String> doubted = new HashSet<>();
        for (String subject : table.observedSubjects()) {
            if (table.get(subject).isAlive()) {
                Set<String> observers = table.rings().observersOf(subject);
                Set<String> reporting = reportersOf(subject, observers);
                reporters.put(subject, reporting);
                if (reporting.size() >= Math.min(settings.lowWatermark(), Math.max(1, observers.size()))) {
                    doubted.add(subject);
                }
            }
        }
        Set<String> agreed = new HashSet<>();
        unstable = false;
        for (String subject : doubted) {
            if (subject.equals(self)) {
                continue;
            }
            if (isAgreed(subject, reporters.get(subject), doubted)) {
                agreed.add(subject);
            } else {
                unstable = true;
            }
        }
        pending.keySet().retainAll(agreed);
        agreed.forEach(subject -> pending.putIfAbsent(subject, now));
        reachable = doubted.isEmpty() ? table.rings().names().size() : countReachable(self);
    }

    /** Returns the observers that report a member unreachable and do not distrust their own observations. */
    private Set<String> reportersOf(String subject, Set<String> observers) {
        Set<String> reporters = new HashSet<>();
        table.observationsOf(subject).forEach((observer, observation) -> {
            if (observation == Observation.UNREACHABLE
                    && observers.contains(observer)
                    && !table.get(observer).observations().unhealthy()) {
                reporters.add(observer);
            }
        });
        return reporters;
    }

    private boolean isAgreed(String subject, Set<String> reporters, Set<String> doubted) {
        int credible = 0;
        int reporting = 0;
        for (String observer : table.rings().observersOf(subject)) {
            if (!doubted.contains(observer)
                    && !table.get(observer).observations().unhealthy()) {
                credible++;
                reporting += reporters.contains(observer) ? 1 : 0;
            }
        }
        return reporting > 0 && reporting >= settings.highWatermark() * credible;
    }

    /**
     * Counts the members that this one reaches directly or through a chain of observers, each of which does not report
     * the next one unreachable. Counting all members that are not doubted would include those on the other side of a
     * partition whose observers are all on that side too: the last observations received from these report no fault.
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

    /**
     * Returns the members whose confirmation time is over. Returns none while other members are still doubted or being
     * confirmed, unless a member has waited for {@link #UNSTABLE_WAIT_FACTOR} confirmation times.
     */
    private List<String> confirmed(double now) {
        List<String> faulty = new ArrayList<>();
        boolean mustWait = unstable;
        boolean waitedLongEnough = false;
        for (Map.Entry<String, Double> candidate : pending.entrySet()) {
            double waited = now - candidate.getValue();
            double needed = confirmationTime(candidate.getKey());
            if (waited >= needed) {
                faulty.add(candidate.getKey());
                waitedLongEnough |= waited >= UNSTABLE_WAIT_FACTOR * needed;
            } else {
                mustWait = true;
            }
        }
        if (mustWait && !waitedLongEnough) {
            return List.of();
        }
        faulty.sort(null);
        return faulty;
    }

    /**
     * Returns the confirmation time of a member: longer if it refuted a verdict in this generation, as it was wrongly
     * declared faulty before.
     */
    private double confirmationTime(String name) {
        return settings.confirmationS()
                * (1 << Math.min(MAX_DOUBLINGS, table.get(name).refutations()));
    }
}
