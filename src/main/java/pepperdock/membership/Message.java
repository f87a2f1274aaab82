package pepperdock.membership;

import java.util.List;
import java.util.Map;

/**
 * What members say to each other. Datagrams: {@link Ping}, {@link Ack}, {@link Other}, {@link Ask}, {@link Told},
 * {@link Join}, {@link Welcome}. On streams: {@link Summary} and {@link Slices} where the table is large, {@link Digest},
 * {@link Reply}, {@link Rest}, one after the other, and the end. Any of them may come late, twice, out of order, or never.
 */
public sealed interface Message {

    /**
     * On every message. A stranger's fleet is refused by its name before anything else is read.
     *
     * @param state a sum over what the sender holds of those here; equal sums, equal views
     */
    record Head(String fleet, String name, long life, long incarnation, String address, long state) {

        /** Bytes on the wire with version and kind, at most. */
        int size() {
            return 3 + 3 * NUMBER + text(fleet) + text(name) + text(address);
        }
    }

    /** Bytes of a number, and of the start of a list or of its end, at most. */
    int NUMBER = 9;

    int BRACKET = 1;

    /** Parts of the names, by a hash of them, that are compared each as a whole. */
    int SLICE_COUNT = 32;

    /** Every slice of the names, as bits. */
    int ALL_SLICES = -1;

    /** Bytes of a text of at most 255 letters, at most. */
    static int text(String s) {
        return 2 + s.length();
    }

    private static int items(List<Item> items) {
        return 2 * BRACKET + items.stream().mapToInt(Item::size).sum();
    }

    Head head();

    /** Bytes on the wire, at most, headers below it aside. */
    default int size() {
        int size = head().size() + BRACKET;
        if (this instanceof Ping p) {
            size += text(p.to()) + 2 * NUMBER + items(p.gossip());
        } else if (this instanceof Ack a) {
            size += NUMBER + items(a.gossip());
        } else if (this instanceof Other o) {
            size += text(o.wanted()) + NUMBER;
        } else if (this instanceof Ask a) {
            size += text(a.subject()) + text(a.address()) + 2 * NUMBER;
        } else if (this instanceof Told t) {
            size += text(t.subject()) + 2 * NUMBER;
        } else if (this instanceof Welcome w) {
            size += items(w.items());
        } else if (this instanceof Summary s) {
            size += 2 * BRACKET + NUMBER * s.sums().size();
        } else if (this instanceof Slices) {
            size += NUMBER;
        } else if (this instanceof Digest d) {
            size += NUMBER + 2 * BRACKET;
            for (String name : d.sums().keySet()) {
                size += text(name) + NUMBER;
            }
        } else if (this instanceof Reply r) {
            size += items(r.items()) + 2 * BRACKET;
            for (String name : r.wanted()) {
                size += text(name);
            }
        } else if (this instanceof Rest r) {
            size += items(r.items());
        }
        return size;
    }

    /** Are you there, you of this name and life? Sequence numbers are the sender's own, by subject. */
    record Ping(Head head, String to, long life, long seq, List<Item> gossip) implements Message {}

    /** The answer to a ping. */
    record Ack(Head head, long seq, List<Item> gossip) implements Message {}

    /** Answers a ping that wanted another life, or another name, at this address: the one asked for is not here. */
    record Other(Head head, String wanted, long life) implements Message {}

    /** Ping this subject for me. */
    record Ask(Head head, String subject, long life, String address, long seq) implements Message {}

    /** The subject that I was asked to ping has answered. */
    record Told(Head head, String subject, long life, long seq) implements Message {}

    /** I am new: what is held of my name, and who is there? */
    record Join(Head head) implements Message {}

    /** Answers that: what the sender holds of the name, and a few of those here. */
    record Welcome(Head head, List<Item> items) implements Message {}

    /** All that the sender holds, as one sum for each slice of the names. */
    record Summary(Head head, List<Long> sums) implements Message {}

    /** Of a summary's slices, those to be compared by name, as bits. */
    record Slices(Head head, int slices) implements Message {}

    /** All that the sender holds in these slices, by name, as sums. */
    record Digest(Head head, int slices, Map<String, Long> sums) implements Message {}

    /** What the other lacks or holds otherwise, and the names of which the sender wants the same. */
    record Reply(Head head, List<Item> items, List<String> wanted) implements Message {}

    /** The items that a reply asked for. */
    record Rest(Head head, List<Item> items) implements Message {}
}
