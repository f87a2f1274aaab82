package pepperdock.faultinjection;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;

/**
 * The view that each process has published, beside which processes run: where a view differs from that, and whether all agree.
 * Kept up to date event by event. States are the texts of events.
 */
final class MembershipViews {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** A member as a view has it. */
    record Held(String generation, long incarnation, String state) {

        /** Whether it is faulty or has left. */
        boolean away() {
            return state.equals("GONE") || state.equals("LEFT");
        }

        private boolean here() {
            return state.equals("HERE");
        }
    }

    /** One process's view, as it published it. */
    static final class View {
        private long number;
        private long roster;
        private final Map<String, Held> members = new TreeMap<>();

        /** The number of its last change. */
        long number() {
            return number;
        }

        void setNumber(long newNumber) {
            number = newNumber;
        }

        /** A digest of the members that it has as neither faulty nor left. */
        long roster() {
            return roster;
        }

        /** Null where the view does not have it. */
        Held get(String name) {
            return members.get(name);
        }
    }

    private final Map<String, View> views = new TreeMap<>();
    /** The name that each process has had, its own as a rule; and each process's newest generation. */
    private final Map<String, String> names = new TreeMap<>();

    private final Map<String, String> generations = new TreeMap<>();
    /** By name: generations of processes that run. */
    private final Map<String, Set<String>> running = new TreeMap<>();

    private final Set<String> up = new HashSet<>();
    /** By viewer: whom it sees otherwise than it is. */
    private final Map<String, Set<String>> wrong = new TreeMap<>();
    /** By name: how many see it otherwise than it is; and the sum of them. */
    private final Map<String, Integer> wrongOf = new HashMap<>();

    private int wrongs;

    // ---- Processes ------------------------------------------------------------

    /** A process of that name has started, with an empty view. */
    void started(String process, String name, String generation) {
        ended(process);
        views.put(process, new View());
        names.put(process, name);
        generations.put(process, generation);
        running.computeIfAbsent(name, key -> new HashSet<>()).add(generation);
        up.add(process);
        compareAll(process);
    }

    /** A process no longer runs. */
    void ended(String process) {
        if (up.remove(process)) {
            running.get(names.get(process)).remove(generations.get(process));
            compareAll(process);
        }
    }

    /** A process that has ended has no view any more. */
    void forget(String process) {
        views.remove(process);
    }

    int processesUp() {
        return up.size();
    }

    /** Processes that have ever started. */
    int processesEver() {
        return names.size();
    }

    boolean isUp(String process) {
        return up.contains(process);
    }

    /** The name that a process has had; its own where it has not started. */
    String nameOf(String process) {
        return names.getOrDefault(process, process);
    }

    /** Generations of processes of that name that run. */
    Set<String> running(String name) {
        return running.getOrDefault(name, Set.of());
    }

    /** The running process of that generation. */
    String processOf(String generation) {
        return up.stream()
                .filter(process -> generation.equals(generations.get(process)))
                .findFirst()
                .orElseThrow();
    }

    // ---- Views ------------------------------------------------------------

    /** The view of a process, new where it has none. */
    View viewOf(String process) {
        return views.computeIfAbsent(process, key -> new View());
    }

    /** The rosters of all views. */
    Set<Long> rosters() {
        Set<Long> rosters = new HashSet<>();
        views.values().forEach(view -> rosters.add(view.roster));
        return rosters;
    }

    /** A process has published that it sees a member so. */
    void change(String process, String name, Held held) {
        View view = viewOf(process);
        Held before = view.members.put(name, held);
        if (up.contains(process)) {
            compare(process, name);
        }
        view.roster ^= rosterDigest(name, before) ^ rosterDigest(name, held);
    }

    /** A member's part of a roster: rosters are told apart by the digests of those in them. */
    private static long rosterDigest(String name, Held held) {
        return held == null || held.away() ? 0 : HASH.hashCharsToLong(name + '/' + held.generation());
    }

    // ---- Agreement ------------------------------------------------------------

    private boolean isWrong(String viewer, String name) {
        Held held = views.get(viewer).get(name);
        Set<String> runningGenerations = running(name);
        return runningGenerations.isEmpty()
                ? held != null && !held.away()
                : held == null || !held.here() || !runningGenerations.contains(held.generation());
    }

    private void compare(String viewer, String name) {
        Set<String> mistaken = wrong.computeIfAbsent(viewer, key -> new HashSet<>());
        if (isWrong(viewer, name) ? mistaken.add(name) : mistaken.remove(name)) {
            count(name, mistaken.contains(name) ? 1 : -1);
        }
    }

    private void count(String name, int more) {
        wrongs += more;
        wrongOf.merge(name, more, Integer::sum);
    }

    /** A process has started or ended: compares what all see of its name, and what it sees. */
    private void compareAll(String process) {
        Set<String> own = wrong.remove(process);
        if (own != null) {
            own.forEach(name -> count(name, -1));
        }
        if (up.contains(process)) {
            running.keySet().forEach(name -> compare(process, name));
        }
        up.forEach(viewer -> compare(viewer, names.get(process)));
    }

    /** Whether all that run see this process as it is. */
    boolean isSeenByAll(String process) {
        return wrongOf.getOrDefault(names.get(process), 0) == 0;
    }

    /** Whether all views agree, and with what is. */
    boolean agree() {
        return wrongs == 0 && divided() == null;
    }

    /** What keeps the views from being one and true; null where nothing does. */
    String disagreement() {
        for (Map.Entry<String, Set<String>> mistaken : wrong.entrySet()) {
            if (!mistaken.getValue().isEmpty()) {
                return mistake(mistaken.getKey(), mistaken.getValue().iterator().next());
            }
        }
        return divided();
    }

    private String mistake(String viewer, String name) {
        Held held = views.get(viewer).get(name);
        Set<String> runningGenerations = running(name);
        return viewer + " sees " + name + ' '
                + (held == null
                        ? "not at all"
                        : held.state().toLowerCase(Locale.ROOT) + " in life " + held.generation())
                + ", and it is "
                + (runningGenerations.isEmpty()
                        ? "not running"
                        : "running in life " + String.join(" and ", runningGenerations));
    }

    /** A name that several processes have, and that does not belong to the same one in all views; null where there is none. */
    private String divided() {
        for (Map.Entry<String, Set<String>> sameName : running.entrySet()) {
            if (sameName.getValue().size() > 1) {
                Set<String> holders = new TreeSet<>();
                for (String viewer : up) {
                    Held held = views.get(viewer).get(sameName.getKey());
                    holders.add(held == null ? "" : held.generation());
                }
                if (holders.size() > 1) {
                    return sameName.getKey() + " is one process in some views and another in others: lives " + holders;
                }
            }
        }
        return null;
    }

    // ---- Conditions that a script awaits ------------------------------------------------------------

    /** Whether all other processes see these as faulty or left. */
    boolean seenAway(Set<String> processes) {
        return seenByOthers(processes, (held, process) -> held.away());
    }

    /** Whether all other processes see these as replaced by a process that is alive. */
    boolean seenReplaced(Set<String> processes) {
        return seenByOthers(
                processes, (held, process) -> held.here() && !held.generation().equals(generations.get(process)));
    }

    private boolean seenByOthers(Set<String> processes, BiPredicate<Held, String> so) {
        return up.stream()
                .filter(viewer -> !processes.contains(viewer))
                .allMatch(viewer -> processes.stream().allMatch(process -> {
                    Held held = held(viewer, process);
                    return held != null && so.test(held, process);
                }));
    }

    /** Whether each of these is seen as suspect by all others, these among them. */
    boolean seenSuspect(Set<String> processes) {
        return processes.stream()
                .allMatch(process -> up.stream()
                        .filter(viewer -> !viewer.equals(process))
                        .allMatch(viewer -> {
                            Held held = held(viewer, process);
                            return held != null && held.state().equals("CUT_OFF");
                        }));
    }

    private Held held(String viewer, String process) {
        return views.containsKey(viewer) ? views.get(viewer).get(nameOf(process)) : null;
    }
}
