package pepperdock.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of items to piggyback on datagrams: the dissemination buffer of SWIM, section 4.1. Each item is sent a number
 * of times that grows with the logarithm of the fleet size, those sent least often first. A newer item of the same kind
 * and name replaces an older one, so there are at most two items for each member. Owned by the thread that calls
 * {@link Membership}.
 */
final class GossipQueue {

    /** Transmissions of an item for each doubling of the fleet (lambda of SWIM, section 4.1). */
    private static final double RETRANSMIT_FACTOR = 3;
    /**
     * Items skipped for one datagram because of their size, after which the other items are taken to be too large as
     * well.
     */
    private static final int MAX_SKIPPED_ITEMS = 8;

    /** Bytes of the smallest item. */
    private static final int MIN_ITEM_BYTES = 28;

    /** Initial transmission count of a record of a faulty or left member, which is sent before all else, once. */
    private static final int INITIAL_VERDICT_TRANSMISSIONS = 0;

    /** Initial transmission count of all other items. */
    private static final int INITIAL_TRANSMISSIONS = 1;

    private record ItemKey(String name, boolean isRecord) {}

    /** Items by number of transmissions, each list in the order in which the items came there. */
    private final List<LinkedHashMap<ItemKey, GossipItem>> byTransmissions = new ArrayList<>();

    private final Map<ItemKey, Integer> transmissions = new HashMap<>();

    /** When each item was added, the oldest first. */
    private final LinkedHashMap<ItemKey, Double> addedAt = new LinkedHashMap<>();

    /** Adds a new item. */
    void add(GossipItem item, double now) {
        ItemKey key = new ItemKey(item.name(), item instanceof MemberRecord);
        int first = isVerdict(item) ? INITIAL_VERDICT_TRANSMISSIONS : INITIAL_TRANSMISSIONS;
        Integer before = transmissions.put(key, first);
        if (before != null) {
            byTransmissions.get(before).remove(key);
        }
        put(first, key, item);
        addedAt.remove(key);
        addedAt.put(key, now);
    }

    private static boolean isVerdict(GossipItem item) {
        return item instanceof MemberRecord memberRecord && memberRecord.status() != RecordStatus.ALIVE;
    }

    /**
     * Drops items that were added before that time and sent at least once: they would take the room of new ones. Where
     * they are still missing, digests differ and an exchange brings them.
     */
    void expire(double before) {
        for (Iterator<Map.Entry<ItemKey, Double>> iterator = addedAt.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<ItemKey, Double> oldest = iterator.next();
            if (oldest.getValue() >= before) {
                return;
            }
            int sent = transmissions.get(oldest.getKey());
            if (sent > INITIAL_TRANSMISSIONS) {
                byTransmissions.get(sent).remove(oldest.getKey());
                transmissions.remove(oldest.getKey());
                iterator.remove();
            }
        }
    }

    private void put(int sent, ItemKey key, GossipItem item) {
        while (byTransmissions.size() <= sent) {
            byTransmissions.add(new LinkedHashMap<>());
        }
        byTransmissions.get(sent).put(key, item);
    }

    boolean isEmpty() {
        return transmissions.isEmpty();
    }

    /** Takes items for one datagram, of at most this many bytes in total, for a fleet of this many members. */
    List<GossipItem> take(int maxBytes, int members) {
        if (transmissions.isEmpty()) {
            return List.of();
        }
        List<GossipItem> taken = new ArrayList<>();
        List<Map.Entry<ItemKey, Integer>> moved = new ArrayList<>();
        int bytesLeft = maxBytes;
        int skipped = 0;
        for (int sent = 0;
                sent < byTransmissions.size() && bytesLeft >= MIN_ITEM_BYTES && skipped < MAX_SKIPPED_ITEMS;
                sent++) {
            for (Iterator<Map.Entry<ItemKey, GossipItem>> iterator =
                            byTransmissions.get(sent).entrySet().iterator();
                    iterator.hasNext() && bytesLeft >= MIN_ITEM_BYTES && skipped < MAX_SKIPPED_ITEMS; ) {
                Map.Entry<ItemKey, GossipItem> entry = iterator.next();
                int size = entry.getValue().maxEncodedBytes();
                if (size > bytesLeft) {
                    skipped++;
                    continue;
                }
                bytesLeft -= size;
                taken.add(entry.getValue());
                moved.add(Map.entry(entry.getKey(), sent + 1));
                iterator.remove();
            }
        }
        requeue(moved, taken, maxTransmissions(members));
        return taken;
    }

    private static int maxTransmissions(int members) {
        return INITIAL_TRANSMISSIONS + (int) Math.ceil(RETRANSMIT_FACTOR * (Math.log(members + 1.0) / Math.log(2)));
    }

    /** Puts taken items back under their new number of transmissions, and drops those sent often enough. */
    private void requeue(List<Map.Entry<ItemKey, Integer>> moved, List<GossipItem> taken, int maxTransmissions) {
        for (int i = 0; i < moved.size(); i++) {
            ItemKey key = moved.get(i).getKey();
            int sent = moved.get(i).getValue();
            if (sent >= maxTransmissions) {
                transmissions.remove(key);
                addedAt.remove(key);
            } else {
                transmissions.put(key, sent);
                put(sent, key, taken.get(i));
            }
        }
    }
}
