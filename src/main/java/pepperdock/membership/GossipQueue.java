package pepperdock.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is new and rides on datagrams: each item so many times as it takes to reach a fleet of that size with a margin, the
 * least often sent first; a newer item of the same kind and name takes the place of an older. At most two for each member.
 */
final class GossipQueue {

    private static final double RETRANSMIT_FACTOR = 3;
    /** Items looked at in vain for one datagram: those left are too large for what room is left. */
    private static final int MAX_MISFITS = 8;

    private static final int MIN_ITEM_BYTES = 28;

    /** Where an item begins: that a member is gone or has left goes before all else, once. */
    private static final int VERDICT_PRIORITY = 0;

    private static final int UNSENT_PRIORITY = 1;

    private record ItemKey(String name, boolean isRecord) {}

    /** By how often they were sent, each in the order in which they came there. */
    private final List<LinkedHashMap<ItemKey, GossipItem>> byTransmissions = new ArrayList<>();

    private final Map<ItemKey, Integer> transmissions = new HashMap<>();

    /** When each came here; those longest here first. */
    private final LinkedHashMap<ItemKey, Double> addedAt = new LinkedHashMap<>();

    void add(GossipItem item, double now) {
        ItemKey key = new ItemKey(item.name(), item instanceof MemberRecord);
        int first = item instanceof MemberRecord memberRecord && memberRecord.status() != RecordStatus.ALIVE
                ? VERDICT_PRIORITY
                : UNSENT_PRIORITY;
        Integer before = transmissions.put(key, first);
        if (before != null) {
            byTransmissions.get(before).remove(key);
        }
        put(first, key, item);
        addedAt.remove(key);
        addedAt.put(key, now);
    }

    /**
     * Gives up what came before that and was sent at least once: it would take the room of what is new, and where it is still
     * lacking, the sums differ and an exchange brings it.
     */
    void expire(double before) {
        for (Iterator<Map.Entry<ItemKey, Double>> iterator = addedAt.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<ItemKey, Double> oldest = iterator.next();
            if (oldest.getValue() >= before) {
                return;
            }
            int times = transmissions.get(oldest.getKey());
            if (times > UNSENT_PRIORITY) {
                byTransmissions.get(times).remove(oldest.getKey());
                transmissions.remove(oldest.getKey());
                iterator.remove();
            }
        }
    }

    private void put(int times, ItemKey key, GossipItem item) {
        while (byTransmissions.size() <= times) {
            byTransmissions.add(new LinkedHashMap<>());
        }
        byTransmissions.get(times).put(key, item);
    }

    boolean isEmpty() {
        return transmissions.isEmpty();
    }

    /** Items for one datagram, of so many bytes at most, for a fleet of that size. */
    List<GossipItem> take(int maxBytes, int members) {
        if (transmissions.isEmpty()) {
            return List.of();
        }
        int maxTransmissions =
                UNSENT_PRIORITY + (int) Math.ceil(RETRANSMIT_FACTOR * (Math.log(members + 1.0) / Math.log(2)));
        List<GossipItem> taken = new ArrayList<>();
        List<Map.Entry<ItemKey, Integer>> moved = new ArrayList<>();
        int bytesLeft = maxBytes;
        int misfits = 0;
        for (int times = 0;
                times < byTransmissions.size() && bytesLeft >= MIN_ITEM_BYTES && misfits < MAX_MISFITS;
                times++) {
            for (Iterator<Map.Entry<ItemKey, GossipItem>> i =
                            byTransmissions.get(times).entrySet().iterator();
                    i.hasNext() && bytesLeft >= MIN_ITEM_BYTES && misfits < MAX_MISFITS; ) {
                Map.Entry<ItemKey, GossipItem> entry = i.next();
                int size = entry.getValue().maxEncodedBytes();
                if (size > bytesLeft) {
                    misfits++;
                    continue;
                }
                bytesLeft -= size;
                taken.add(entry.getValue());
                moved.add(Map.entry(entry.getKey(), times + 1));
                i.remove();
            }
        }
        for (int i = 0; i < moved.size(); i++) {
            ItemKey key = moved.get(i).getKey();
            int times = moved.get(i).getValue();
            if (times >= maxTransmissions) {
                transmissions.remove(key);
                addedAt.remove(key);
            } else {
                transmissions.put(key, times);
                put(times, key, taken.get(i));
            }
        }
        return taken;
    }
}
