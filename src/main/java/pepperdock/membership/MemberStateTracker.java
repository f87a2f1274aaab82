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
 * Tracks the state of each member as it was last published, derived from the table by one rule, and publishes each
 * change of it once, under consecutive numbers. Owned by the thread that calls {@link Membership}.
 */
final class MemberStateTracker {

    private final MembershipTable table;
    private final Consumer<MembershipView.Change> changes;
    private final Map<String, MemberState> states = new TreeMap<>();
    /**
     * Members that are slow or suspect: evaluated again with each change, as observations of them may have been
     * withdrawn.
     */
    private final Set<String> impaired = new TreeSet<>();

    private final Map<String, Long> generations = new HashMap<>();
    /** Members whose record, or observations of whom, changed since the last publication. */
    private final Set<String> changedNames = new TreeSet<>();
    /**
     * Whether a member's own record changed. The member may have joined or left, which changes whether its observations
     * count and how many observers other members have.
     */
    private boolean recordsChanged;

    private long number;

    MemberStateTracker(MembershipTable table, Consumer<MembershipView.Change> changes) {
        this.table = table;
        this.changes = changes;
    }

    /** Returns the number of the last change published. */
    long number() {
        return number;
    }

    /** Returns the state last published of a member; alive if none was. */
    MemberState of(String name) {
        return states.getOrDefault(name, MemberState.ALIVE);
    }

    /** Forgets the members that are no longer in the table. */
    void forgetUnknown() {
        states.keySet().removeIf(name -> table.get(name) == null);
        impaired.removeIf(name -> table.get(name) == null);
        generations.keySet().removeIf(name -> table.get(name) == null);
    }

    /** Notes that a member's own record has changed. */
    void recordChanged(String name) {
        changedNames.add(name);
        recordsChanged = true;
    }

    /** Notes that the observations of these members have changed. */
    void observationsChanged(Collection<String> names) {
        changedNames.addAll(names);
    }

    /** Publishes what has changed since the last call. */
    void publish() {
        if (changedNames.isEmpty()) {
            return;
        }
        Set<String> names = new TreeSet<>(changedNames);
        if (recordsChanged) {
            names.addAll(table.observedSubjects());
        }
        names.addAll(impaired);
        recordsChanged = false;
        changedNames.clear();
        names.stream().map(table::get).filter(entry -> entry != null).forEach(this::publish);
    }

    private void publish(MembershipTable.Entry entry) {
        MemberRecord member = entry.memberRecord();
        MemberState before = states.get(member.name());
        Long generation = generations.put(member.name(), member.generation());
        boolean replaced = generation != null && generation != member.generation();
        if (replaced && before != MemberState.FAULTY && before != MemberState.LEFT) {
            publishChange(
                    member, generation, before, MemberState.FAULTY, "another life of this member has replaced it");
            before = MemberState.FAULTY;
        }
        MemberState current = stateOf(entry);
        if (current != before) {
            publishChange(member, member.generation(), before, current, reasonFor(entry, current));
        }
    }

    private void publishChange(MemberRecord member, long generation, MemberState from, MemberState to, String reason) {
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
            case LEFT -> "announced by the member itself";
            case SLOW, SUSPECT, FAULTY ->
                table.observationsOf(member.name()).entrySet().stream()
                        .map(observation -> observation.getKey()
                                + ' '
                                + observation.getValue().operatorsWord())
                        .collect(Collectors.joining(", "));
        };
    }
}
