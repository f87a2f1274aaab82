package pepperdock.store;

/**
 * One write.
 *
 * @param seq its sequence number, one more than that of the entry before
 * @param value null removes the key; not to be changed by anyone who holds it
 */
public record StoreEntry(long seq, String key, byte[] value) {}
