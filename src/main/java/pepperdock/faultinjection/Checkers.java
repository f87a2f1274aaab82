package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import pepperdock.config.ConfigException;

/** The checkers by name, and several taken together. */
final class Checkers {

    private static final Map<String, Supplier<Checker>> ALL = Map.of(
            "processes",
            ProcessChecker::new,
            "members",
            () -> new MembersChecker(false),
            "members-strict",
            () -> new MembersChecker(true));

    private final List<Checker> of = new ArrayList<>();
    private long events;

    Checkers(List<String> names) {
        for (String name : names) {
            if (!ALL.containsKey(name)) {
                throw new ConfigException(
                        "checkers",
                        "no checker " + name + ", only "
                                + ALL.keySet().stream().sorted().toList());
            }
            of.add(ALL.get(name).get());
        }
    }

    void see(Event e) {
        events++;
        of.forEach(c -> c.see(events, e));
    }

    /** Whether all that know the condition say that it holds, and one at least knows it. */
    boolean holds(String condition, Set<String> members) {
        boolean known = false;
        for (Checker c : of) {
            Boolean says = c.holds(condition, members);
            if (Boolean.FALSE.equals(says)) {
                return false;
            }
            known |= says != null;
        }
        if (!known) {
            throw new ConfigException("await", "no checker of this run knows " + condition);
        }
        return true;
    }

    List<Checker.Finding> findings(boolean atEnd) {
        return of.stream().flatMap(c -> c.findings(atEnd).stream()).toList();
    }

    /** Those of membership; null where none of its checkers runs. */
    MembershipMetrics membershipMetrics() {
        return of.stream()
                .filter(c -> c instanceof MembersChecker)
                .map(c -> ((MembersChecker) c).total())
                .findFirst()
                .orElse(null);
    }

    List<String> metrics() {
        return of.stream().flatMap(c -> c.metrics().stream()).toList();
    }
}
