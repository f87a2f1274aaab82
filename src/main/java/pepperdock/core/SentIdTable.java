package pepperdock.core;

import java.nio.LongBuffer;

/**
 * Hashes of the query ids that one process has sent, in a buffer of fixed size which other processes may read. Holds at
 * least the last {@link #GENERATION} ids and at most twice as many, in two hash tables: when one is full, the other is
 * cleared and filled next. A reader may miss an id that is just being added, and ids of a table that is being cleared.
 *
 * <p>The buffer begins with a header of {@link #HEADER} longs. One process adds ids, on one thread.
 */
final class SentIdTable {

    /** Ids that are remembered at least. */
    static final int GENERATION = 1 << 14;

    /** Twice the ids of a table, so that searches stay short. */
    private static final int TABLE_SIZE = 2 * GENERATION;

    private static final int HEADER = 4;
    private static final int MAGIC_AT = 0;
    private static final int SALT_AT = 1;
    private static final int CURRENT_TABLE_AT = 2;
    private static final int COUNT_AT = 3;

    /** The size of the buffer, in longs. */
    static final int SIZE = HEADER + 2 * TABLE_SIZE;

    /** Identifies the format; another one gets another number. */
    private static final long MAGIC = 0x70706473656e7401L;

    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX = 0x9e3779b97f4a7c15L;
    private static final int MIX_SHIFT = 32;
    private static final long EMPTY = 0;
    private static final int NOT_FOUND = -1;

    private final LongBuffer buffer;
    /** Keeps clients from choosing ids whose hashes are equal. */
    private final long salt;

    private SentIdTable(LongBuffer buffer) {
        this.buffer = buffer;
        salt = buffer.get(SALT_AT);
    }

    /** Returns an empty table in memory of this process alone; {@code seed} is unknown to clients. */
    static SentIdTable inMemory(long seed) {
        return openOrCreate(LongBuffer.allocate(SIZE), seed);
    }

    /** Returns the table in a buffer of {@link #SIZE} longs, to add ids to; begins a new one if there is none. */
    static SentIdTable openOrCreate(LongBuffer buffer, long seed) {
        if (!isValid(buffer)) {
            for (int i = 0; i < SIZE; i++) {
                buffer.put(i, 0);
            }
            buffer.put(SALT_AT, seed * MIX);
            buffer.put(MAGIC_AT, MAGIC);
        }
        return new SentIdTable(buffer);
    }

    /** Returns the table that another process fills; null if there is none in the buffer. */
    static SentIdTable open(LongBuffer buffer) {
        return isValid(buffer) ? new SentIdTable(buffer) : null;
    }

    private static boolean isValid(LongBuffer buffer) {
        return buffer.get(MAGIC_AT) == MAGIC
                && buffer.get(CURRENT_TABLE_AT) >>> 1 == 0
                && buffer.get(COUNT_AT) >= 0
                && buffer.get(COUNT_AT) <= GENERATION;
    }

    /** Remembers an id. */
    void add(String id) {
        long hash = hash(id);
        int table = (int) buffer.get(CURRENT_TABLE_AT);
        int slot = slot(table, hash);
        if (slot != NOT_FOUND && buffer.get(slot) == hash) {
            return;
        }
        if (slot == NOT_FOUND || buffer.get(COUNT_AT) == GENERATION) {
            table = 1 - table;
            clear(table);
            slot = slot(table, hash);
        }
        buffer.put(slot, hash);
        buffer.put(COUNT_AT, buffer.get(COUNT_AT) + 1);
    }

    private void clear(int table) {
        for (int i = 0; i < TABLE_SIZE; i++) {
            buffer.put(start(table) + i, EMPTY);
        }
        buffer.put(COUNT_AT, 0);
        buffer.put(CURRENT_TABLE_AT, table);
    }

    /** Returns whether any id was added. */
    boolean hasIds() {
        return buffer.get(COUNT_AT) > 0;
    }

    /** Returns whether an id was added recently. */
    boolean contains(String id) {
        long hash = hash(id);
        return contains(0, hash) || contains(1, hash);
    }

    private boolean contains(int table, long hash) {
        int slot = slot(table, hash);
        return slot != NOT_FOUND && buffer.get(slot) == hash;
    }

    /** Returns the slot that holds a hash, or the free one for it; {@link #NOT_FOUND} if the table is damaged and full. */
    private int slot(int table, long hash) {
        int first = (int) (hash >>> MIX_SHIFT);
        for (int i = 0; i < TABLE_SIZE; i++) {
            int slot = start(table) + (first + i & TABLE_SIZE - 1);
            long found = buffer.get(slot);
            if (found == EMPTY || found == hash) {
                return slot;
            }
        }
        return NOT_FOUND;
    }

    private static int start(int table) {
        return HEADER + table * TABLE_SIZE;
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
