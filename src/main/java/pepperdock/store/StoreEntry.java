package pepperdock.store;

/** One write: its place in the log, its key and its value; a null value removes the key. */
public record StoreEntry(long seq, String key, byte[] value) {}
