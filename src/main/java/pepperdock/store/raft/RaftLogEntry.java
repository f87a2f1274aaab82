package pepperdock.store.raft;

/**
 * One entry of the log. It has either {@code data}, or a configuration with the members from this entry on, or neither:
 * the first entry of a leader is empty.
 *
 * @param index counted from 1
 * @param configuration in force as soon as a log contains the entry, committed or not (thesis, 4.1); null in all other
 *     entries
 */
public record RaftLogEntry(long index, long term, byte[] data, VoterConfiguration configuration) {

    static final byte[] EMPTY = new byte[0];
    /** Estimated size of an entry without its data, in bytes of memory; used for limits only. */
    private static final int HEADER_BYTES = 32;

    /** Estimated size of one member of a configuration, in bytes of memory; used for limits only. */
    private static final int PEER_BYTES = 96;

    /** Returns the estimated size of the entry in memory, in bytes. */
    public int size() {
        return HEADER_BYTES
                + data.length
                + (configuration == null
                        ? 0
                        : PEER_BYTES * configuration.peers().size());
    }
}
