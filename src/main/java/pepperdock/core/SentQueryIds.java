package pepperdock.core;

import java.util.Arrays;

/**
 * Remembers the ids of queries of which a part may have been sent, so that an id that comes again is not run a second
 * time. Holds at least the last {@link #GENERATION} ids and at most twice as many, as hashes in two tables of fixed size.
 * Owned by the gatherer's thread.
 */
final class SentQueryIds {

    /** Ids that are remembered at least. */
    static final int GENERATION = 1 << 14;

    /** Twice the ids of a table, so that searches stay short. */
    private static final int TABLE_SIZE = 2 * GENERATION;

    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX = 0x9e3779b97f4a7c15L;
    private static final int MIX_SHIFT = 32;
    private static final long EMPTY = 0;

    /** Keeps clients from choosing ids whose hashes are equal. */
    private final long salt;

    private long[] current = new long[TABLE_SIZE];
    private long[] previous = new long[TABLE_SIZE];
    private int count;

    /** Creates an empty memory; {@code seed} is unknown to clients. */
    SentQueryIds(long seed) {
        salt = seed * MIX;
    }

    /** Remembers an id. */
    void add(String id) {
        long hash = hash(id);
        int slot = slot(current, hash);
        if (current[slot] == hash) {
            return;
        }
        if (count == GENERATION) {
            long[] oldest = previous;
            previous = current;
            current = oldest;
            Arrays.fill(current, EMPTY);
            count = 0;
            slot = slot(current, hash);
        }
        current[slot] = hash;
        count++;
    }

    /** Returns whether an id was added recently. */
    boolean contains(String id) {
        long hash = hash(id);
        return current[slot(current, hash)] == hash || previous[slot(previous, hash)] == hash;
    }

    /** Returns the slot that holds a hash, or the free one for it. */
    private static int slot(long[] table, long hash) {
        int slot = (int) (hash >>> MIX_SHIFT) & TABLE_SIZE - 1;
        while (table[slot] != EMPTY && table[slot] != hash) {
            slot = slot + 1 & TABLE_SIZE - 1;
        }
        return slot;
    }

    private long hash(String id) {
        long hash = salt;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
            hash ^= hash >>> MIX_SHIFT;
        }
        hash *= MIX;
        return hash == EMPTY ? 1 : hash;
    }
}
