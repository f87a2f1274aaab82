package pepperdock.store.raft;

/** The role of a server whose disk has failed: it neither sends nor accepts anything any more. */
final class StorageFailed extends Role {

    StorageFailed(Raft raft) {
        super(raft);
    }

    @Override
    PeerState state() {
        return PeerState.STORAGE_FAILED;
    }

    @Override
    void tick() {}
}
