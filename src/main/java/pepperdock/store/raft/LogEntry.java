package pepperdock.store.raft;

/**
 * One place in the log. Either {@code data}, or who takes part from here on, or neither: a leader's first entry.
 *
 * @param index counted from 1
 * @param configuration in force as soon as a log has it, committed or not; null in all other entries
 */
public record LogEntry(long index, long term, byte[] data, Configuration configuration) {

    static final byte[] EMPTY = new byte[0];
    private static final int HEAD = 32;
    private static final int PEER = 96;

    /** Bytes that it takes up, about. */
    public int size() {
        return HEAD
                + data.length
                + (configuration == null ? 0 : PEER * configuration.peers().size());
    }
}
