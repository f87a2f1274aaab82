package pepperdock.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The state of each member as it was last told, read from the table by one rule, and the changes of it: each told once, under
 * numbers that count up.
 */
final class MemberStates {

    private final Table table;
    private final Consumer<View.Change> changes;
    private final Map<String, Standing> states = new TreeMap<>();
    /** Those slow or cut off: looked at again with each change, as what was said of them may have been taken back. */
    private final Set<String> impaired = new TreeSet<>();

    private final Map<String, Long> lives = new HashMap<>();
    private final Set<String> touched = new TreeSet<>();
    /** A member came, went or returned: what it says of others, and how many observe them, may count otherwise now. */
    private boolean recordsTouched;

    private long number;

    MemberStates(Table table, Consumer<View.Change> changes) {
        this.table = table;
        this.changes = changes;
    }

    /** The number of the last change told. */
    long number() {
        return number;
    }

    /** The state last told; here where none was. */
    Standing of(String name) {
        return states.getOrDefault(name, Standing.HERE);
    }

    /** Forgets whom the table has no more. */
    void forgetUnknown() {
        states.keySet().removeIf(n -> table.get(n) == null);
        impaired.removeIf(n -> table.get(n) == null);
        lives.keySet().removeIf(n -> table.get(n) == null);
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

    /** Tells what has changed since the last call. */
    void tell() {
        if (touched.isEmpty()) {
            return;
        }
        Set<String> names = new TreeSet<>(touched);
        if (recordsTouched) {
            names.addAll(table.spokenOf());
        }
        names.addAll(impaired);
        recordsTouched = false;
        touched.clear();
        names.stream().map(table::get).filter(e -> e != null).forEach(this::tell);
    }

    private void tell(Table.Entry entry) {
        Card card = entry.card();
        Standing before = states.get(card.name());
        Long life = lives.put(card.name(), card.life());
        if (life != null && life != card.life() && before != Standing.GONE && before != Standing.LEFT) {
            change(card, life, before, Standing.GONE, "another life of it has taken its place");
            before = Standing.GONE;
        }
        Standing is = state(entry);
        if (is != before) {
            change(card, card.life(), before, is, why(entry, is));
        }
    }

    private void change(Card card, long life, Standing from, Standing to, String why) {
        states.put(card.name(), to);
        if (to == Standing.SLOW || to == Standing.CUT_OFF) {
            impaired.add(card.name());
        } else {
            impaired.remove(card.name());
        }
        changes.accept(new View.Change(++number, card.name(), life, card.incarnation(), from, to, why));
    }

    private Standing state(Table.Entry entry) {
        if (!entry.here()) {
            return entry.card().status() == Status.LEFT ? Standing.LEFT : Standing.GONE;
        }
        String name = entry.card().name();
        int slow = 0;
        for (Map.Entry<String, Word> said : table.saidOf(name).entrySet()) {
            Table.Entry observer = table.get(said.getKey());
            if (observer.here() && !observer.links().ill()) {
                if (said.getValue() != Word.SLOW) {
                    return Standing.CUT_OFF;
                }
                slow++;
            }
        }
        int observers = table.rings().observersOf(name).size();
        return slow > 0 && 2 * slow >= observers ? Standing.SLOW : Standing.HERE;
    }

    private String why(Table.Entry entry, Standing is) {
        Card card = entry.card();
        return switch (is) {
            case HERE -> card.incarnation() > 0 ? "incarnation " + card.incarnation() : "";
            case LEFT -> "it said so";
            case SLOW, CUT_OFF, GONE ->
                table.saidOf(card.name()).entrySet().stream()
                        .map(s -> s.getKey() + ' ' + s.getValue().name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining(", "));
        };
    }
}
