package pepperdock.membership;

import java.util.List;
import java.util.Map;

/**
 * A message between members. Datagrams are {@link Ping}, {@link Ack}, {@link IndirectPing} and {@link IndirectAck}
 * (SWIM, section 3.1), {@link WrongAddressee}, {@link Join} and {@link JoinResponse}. Streams carry, one after the
 * other, {@link SliceDigests} and {@link SliceSelection} if the table is large, then {@link DigestRequest},
 * {@link DigestResponse} and {@link MissingItems}. Any of them may arrive late, twice, out of order, or never.
 */
public sealed interface Message {

    /** Most bytes of a number. */
    int MAX_NUMBER_BYTES = 9;

    /** Bytes of the start of a list, or of its end. */
    int BRACKET_BYTES = 1;

    /** Number of slices that names are divided into by a hash; each slice is compared as a whole. */
    int SLICE_COUNT = 32;

    /** All slices, as bits. */
    int ALL_SLICES = -1;

    /**
     * The first part of every message. A message with the name of another fleet is rejected.
     *
     * @param generation generation of the sender
     * @param stateDigest digest of the items that the sender holds of all members that are alive; equal digests mean
     *     equal views
     */
    record Header(String fleet, String name, long generation, long incarnation, String address, long stateDigest) {

        /** Returns the most bytes on the wire, with version and kind. */
        int maxEncodedBytes() {
            return 3 + 3 * MAX_NUMBER_BYTES + maxTextBytes(fleet) + maxTextBytes(name) + maxTextBytes(address);
        }
    }

    /** Returns the header, which names the sender and its fleet. */
    Header header();

    /** Returns the most bytes after the header. */
    int maxBodyBytes();

    /** Returns the most bytes on the wire, without the headers of UDP or TCP. */
    default int maxEncodedBytes() {
        return header().maxEncodedBytes() + BRACKET_BYTES + maxBodyBytes();
    }

    /** Returns the most bytes of a text of up to 255 characters. */
    static int maxTextBytes(String text) {
        return 2 + text.length();
    }

    private static int maxItemsBytes(List<GossipItem> items) {
        return 2 * BRACKET_BYTES
                + items.stream().mapToInt(GossipItem::maxEncodedBytes).sum();
    }

    private static int maxNamesBytes(Iterable<String> names, int bytesWithEach) {
        int size = 2 * BRACKET_BYTES;
        for (String name : names) {
            size += maxTextBytes(name) + bytesWithEach;
        }
        return size;
    }

    /**
     * Asks a member of this name and generation for an {@link Ack}. Sequence numbers are the sender's own, counted by
     * subject.
     */
    record Ping(Header header, String target, long generation, long sequence, List<GossipItem> gossip)
            implements Message {
        @Override
        public int maxBodyBytes() {
            return maxTextBytes(target) + 2 * MAX_NUMBER_BYTES + maxItemsBytes(gossip);
        }
    }

    /** Acknowledges a ping. */
    record Ack(Header header, long sequence, List<GossipItem> gossip) implements Message {
        @Override
        public int maxBodyBytes() {
            return MAX_NUMBER_BYTES + maxItemsBytes(gossip);
        }
    }

    /** Answers a ping for another name or generation than the one at this address. */
    record WrongAddressee(Header header, String target, long generation) implements Message {
        @Override
        public int maxBodyBytes() {
            return maxTextBytes(target) + MAX_NUMBER_BYTES;
        }
    }

    /** Asks the receiver to ping a subject on the sender's behalf. */
    record IndirectPing(Header header, String subject, long generation, String address, long sequence)
            implements Message {
        @Override
        public int maxBodyBytes() {
            return maxTextBytes(subject) + maxTextBytes(address) + 2 * MAX_NUMBER_BYTES;
        }
    }

    /** Tells the requester of an {@link IndirectPing} that the subject has acknowledged it. */
    record IndirectAck(Header header, String subject, long generation, long sequence) implements Message {
        @Override
        public int maxBodyBytes() {
            return maxTextBytes(subject) + 2 * MAX_NUMBER_BYTES;
        }
    }

    /** Sent by a new member to ask for the items held under its name, and for other members. */
    record Join(Header header) implements Message {
        @Override
        public int maxBodyBytes() {
            return 0;
        }
    }

    /** Answers a {@link Join} with the items held under the name, and a few of the members that are alive. */
    record JoinResponse(Header header, List<GossipItem> items) implements Message {
        @Override
        public int maxBodyBytes() {
            return maxItemsBytes(items);
        }
    }

    /** One digest for each slice, over all items that the sender holds in the slice. */
    record SliceDigests(Header header, List<Long> digests) implements Message {
        @Override
        public int maxBodyBytes() {
            return 2 * BRACKET_BYTES + MAX_NUMBER_BYTES * digests.size();
        }
    }

    /** Selects the slices that differ and are to be compared by name; each bit stands for a slice. */
    record SliceSelection(Header header, int slices) implements Message {
        @Override
        public int maxBodyBytes() {
            return MAX_NUMBER_BYTES;
        }
    }

    /** The digest of each member that the sender holds in these slices, by name. */
    record DigestRequest(Header header, int slices, Map<String, Long> digests) implements Message {
        @Override
        public int maxBodyBytes() {
            return MAX_NUMBER_BYTES + maxNamesBytes(digests.keySet(), MAX_NUMBER_BYTES);
        }
    }

    /**
     * The items that the other side lacks or holds in another version, and the names whose items the sender requests in
     * turn.
     */
    record DigestResponse(Header header, List<GossipItem> items, List<String> requestedNames) implements Message {
        @Override
        public int maxBodyBytes() {
            return maxItemsBytes(items) + maxNamesBytes(requestedNames, 0);
        }
    }

    /** The items that a {@link DigestResponse} requested. */
    record MissingItems(Header header, List<GossipItem> items) implements Message {
        @Override
        public int maxBodyBytes() {
            return maxItemsBytes(items);
        }
    }
}
