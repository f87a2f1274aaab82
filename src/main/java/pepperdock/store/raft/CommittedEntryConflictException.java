package pepperdock.store.raft;

/**
 * Thrown when a leader sends a different entry for an index that is already committed on this server. The protocol
 * rules this out (thesis, 3.6.3, leader completeness), so a disk or a peer has violated its guarantees, and the server
 * must not continue.
 */
public final class CommittedEntryConflictException extends IllegalStateException {

    private static final long serialVersionUID = 1;

    private final long index;

    CommittedEntryConflictException(long index) {
        super("leader sent another entry for index " + index + ", which is already committed on this server");
        this.index = index;
    }

    /** Returns the index at which a different entry is already committed. */
    public long index() {
        return index;
    }
}
