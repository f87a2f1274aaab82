package pepperdock.store.raft;

/** The role of a server whose disk has failed; the server neither sends nor accepts anything any more. */
final class StorageFailedRole extends RaftRole {

    StorageFailedRole(RaftServer raft) {
        super(raft);
    }

    @Override
    RaftPeerState state() {
        return RaftPeerState.STORAGE_FAILED;
    }

    @Override
    void tick() {}
}
