package pepperdock.store.raft;

/**
 * One entry of the log. Either it has {@code data}, or the members from here on, or neither: a leader's first entry.
 *
 * @param index counted from 1
 * @param configuration in force as soon as a log has it, committed or not (thesis, 4.1); null in all other entries
 */
public record RaftLogEntry(long index, long term, byte[] data, VoterConfiguration configuration) {

    static final byte[] EMPTY = new byte[0];
    /** Estimates of the bytes in memory, for limits only. */
    private static final int HEADER_BYTES = 32;

    private static final int PEER_BYTES = 96;

    /** Estimated bytes that it takes up. */
    public int size() {
        return HEADER_BYTES
                + data.length
                + (configuration == null
                        ? 0
                        : PEER_BYTES * configuration.peers().size());
    }
}
