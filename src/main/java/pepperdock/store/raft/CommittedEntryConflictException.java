package pepperdock.store.raft;

/**
 * A leader has sent another entry for an index that is committed here. The protocol rules that out (thesis, 3.6.3, leader
 * completeness), so a disk or a peer has broken a promise; the server must not go on.
 */
public final class CommittedEntryConflictException extends IllegalStateException {

    private static final long serialVersionUID = 1;

    private final long index;

    CommittedEntryConflictException(long index) {
        super("entry " + index + " is committed, and another is sent for it");
        this.index = index;
    }

    /** The index that is committed with another entry. */
    public long index() {
        return index;
    }
}
