package pepperdock.store.raft;

/**
 * The state that results from the entries up to an index, and replaces them (thesis, 5.1).
 *
 * @param index index of the last entry that the snapshot covers
 * @param term term of that entry
 * @param configuration the members as of that entry
 * @param state the state of the state machine, as encoded by the caller
 */
public record RaftSnapshot(long index, long term, VoterConfiguration configuration, byte[] state) {

    /** The snapshot of an empty log. */
    public static final RaftSnapshot NONE = new RaftSnapshot(0, 0, VoterConfiguration.NONE, new byte[0]);
}
