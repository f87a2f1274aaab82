package pepperdock.store.raft;

/**
 * The state that the entries up to an index led to, in their place (thesis, 5.1).
 *
 * @param index of the last entry that it covers
 * @param term of that entry
 * @param configuration the members as of that entry
 * @param state of the state machine, as the caller encoded it
 */
public record Snapshot(long index, long term, Configuration configuration, byte[] state) {

    /** Of an empty log. */
    public static final Snapshot NONE = new Snapshot(0, 0, Configuration.NONE, new byte[0]);
}
