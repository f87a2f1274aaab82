package pepperdock.membership;

import java.util.List;
import java.util.Map;

/**
 * What members say to each other. Datagrams: {@link Ping}, {@link Ack}, {@link WrongAddressee}, {@link IndirectPing}, {@link IndirectAck},
 * {@link Join}, {@link JoinResponse}. On streams: {@link SliceDigests} and {@link SliceSelection} where the table is large, {@link DigestRequest},
 * {@link DigestResponse}, {@link MissingItems}, one after the other, and the end. Any of them may come late, twice, out of order, or never.
 */
public sealed interface Message {

    /**
     * On every message. A stranger's fleet is refused by its name before anything else is read.
     *
     * @param state a sum over what the sender holds of those here; equal sums, equal views
     */
    record Header(String fleet, String name, long generation, long incarnation, String address, long stateDigest) {

        /** Bytes on the wire with version and kind, at most. */
        int maxEncodedBytes() {
            return 3 + 3 * MAX_NUMBER_BYTES + maxTextBytes(fleet) + maxTextBytes(name) + maxTextBytes(address);
        }
    }

    /** Bytes of a number, and of the start of a list or of its end, at most. */
    int MAX_NUMBER_BYTES = 9;

    int BRACKET_BYTES = 1;

    /** Parts of the names, by a hash of them, that are compared each as a whole. */
    int SLICE_COUNT = 32;

    /** Every slice of the names, as bits. */
    int ALL_SLICES = -1;

    /** Bytes of a text of at most 255 letters, at most. */
    static int maxTextBytes(String text) {
        return 2 + text.length();
    }

    private static int maxItemsBytes(List<GossipItem> items) {
        return 2 * BRACKET_BYTES
                + items.stream().mapToInt(GossipItem::maxEncodedBytes).sum();
    }

    Header header();

    /** Bytes on the wire, at most, headers below it aside. */
    default int maxEncodedBytes() {
        int size = header().maxEncodedBytes() + BRACKET_BYTES;
        if (this instanceof Ping p) {
            size += maxTextBytes(p.target()) + 2 * MAX_NUMBER_BYTES + maxItemsBytes(p.gossip());
        } else if (this instanceof Ack a) {
            size += MAX_NUMBER_BYTES + maxItemsBytes(a.gossip());
        } else if (this instanceof WrongAddressee o) {
            size += maxTextBytes(o.target()) + MAX_NUMBER_BYTES;
        } else if (this instanceof IndirectPing a) {
            size += maxTextBytes(a.subject()) + maxTextBytes(a.address()) + 2 * MAX_NUMBER_BYTES;
        } else if (this instanceof IndirectAck t) {
            size += maxTextBytes(t.subject()) + 2 * MAX_NUMBER_BYTES;
        } else if (this instanceof JoinResponse w) {
            size += maxItemsBytes(w.items());
        } else if (this instanceof SliceDigests s) {
            size += 2 * BRACKET_BYTES + MAX_NUMBER_BYTES * s.digests().size();
        } else if (this instanceof SliceSelection) {
            size += MAX_NUMBER_BYTES;
        } else if (this instanceof DigestRequest d) {
            size += MAX_NUMBER_BYTES + 2 * BRACKET_BYTES;
            for (String name : d.digests().keySet()) {
                size += maxTextBytes(name) + MAX_NUMBER_BYTES;
            }
        } else if (this instanceof DigestResponse r) {
            size += maxItemsBytes(r.items()) + 2 * BRACKET_BYTES;
            for (String name : r.requestedNames()) {
                size += maxTextBytes(name);
            }
        } else if (this instanceof MissingItems r) {
            size += maxItemsBytes(r.items());
        }
        return size;
    }

    /** Are you there, you of this name and life? Sequence numbers are the sender's own, by subject. */
    record Ping(Header header, String target, long generation, long sequence, List<GossipItem> gossip)
            implements Message {}

    /** The answer to a ping. */
    record Ack(Header header, long sequence, List<GossipItem> gossip) implements Message {}

    /** Answers a ping that wanted another life, or another name, at this address: the one asked for is not here. */
    record WrongAddressee(Header header, String target, long generation) implements Message {}

    /** Ping this subject for me. */
    record IndirectPing(Header header, String subject, long generation, String address, long sequence)
            implements Message {}

    /** The subject that I was asked to ping has answered. */
    record IndirectAck(Header header, String subject, long generation, long sequence) implements Message {}

    /** I am new: what is held of my name, and who is there? */
    record Join(Header header) implements Message {}

    /** Answers that: what the sender holds of the name, and a few of those here. */
    record JoinResponse(Header header, List<GossipItem> items) implements Message {}

    /** All that the sender holds, as one sum for each slice of the names. */
    record SliceDigests(Header header, List<Long> digests) implements Message {}

    /** Of a summary's slices, those to be compared by name, as bits. */
    record SliceSelection(Header header, int slices) implements Message {}

    /** All that the sender holds in these slices, by name, as sums. */
    record DigestRequest(Header header, int slices, Map<String, Long> digests) implements Message {}

    /** What the other lacks or holds otherwise, and the names of which the sender wants the same. */
    record DigestResponse(Header header, List<GossipItem> items, List<String> requestedNames) implements Message {}

    /** The items that a reply asked for. */
    record MissingItems(Header header, List<GossipItem> items) implements Message {}
}
