package pepperdock.store;

/**
 * One write to the store.
 *
 * @param seq its sequence number, one more than that of the previous entry
 * @param value null if the key is removed; the array must not be modified
 */
public record StoreEntry(long seq, String key, byte[] value) {}
