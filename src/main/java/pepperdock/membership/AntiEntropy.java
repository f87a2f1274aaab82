package pepperdock.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import pepperdock.membership.Message.Digest;
import pepperdock.membership.Message.Head;
import pepperdock.membership.Message.Reply;
import pepperdock.membership.Message.Rest;
import pepperdock.membership.Message.Slices;
import pepperdock.membership.Message.Summary;
import pepperdock.membership.Message.Welcome;

/**
 * Writes the messages of an exchange from the table, none larger than the room that the budget leaves. What does not fit waits
 * for the next exchange: where it begins is drawn, so that several get through all. A small table is compared by the sums of
 * its names at once; a large one by the sums of slices first, and by names only in some of those that differ.
 */
final class AntiEntropy {

    /** Names in one digest of some slices, as a rule: what an exchange can move anyway. */
    private static final int NAMES_MOST = 24;

    /** A table of so many names at most is compared by names at once. */
    private static final int SMALL = 64;

    /** Members that one who is new is told of at once; from these it learns of the others. */
    private static final int WELCOMED_WITH = 4;

    /** Bytes below which answering is not worth a stream. */
    static final int LEAST_ROOM = 400;

    private final Table table;
    private final Random chance;

    AntiEntropy(Table table, Random chance) {
        this.table = table;
        this.chance = chance;
    }

    /** For one that is new: what is held of its name, and some drawn of those here, within the room. */
    Welcome welcome(Head head, String newcomer, boolean joined, int room) {
        List<String> here = new ArrayList<>(table.rings().names());
        here.remove(newcomer);
        if (!joined) {
            here.remove(head.name());
        }
        Set<String> names = new LinkedHashSet<>(List.of(newcomer));
        for (int i = 0; i < WELCOMED_WITH && !here.isEmpty(); i++) {
            names.add(here.remove(chance.nextInt(here.size())));
        }
        return new Welcome(head, items(names, room - new Welcome(head, List.of()).size()));
    }

    /** What an exchange is opened with. */
    Message opening(Head head) {
        return table.size() <= SMALL
                ? new Digest(head, Message.ALL_SLICES, table.sums(Message.ALL_SLICES))
                : new Summary(head, table.slices());
    }

    /** By name, of some of the slices asked for; what is in the others waits. */
    Digest digest(Head head, Slices asked) {
        int slices = chosen(asked.slices(), List.of(head.name(), asked.head().name()));
        return new Digest(head, slices, table.sums(slices));
    }

    /** Which of the slices that differ are to be compared by name; null where none differs. */
    Slices differing(Head head, Summary s) {
        List<Long> own = table.slices();
        int differing = 0;
        for (int i = 0; i < Message.SLICE_COUNT; i++) {
            differing |= own.get(i).equals(s.sums().get(i)) ? 0 : 1 << i;
        }
        int slices = chosen(differing, List.of(s.head().name(), head.name()));
        return slices == 0 ? null : new Slices(head, slices);
    }

    /** Of these slices so many as have names enough here: those of the names given first, then in an order drawn. */
    private int chosen(int slices, List<String> first) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < Message.SLICE_COUNT; i++) {
            order.add(i);
        }
        Collections.shuffle(order, chance);
        first.forEach(name -> Collections.swap(order, order.indexOf(Table.slice(name)), first.indexOf(name)));
        int chosen = 0;
        int names = 0;
        for (int i : order) {
            if ((slices >>> i & 1) == 1 && (chosen == 0 || names < NAMES_MOST)) {
                chosen |= 1 << i;
                names += table.names(i).size();
            }
        }
        return chosen;
    }

    /**
     * What the sender of a digest lacks or holds otherwise, and whose it is asked for. What is held under its name, and under
     * one's own, goes first: neither may speak for itself before it knows.
     */
    Reply reply(Head head, Digest d, boolean joined, int room) {
        List<String> first = List.of(d.head().name(), head.name());
        int left = room - new Reply(head, List.of(), List.of()).size();
        List<String> wanted = new ArrayList<>();
        for (String name : drawn(first, table.lacking(d.sums()))) {
            int size = Message.text(name);
            if (wanted.size() < SMALL && size <= left / 2) {
                wanted.add(name);
                left -= size;
            }
        }
        Collection<String> names = table.against(d.sums(), d.slices());
        if (!joined) {
            names.remove(head.name());
        }
        return new Reply(head, items(drawn(first, names), left), wanted);
    }

    /** What was asked for, and this member's own. */
    Rest rest(Head head, Reply r, int room) {
        Set<String> names = new LinkedHashSet<>(List.of(head.name()));
        names.addAll(r.wanted());
        return new Rest(head, items(names, room - new Rest(head, List.of()).size()));
    }

    /** The names in their order from one drawn on, but the first ones first. */
    private Collection<String> drawn(List<String> first, Collection<String> names) {
        Set<String> all = new LinkedHashSet<>(first);
        all.retainAll(names);
        List<String> rest = new ArrayList<>(names);
        Collections.rotate(rest, rest.isEmpty() ? 0 : chance.nextInt(rest.size()));
        all.addAll(rest);
        return all;
    }

    private List<Item> items(Collection<String> names, int room) {
        List<Item> items = new ArrayList<>();
        int left = room;
        for (String name : names) {
            for (Item i : table.of(name)) {
                if (i.size() > left) {
                    return items;
                }
                left -= i.size();
                items.add(i);
            }
        }
        return items;
    }
}
