package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import pepperdock.config.ConfigException;

/** The checkers of a run, created by name and evaluated together. */
final class Checkers {

    private static final Map<String, Supplier<Checker>> ALL = Map.of(
            "processes",
            ProcessChecker::new,
            "members",
            () -> new MembersChecker(false),
            "members-strict",
            () -> new MembersChecker(true));

    private final List<Checker> checkers = new ArrayList<>();
    private long events;

    Checkers(List<String> names) {
        for (String name : names) {
            if (!ALL.containsKey(name)) {
                throw new ConfigException(
                        "checkers",
                        "unknown checker " + name + ", expected one of "
                                + ALL.keySet().stream().sorted().toList());
            }
            checkers.add(ALL.get(name).get());
        }
    }

    void onEvent(Event event) {
        events++;
        checkers.forEach(c -> c.onEvent(events, event));
    }

    /** Returns whether every checker that knows the condition confirms it; at least one must know it. */
    boolean holds(String condition, Set<String> members) {
        boolean known = false;
        for (Checker checker : checkers) {
            Boolean answer = checker.holds(condition, members);
            if (Boolean.FALSE.equals(answer)) {
                return false;
            }
            known |= answer != null;
        }
        if (!known) {
            throw new ConfigException("await", "no checker of this run knows the condition " + condition);
        }
        return true;
    }

    List<Checker.Finding> findings(boolean atEnd) {
        return checkers.stream().flatMap(c -> c.findings(atEnd).stream()).toList();
    }

    /** Returns the membership metrics; null if no checker of membership is among the checkers. */
    MembershipMetrics membershipMetrics() {
        return checkers.stream()
                .filter(c -> c instanceof MembersChecker)
                .map(c -> ((MembersChecker) c).total())
                .findFirst()
                .orElse(null);
    }

    List<String> metrics() {
        return checkers.stream().flatMap(c -> c.metrics().stream()).toList();
    }
}
