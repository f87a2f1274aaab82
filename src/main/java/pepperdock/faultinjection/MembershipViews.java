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
 * The view that each process has published, together with the running processes: where a view differs from these, and
 * whether all views agree. Updated with each event. States are the texts of events.
 */
final class MembershipViews {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** A member as a view shows it. */
    record MemberEntry(String generation, long incarnation, String state) {

        /** Returns whether it is faulty or has left. */
        boolean isGoneOrLeft() {
            return state.equals("GONE") || state.equals("LEFT");
        }

        private boolean isHere() {
            return state.equals("HERE");
        }
    }

    /** The view of one process, as published. */
    static final class View {
        private long number;
        private long roster;
        private final Map<String, MemberEntry> members = new TreeMap<>();

        /** Returns the number of its last change. */
        long number() {
            return number;
        }

        void setNumber(long newNumber) {
            number = newNumber;
        }

        /** Returns a digest of the members that are neither faulty nor left in this view. */
        long roster() {
            return roster;
        }

        /** Returns a member, or null if the view does not contain it. */
        MemberEntry get(String name) {
            return members.get(name);
        }
    }

    private final Map<String, View> views = new TreeMap<>();
    /** The name of each process, as a rule its own; and the newest generation of each process. */
    private final Map<String, String> names = new TreeMap<>();

    private final Map<String, String> generations = new TreeMap<>();
    /** By name: generations of running processes. */
    private final Map<String, Set<String>> running = new TreeMap<>();

    private final Set<String> up = new HashSet<>();
    /** By viewer: the names of members that it sees in a wrong state. */
    private final Map<String, Set<String>> mistakesByViewer = new TreeMap<>();
    /** By name: the number of viewers that see it in a wrong state; and the total of these. */
    private final Map<String, Integer> mistakesByName = new HashMap<>();

    private int mistakeCount;

    // ---- Processes ------------------------------------------------------------

    /** Adds a process that has started with this name and an empty view. */
    void started(String process, String name, String generation) {
        ended(process);
        views.put(process, new View());
        names.put(process, name);
        generations.put(process, generation);
        running.computeIfAbsent(name, key -> new HashSet<>()).add(generation);
        up.add(process);
        compareAll(process);
    }

    /** Removes a process that no longer runs. */
    void ended(String process) {
        if (up.remove(process)) {
            running.get(names.get(process)).remove(generations.get(process));
            compareAll(process);
        }
    }

    /** Removes the view of a process that has ended. */
    void forget(String process) {
        views.remove(process);
    }

    int processesUp() {
        return up.size();
    }

    /** Returns the number of processes that have ever started. */
    int processesEver() {
        return names.size();
    }

    boolean isUp(String process) {
        return up.contains(process);
    }

    /** Returns the name of a process; its own if it has not started. */
    String nameOf(String process) {
        return names.getOrDefault(process, process);
    }

    /** Returns the generations of running processes of this name. */
    Set<String> running(String name) {
        return running.getOrDefault(name, Set.of());
    }

    /** Returns the running process of this generation. */
    String processOf(String generation) {
        return up.stream()
                .filter(process -> generation.equals(generations.get(process)))
                .findFirst()
                .orElseThrow();
    }

    // ---- Views ------------------------------------------------------------

    /** Returns the view of a process, a new one if it has none. */
    View viewOf(String process) {
        return views.computeIfAbsent(process, key -> new View());
    }

    /** Returns the rosters of all views. */
    Set<Long> rosters() {
        Set<Long> rosters = new HashSet<>();
        views.values().forEach(view -> rosters.add(view.roster));
        return rosters;
    }

    /** Records that a process has published this state of a member. */
    void change(String process, String name, MemberEntry entry) {
        View view = viewOf(process);
        MemberEntry before = view.members.put(name, entry);
        if (up.contains(process)) {
            compare(process, name);
        }
        view.roster ^= rosterDigest(name, before) ^ rosterDigest(name, entry);
    }

    /** Returns a member's contribution to the digest of a roster. */
    private static long rosterDigest(String name, MemberEntry entry) {
        return entry == null || entry.isGoneOrLeft() ? 0 : HASH.hashCharsToLong(name + '/' + entry.generation());
    }

    // ---- Agreement ------------------------------------------------------------

    private boolean isMistaken(String viewer, String name) {
        MemberEntry entry = views.get(viewer).get(name);
        Set<String> runningGenerations = running(name);
        return runningGenerations.isEmpty()
                ? entry != null && !entry.isGoneOrLeft()
                : entry == null || !entry.isHere() || !runningGenerations.contains(entry.generation());
    }

    private void compare(String viewer, String name) {
        Set<String> mistaken = mistakesByViewer.computeIfAbsent(viewer, key -> new HashSet<>());
        if (isMistaken(viewer, name) ? mistaken.add(name) : mistaken.remove(name)) {
            addMistakes(name, mistaken.contains(name) ? 1 : -1);
        }
    }

    private void addMistakes(String name, int more) {
        mistakeCount += more;
        mistakesByName.merge(name, more, Integer::sum);
    }

    /** Compares what all see of the name of a process that has started or ended, and what that process sees. */
    private void compareAll(String process) {
        Set<String> own = mistakesByViewer.remove(process);
        if (own != null) {
            own.forEach(name -> addMistakes(name, -1));
        }
        if (up.contains(process)) {
            running.keySet().forEach(name -> compare(process, name));
        }
        up.forEach(viewer -> compare(viewer, names.get(process)));
    }

    /** Returns whether all running processes see this process in its true state. */
    boolean isSeenByAll(String process) {
        return mistakesByName.getOrDefault(names.get(process), 0) == 0;
    }

    /** Returns whether all views agree with each other and with the running processes. */
    boolean allAgree() {
        return mistakeCount == 0 && disputedName() == null;
    }

    /** Returns a description of a difference that keeps the views from agreeing; null if there is none. */
    String disagreement() {
        for (Map.Entry<String, Set<String>> mistaken : mistakesByViewer.entrySet()) {
            if (!mistaken.getValue().isEmpty()) {
                return describeMistake(
                        mistaken.getKey(), mistaken.getValue().iterator().next());
            }
        }
        return disputedName();
    }

    private String describeMistake(String viewer, String name) {
        MemberEntry entry = views.get(viewer).get(name);
        Set<String> runningGenerations = running(name);
        return viewer + " sees " + name + ' '
                + (entry == null
                        ? "not at all"
                        : entry.state().toLowerCase(Locale.ROOT) + " in generation " + entry.generation())
                + ", and it is "
                + (runningGenerations.isEmpty()
                        ? "not running"
                        : "running in generation " + String.join(" and ", runningGenerations));
    }

    /**
     * Returns a description of a name that several processes have and that not all views assign to the same one; null
     * if there is none.
     */
    private String disputedName() {
        for (Map.Entry<String, Set<String>> sameName : running.entrySet()) {
            if (sameName.getValue().size() > 1) {
                Set<String> holders = new TreeSet<>();
                for (String viewer : up) {
                    MemberEntry entry = views.get(viewer).get(sameName.getKey());
                    holders.add(entry == null ? "" : entry.generation());
                }
                if (holders.size() > 1) {
                    return sameName.getKey() + " is a different process in different views: generations " + holders;
                }
            }
        }
        return null;
    }

    // ---- Conditions that a script awaits ------------------------------------------------------------

    /** Returns whether all other processes see these as faulty or left. */
    boolean areSeenGone(Set<String> processes) {
        return seenByOthers(processes, (entry, process) -> entry.isGoneOrLeft());
    }

    /** Returns whether all other processes see these as replaced by a process that is alive. */
    boolean areSeenReplaced(Set<String> processes) {
        return seenByOthers(
                processes,
                (entry, process) -> entry.isHere() && !entry.generation().equals(generations.get(process)));
    }

    private boolean seenByOthers(Set<String> processes, BiPredicate<MemberEntry, String> condition) {
        return up.stream()
                .filter(viewer -> !processes.contains(viewer))
                .allMatch(viewer -> processes.stream().allMatch(process -> {
                    MemberEntry entry = entry(viewer, process);
                    return entry != null && condition.test(entry, process);
                }));
    }

    /** Returns whether each of these is seen as suspect by all others, including the others among these. */
    boolean areSeenSuspect(Set<String> processes) {
        return processes.stream()
                .allMatch(process -> up.stream()
                        .filter(viewer -> !viewer.equals(process))
                        .allMatch(viewer -> {
                            MemberEntry entry = entry(viewer, process);
                            return entry != null && entry.state().equals("CUT_OFF");
                        }));
    }

    private MemberEntry entry(String viewer, String process) {
        return views.containsKey(viewer) ? views.get(viewer).get(nameOf(process)) : null;
    }
}
