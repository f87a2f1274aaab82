package pepperdock.transport;

/**
 * Counts the memory held for input of clients that is not served yet, so that hundreds of slow, stalled or flooding
 * clients together stay within the heap. Owned by the I/O thread.
 */
final class InputMemory {

    /** The share of the heap, as a divisor, that unserved input may use. */
    private static final int HEAP_DIVISOR = 8;

    /** The share of the limit, as a divisor, that is free after unserved input has been given up. */
    private static final int SPARE_DIVISOR = 8;

    private final long limitBytes = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    private long heldBytes;

    /** Records that a connection holds more, or less if negative. */
    void add(long bytes) {
        heldBytes += bytes;
    }

    /** Returns whether more is held than the limit. */
    boolean isExceeded() {
        return heldBytes > limitBytes;
    }

    /** Returns the bytes to free once the limit is exceeded: some more than the excess, so that this is seldom needed. */
    long bytesToFree() {
        return heldBytes - limitBytes + limitBytes / SPARE_DIVISOR;
    }
}
