package pepperdock.store.raft;

/**
 * Handles the requests of the current term's leader: entries and snapshots (thesis, 3.5 and 5.1). Each response is sent
 * only once the state that it reports is synced. Used only on the thread that calls {@link RaftServer}.
 */
final class LeaderRequestHandler {

    private final RaftServer raft;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    LeaderRequestHandler(RaftServer raft) {
        this.raft = raft;
    }

    void onAppendEntries(RaftMessage.AppendEntries request) {
        RaftLog log = raft.log;
        if (request.prevIndex() < log.commitIndex() && request.prevIndex() < log.firstIndex() - 1) {
            // The previous entry is no longer in memory. Such entries are committed, so they match (thesis, 3.6.3).
            accept(request.from(), log.commitIndex(), request.round());
            return;
        }
        if (log.term(request.prevIndex()) != request.prevTerm()) {
            rejectMismatch(request);
            return;
        }
        log.merge(request.entries());
        long lastCommonIndex = request.prevIndex() + request.entries().size();
        log.commitTo(Math.min(request.leaderCommit(), lastCommonIndex));
        accept(request.from(), lastCommonIndex, request.round());
    }

    /**
     * Rejects entries whose consistency check failed. The hint lets the leader skip a whole term's entries at a time
     * (thesis, 3.5).
     */
    private void rejectMismatch(RaftMessage.AppendEntries request) {
        RaftLog log = raft.log;
        long hint = log.lastIndexNotAfterTerm(Math.min(request.prevIndex() - 1, log.lastIndex()), request.prevTerm());
        raft.sendOnceSynced(
                request.from(),
                new RaftMessage.AppendResponse(
                        raft.id, raft.term(), false, request.prevIndex(), hint, log.term(hint), request.round()));
    }

    void onInstallSnapshot(RaftMessage.InstallSnapshot request) {
        RaftLog log = raft.log;
        if (raft.coversSnapshot(request.index(), request.indexTerm())) {
            log.commitTo(request.index());
            snapshotReceiver.clear();
            accept(request.from(), Math.max(log.commitIndex(), request.index()), request.round());
            return;
        }
        RaftSnapshot snapshot = snapshotReceiver.receive(request);
        if (snapshot == null) {
            raft.sendOnceSynced(
                    request.from(),
                    new RaftMessage.InstallResponse(
                            raft.id, raft.term(), request.index(), snapshotReceiver.received(), request.round()));
            return;
        }
        log.restore(snapshot);
        raft.output(new RaftOutput.Restore(snapshot));
        accept(request.from(), snapshot.index(), request.round());
    }

    /** Responds that this log matches the leader's up to an index. */
    private void accept(long leader, long index, long round) {
        raft.sendOnceSynced(leader, new RaftMessage.AppendResponse(raft.id, raft.term(), true, index, 0, 0, round));
    }
}
