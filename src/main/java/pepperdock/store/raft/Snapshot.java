package pepperdock.store.raft;

/** All that the entries up to a place in the log have come to; {@code state} is whatever applies them has made of them. */
public record Snapshot(long index, long term, Configuration configuration, byte[] state) {

    public static final Snapshot NONE = new Snapshot(0, 0, Configuration.NONE, new byte[0]);
}
