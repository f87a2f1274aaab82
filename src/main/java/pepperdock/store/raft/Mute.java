package pepperdock.store.raft;

/** Its disk has failed. */
final class Mute extends Role {

    Mute(Raft raft) {
        super(raft);
    }

    @Override
    Standing standing() {
        return Standing.MUTE;
    }

    @Override
    void tick() {}
}
