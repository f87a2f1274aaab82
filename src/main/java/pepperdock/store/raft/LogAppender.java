package pepperdock.store.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Brings one follower's log up to date with the leader's (thesis, 3.5): sends entries, or a snapshot in chunks if the
 * entries are compacted (5.1), and handles the responses. Used only on the thread that calls {@link RaftServer}.
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

    /** Returns what the leader knows of the follower. */
    FollowerInfo progress() {
        return progress;
    }

    // ---- Responses ------------------------------------------------------------

    /**
     * Handles the response that the follower's log does not match the leader's at the index before the entries that
     * were sent.
     */
    void onMismatch(RaftMessage.AppendResponse response) {
        if (progress.mode == FollowerInfo.Mode.REPLICATE) {
            if (response.index() > progress.matchIndex) {
                progress.startProbing();
            }
        } else if (progress.mode == FollowerInfo.Mode.PROBE && progress.nextIndex - 1 == response.index()) {
            long lastCommonIndex = raft.log.lastIndexNotAfterTerm(response.hint(), response.hintTerm());
            progress.nextIndex = Math.max(progress.matchIndex, Math.min(response.index() - 1, lastCommonIndex)) + 1;
            progress.awaitingResponse = false;
        }
    }

    /** Records how many bytes the follower has received of the snapshot that is being sent. */
    void onInstallResponse(RaftMessage.InstallResponse response) {
        if (progress.mode == FollowerInfo.Mode.SNAPSHOT && progress.snapshot.index() == response.index()) {
            progress.nextChunkOffset = (int) Math.min(response.receivedBytes(), progress.snapshot.state().length);
            progress.awaitingResponse = false;
        }
    }

    // ---- Sending ------------------------------------------------------------

    /**
     * Sends the entries or the part of a snapshot that the follower lacks, as far as the limits allow now. If no
     * entries are sent, sends a heartbeat when the follower has not been told the current round or commit index yet.
     */
    void send(long round, boolean heartbeatDue) {
        if (heartbeatDue) {
            // The message in flight may be lost.
            progress.awaitingResponse = false;
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
        while (!progress.awaitingResponse
                && progress.inFlight.size() < raft.settings.maxInFlight()
                && progress.nextIndex <= raft.log.lastIndex()) {
            List<RaftLogEntry> entries = raft.log.entriesFrom(progress.nextIndex, raft.settings.maxMessageBytes());
            sendEntries(round, entries);
            sent = true;
            if (progress.mode == FollowerInfo.Mode.REPLICATE) {
                progress.nextIndex += entries.size();
                progress.inFlight.add(progress.nextIndex - 1);
            } else {
                progress.awaitingResponse = true;
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
        if (progress.awaitingResponse && progress.roundSent == round) {
            return;
        }
        RaftSnapshot snapshot = progress.snapshot;
        byte[] state = snapshot.state();
        int end = Math.min(state.length, progress.nextChunkOffset + raft.settings.maxMessageBytes());
        raft.send(
                follower,
                new RaftMessage.InstallSnapshot(
                        raft.id,
                        raft.term(),
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.configuration(),
                        state.length,
                        progress.nextChunkOffset,
                        Arrays.copyOfRange(state, progress.nextChunkOffset, end),
                        round));
        progress.awaitingResponse = true;
        progress.roundSent = round;
    }
}
