package pepperdock.membership;

import java.util.List;
import java.util.Map;

/**
 * What members say to each other. Datagrams: {@link Ping}, {@link Ack}, {@link Other}, {@link Ask}, {@link Told}. On streams:
 * {@link Digest}, {@link Reply}, {@link Rest}, one after the other, and the end. Any of them may come late, twice, out of
 * order, or never.
 */
public sealed interface Message {

    /**
     * On every message. A stranger's fleet is refused by its name before anything else is read.
     *
     * @param state a sum over what the sender holds of those here; equal sums, equal views
     */
    record Head(String fleet, String name, long life, long incarnation, String address, long state) {

        /** Bytes of a message with this head and no gossip, at most. */
        int size() {
            return 96 + fleet.length() + name.length() + address.length() + NAME_MOST;
        }
    }

    /** The longest name, of which a message may have one beside its head. */
    int NAME_MOST = 64;

    Head head();

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

    /** All that the sender holds, by name, as sums. */
    record Digest(Head head, Map<String, Long> sums) implements Message {}

    /** What the other lacks or holds otherwise, and the names of which the sender wants the same. */
    record Reply(Head head, List<Item> items, List<String> wanted) implements Message {}

    /** The items that a reply asked for. */
    record Rest(Head head, List<Item> items) implements Message {}
}
