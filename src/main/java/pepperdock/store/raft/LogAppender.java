package pepperdock.store.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Brings one follower's log up to the leader's (thesis, 3.5): sends entries, or a snapshot in chunks where the entries are
 * compacted (5.1), and takes in the answers. Owned by the thread that calls {@link RaftServer}.
 */
final class LogAppender {

    private final RaftServer raft;
    private final long follower;
    private final FollowerInfo progress;

    LogAppender(RaftServer raft, long follower) {
        this.raft = raft;
        this.follower = follower;
        progress = new FollowerInfo(raft.log.lastIndex() + 1);
    }

    /** What the leader knows of the follower. */
    FollowerInfo progress() {
        return progress;
    }

    // ---- Answers ------------------------------------------------------------

    /** The follower's log is not the leader's at the index before the entries that were sent. */
    void onMismatch(RaftMessage.AppendResponse response) {
        if (progress.mode == FollowerInfo.Mode.REPLICATE) {
            if (response.index() > progress.matchIndex) {
                progress.startProbing();
            }
        } else if (progress.mode == FollowerInfo.Mode.PROBE && progress.nextIndex - 1 == response.index()) {
            long lastCommonIndex = raft.log.lastIndexNotAfterTerm(response.hint(), response.hintTerm());
            progress.nextIndex = Math.max(progress.matchIndex, Math.min(response.index() - 1, lastCommonIndex)) + 1;
            progress.waiting = false;
        }
    }

    /** The follower holds so much of the snapshot that is being sent. */
    void onInstallResponse(RaftMessage.InstallResponse response) {
        if (progress.mode == FollowerInfo.Mode.SNAPSHOT && progress.snapshot.index() == response.index()) {
            progress.offset = (int) Math.min(response.receivedBytes(), progress.snapshot.state().length);
            progress.waiting = false;
        }
    }

    // ---- Sending ------------------------------------------------------------

    /**
     * Sends what the follower lacks, as far as it may be sent now; where nothing is sent, a heartbeat with the round or the
     * commit index that the follower has not been told of yet.
     */
    void send(long round, boolean heartbeatDue) {
        if (heartbeatDue) {
            // What was in flight may be lost.
            progress.waiting = false;
        }
        if (progress.mode != FollowerInfo.Mode.SNAPSHOT && progress.nextIndex < raft.log.firstIndex()) {
            progress.startSnapshot(raft.log.snapshot());
        }
        if (progress.mode == FollowerInfo.Mode.SNAPSHOT) {
            sendSnapshot(round);
            return;
        }
        boolean sent = sendMissingEntries(round);
        boolean commitUnknown = progress.commitSent < Math.min(raft.log.commitIndex(), progress.matchIndex);
        if (!sent && (progress.roundSent < round || commitUnknown)) {
            sendEntries(round, List.of());
        }
    }

    private boolean sendMissingEntries(long round) {
        boolean sent = false;
        while (!progress.waiting
                && progress.inFlight.size() < raft.settings.maxInFlight()
                && progress.nextIndex <= raft.log.lastIndex()) {
            List<RaftLogEntry> entries = raft.log.entriesFrom(progress.nextIndex, raft.settings.maxMessageBytes());
            sendEntries(round, entries);
            sent = true;
            if (progress.mode == FollowerInfo.Mode.REPLICATE) {
                progress.nextIndex += entries.size();
                progress.inFlight.add(progress.nextIndex - 1);
            } else {
                progress.waiting = true;
            }
        }
        return sent;
    }

    private void sendEntries(long round, List<RaftLogEntry> entries) {
        progress.roundSent = round;
        progress.commitSent = raft.log.commitIndex();
        raft.send(
                follower,
                new RaftMessage.AppendEntries(
                        raft.id,
                        raft.term(),
                        progress.nextIndex - 1,
                        raft.log.term(progress.nextIndex - 1),
                        entries,
                        raft.log.commitIndex(),
                        round));
    }

    private void sendSnapshot(long round) {
        if (progress.waiting && progress.roundSent == round) {
            return;
        }
        RaftSnapshot snapshot = progress.snapshot;
        byte[] state = snapshot.state();
        int end = Math.min(state.length, progress.offset + raft.settings.maxMessageBytes());
        raft.send(
                follower,
                new RaftMessage.InstallSnapshot(
                        raft.id,
                        raft.term(),
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.configuration(),
                        state.length,
                        progress.offset,
                        Arrays.copyOfRange(state, progress.offset, end),
                        round));
        progress.waiting = true;
        progress.roundSent = round;
    }
}
