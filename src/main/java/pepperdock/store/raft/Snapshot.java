package pepperdock.store.raft;

/** All that the entries up to a place in the log have come to; {@code state} is whatever applies them has made of them. */
public record Snapshot(long index, long term, Members members, byte[] state) {

    public static final Snapshot NONE = new Snapshot(0, 0, Members.NONE, new byte[0]);
}
