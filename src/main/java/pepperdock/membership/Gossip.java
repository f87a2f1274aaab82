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
final class Gossip {

    private static final double ROUNDS = 3;
    /** Items looked at in vain for one datagram: those left are too large for what room is left. */
    private static final int MISFITS = 8;

    private static final int LEAST_ITEM = 28;

    /** Where an item begins: that a member is gone or has left goes before all else, once. */
    private static final int VERDICT = 0;

    private static final int UNSENT = 1;

    private record Key(String name, boolean card) {}

    /** By how often they were sent, each in the order in which they came there. */
    private final List<LinkedHashMap<Key, Item>> bySent = new ArrayList<>();

    private final Map<Key, Integer> sent = new HashMap<>();

    /** When each came here; those longest here first. */
    private final LinkedHashMap<Key, Double> addedAt = new LinkedHashMap<>();

    void add(Item item, double now) {
        Key key = new Key(item.name(), item instanceof Card);
        int first = item instanceof Card c && c.status() != Status.HERE ? VERDICT : UNSENT;
        Integer before = sent.put(key, first);
        if (before != null) {
            bySent.get(before).remove(key);
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
        for (Iterator<Map.Entry<Key, Double>> i = addedAt.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Key, Double> oldest = i.next();
            if (oldest.getValue() >= before) {
                return;
            }
            int times = sent.get(oldest.getKey());
            if (times > UNSENT) {
                bySent.get(times).remove(oldest.getKey());
                sent.remove(oldest.getKey());
                i.remove();
            }
        }
    }

    private void put(int times, Key key, Item item) {
        while (bySent.size() <= times) {
            bySent.add(new LinkedHashMap<>());
        }
        bySent.get(times).put(key, item);
    }

    boolean isEmpty() {
        return sent.isEmpty();
    }

    /** Items for one datagram, of so many bytes at most, for a fleet of that size. */
    List<Item> take(int bytes, int members) {
        if (sent.isEmpty()) {
            return List.of();
        }
        int most = UNSENT + (int) Math.ceil(ROUNDS * (Math.log(members + 1.0) / Math.log(2)));
        List<Item> taken = new ArrayList<>();
        List<Map.Entry<Key, Integer>> moved = new ArrayList<>();
        int left = bytes;
        int misfits = 0;
        for (int times = 0; times < bySent.size() && left >= LEAST_ITEM && misfits < MISFITS; times++) {
            for (Iterator<Map.Entry<Key, Item>> i = bySent.get(times).entrySet().iterator();
                    i.hasNext() && left >= LEAST_ITEM && misfits < MISFITS; ) {
                Map.Entry<Key, Item> e = i.next();
                int size = e.getValue().size();
                if (size > left) {
                    misfits++;
                    continue;
                }
                left -= size;
                taken.add(e.getValue());
                moved.add(Map.entry(e.getKey(), times + 1));
                i.remove();
            }
        }
        for (int i = 0; i < moved.size(); i++) {
            Key key = moved.get(i).getKey();
            int times = moved.get(i).getValue();
            if (times >= most) {
                sent.remove(key);
                addedAt.remove(key);
            } else {
                sent.put(key, times);
                put(times, key, taken.get(i));
            }
        }
        return taken;
    }
}
