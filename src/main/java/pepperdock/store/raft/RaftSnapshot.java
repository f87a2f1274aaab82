package pepperdock.store.raft;

/**
 * The state that the entries up to an index led to, in their place (thesis, 5.1).
 *
 * @param index of the last entry that it covers
 * @param term of that entry
 * @param configuration the members as of that entry
 * @param state of the state machine, as the caller encoded it
 */
public record RaftSnapshot(long index, long term, VoterConfiguration configuration, byte[] state) {

    /** Of an empty log. */
    public static final RaftSnapshot NONE = new RaftSnapshot(0, 0, VoterConfiguration.NONE, new byte[0]);
}
