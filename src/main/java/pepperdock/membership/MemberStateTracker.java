package pepperdock.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The state of each member as it was last published, read from the table by one rule, and the changes of it: each published
 * once, under numbers that count up. Owned by the thread that calls {@link Membership}.
 */
final class MemberStateTracker {

    private final MembershipTable table;
    private final Consumer<MembershipView.Change> changes;
    private final Map<String, MemberState> states = new TreeMap<>();
    /** Those slow or suspect: read anew with each change, as what was said of them may have been taken back. */
    private final Set<String> impaired = new TreeSet<>();

    private final Map<String, Long> generations = new HashMap<>();
    private final Set<String> touched = new TreeSet<>();
    /** A member came, went or returned: what it says of others, and how many observe them, may count otherwise now. */
    private boolean recordsTouched;

    private long number;

    MemberStateTracker(MembershipTable table, Consumer<MembershipView.Change> changes) {
        this.table = table;
        this.changes = changes;
    }

    /** The number of the last change published. */
    long number() {
        return number;
    }

    /** The state last published; alive where none was. */
    MemberState of(String name) {
        return states.getOrDefault(name, MemberState.ALIVE);
    }

    /** Forgets whom the table has no more. */
    void forgetUnknown() {
        states.keySet().removeIf(name -> table.get(name) == null);
        impaired.removeIf(name -> table.get(name) == null);
        generations.keySet().removeIf(name -> table.get(name) == null);
    }

    /** A member's own record has changed. */
    void recordChanged(String name) {
        touched.add(name);
        recordsTouched = true;
    }

    /** What is said of these members has changed. */
    void observationsChanged(Collection<String> names) {
        touched.addAll(names);
    }

    /** Publishes what has changed since the last call. */
    void publish() {
        if (touched.isEmpty()) {
            return;
        }
        Set<String> names = new TreeSet<>(touched);
        if (recordsTouched) {
            names.addAll(table.observedSubjects());
        }
        names.addAll(impaired);
        recordsTouched = false;
        touched.clear();
        names.stream().map(table::get).filter(entry -> entry != null).forEach(this::publish);
    }

    private void publish(MembershipTable.Entry entry) {
        MemberRecord member = entry.memberRecord();
        MemberState before = states.get(member.name());
        Long generation = generations.put(member.name(), member.generation());
        boolean replaced = generation != null && generation != member.generation();
        if (replaced && before != MemberState.FAULTY && before != MemberState.LEFT) {
            change(member, generation, before, MemberState.FAULTY, "another life of it has taken its place");
            before = MemberState.FAULTY;
        }
        MemberState current = stateOf(entry);
        if (current != before) {
            change(member, member.generation(), before, current, reasonFor(entry, current));
        }
    }

    private void change(MemberRecord member, long generation, MemberState from, MemberState to, String reason) {
        states.put(member.name(), to);
        if (to == MemberState.SLOW || to == MemberState.SUSPECT) {
            impaired.add(member.name());
        } else {
            impaired.remove(member.name());
        }
        number++;
        changes.accept(
                new MembershipView.Change(number, member.name(), generation, member.incarnation(), from, to, reason));
    }

    private MemberState stateOf(MembershipTable.Entry entry) {
        if (!entry.isAlive()) {
            return entry.memberRecord().status() == RecordStatus.LEFT ? MemberState.LEFT : MemberState.FAULTY;
        }
        String name = entry.memberRecord().name();
        int slow = 0;
        for (Map.Entry<String, Observation> observation :
                table.observationsOf(name).entrySet()) {
            MembershipTable.Entry observer = table.get(observation.getKey());
            if (observer.isAlive() && !observer.observations().unhealthy()) {
                if (observation.getValue() != Observation.SLOW) {
                    return MemberState.SUSPECT;
                }
                slow++;
            }
        }
        int observers = table.rings().observersOf(name).size();
        return slow > 0 && 2 * slow >= observers ? MemberState.SLOW : MemberState.ALIVE;
    }

    private String reasonFor(MembershipTable.Entry entry, MemberState state) {
        MemberRecord member = entry.memberRecord();
        return switch (state) {
            case ALIVE -> member.incarnation() > 0 ? "incarnation " + member.incarnation() : "";
            case LEFT -> "it said so";
            case SLOW, SUSPECT, FAULTY ->
                table.observationsOf(member.name()).entrySet().stream()
                        .map(observation -> observation.getKey()
                                + ' '
                                + observation.getValue().operatorsWord())
                        .collect(Collectors.joining(", "));
        };
    }
}
