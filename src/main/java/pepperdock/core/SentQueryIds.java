package pepperdock.core;

import java.nio.LongBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Remembers the ids of queries of which a part may have been sent, by this process or another one of this gatherer, so
 * that an id that comes again is not run a second time. Owned by the gatherer's thread.
 */
final class SentQueryIds {

    /** The size of a shared buffer, in longs. */
    static final int SHARED_SIZE = SentIdTable.SIZE;

    private final long seed;
    private SentIdTable own;
    /** What other processes have sent, and what this one sent before {@link #share}. */
    private final List<SentIdTable> others = new ArrayList<>();

    /** Creates an empty memory; {@code seed} is unknown to clients. */
    SentQueryIds(long seed) {
        this.seed = seed;
        own = SentIdTable.inMemory(seed);
    }

    /** Remembers ids in a buffer that other processes read from now on, beside those that are there already. */
    void share(LongBuffer buffer) {
        if (own.hasIds()) {
            others.add(own);
        }
        own = SentIdTable.openOrCreate(buffer, seed);
    }

    /** Reads what another process sends from its buffer; ignores a buffer of another format. */
    void addOther(LongBuffer buffer) {
        SentIdTable other = SentIdTable.open(buffer);
        if (other != null) {
            others.add(other);
        }
    }

    /** Remembers an id. */
    void add(String id) {
        own.add(id);
    }

    /** Returns whether an id was sent recently, by this process or another one. */
    boolean contains(String id) {
        return own.contains(id) || others.stream().anyMatch(other -> other.contains(id));
    }
}
