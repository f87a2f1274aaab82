package pepperdock.store.raft;

/** Its disk has failed. */
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
