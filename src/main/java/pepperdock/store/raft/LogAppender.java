package pepperdock.store.raft;

import java.util.Arrays;
import java.util.List;

/**
 * Brings one follower's log up to the leader's (thesis, 3.5): sends entries, or a snapshot in chunks where the entries are
 * compacted (5.1), and takes in the answers. Owned by the thread that calls {@link Raft}.
 */
final class LogAppender {

    private final Raft raft;
    private final long follower;
    private final Progress progress;

    LogAppender(Raft raft, long follower) {
        this.raft = raft;
        this.follower = follower;
        progress = new Progress(raft.log.lastIndex() + 1);
    }

    /** What the leader knows of the follower. */
    Progress progress() {
        return progress;
    }

    // ---- Answers ------------------------------------------------------------

    /** The follower's log is not the leader's at the index before the entries that were sent. */
    void onMismatch(Message.AppendResponse response) {
        if (progress.mode == Progress.Mode.REPLICATE) {
            if (response.index() > progress.match) {
                progress.probe();
            }
        } else if (progress.mode == Progress.Mode.PROBE && progress.next - 1 == response.index()) {
            long lastCommonIndex = raft.log.lastIndexNotAfterTerm(response.hint(), response.hintTerm());
            progress.next = Math.max(progress.match, Math.min(response.index() - 1, lastCommonIndex)) + 1;
            progress.waiting = false;
        }
    }

    /** The follower holds so much of the snapshot that is being sent. */
    void onInstallResponse(Message.InstallResponse response) {
        if (progress.mode == Progress.Mode.SNAPSHOT && progress.snapshot.index() == response.index()) {
            progress.offset = (int) Math.min(response.held(), progress.snapshot.state().length);
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
        if (progress.mode != Progress.Mode.SNAPSHOT && progress.next < raft.log.firstIndex()) {
            progress.send(raft.log.snapshot());
        }
        if (progress.mode == Progress.Mode.SNAPSHOT) {
            sendSnapshot(round);
            return;
        }
        boolean sent = sendMissingEntries(round);
        boolean commitUnknown = progress.commitSent < Math.min(raft.log.commitIndex(), progress.match);
        if (!sent && (progress.roundSent < round || commitUnknown)) {
            sendEntries(round, List.of());
        }
    }

    private boolean sendMissingEntries(long round) {
        boolean sent = false;
        while (!progress.waiting
                && progress.inFlight.size() < raft.settings.inFlight()
                && progress.next <= raft.log.lastIndex()) {
            List<LogEntry> entries = raft.log.entriesFrom(progress.next, raft.settings.messageBytes());
            sendEntries(round, entries);
            sent = true;
            if (progress.mode == Progress.Mode.REPLICATE) {
                progress.next += entries.size();
                progress.inFlight.add(progress.next - 1);
            } else {
                progress.waiting = true;
            }
        }
        return sent;
    }

    private void sendEntries(long round, List<LogEntry> entries) {
        progress.roundSent = round;
        progress.commitSent = raft.log.commitIndex();
        raft.send(
                follower,
                new Message.AppendEntries(
                        raft.id,
                        raft.term(),
                        progress.next - 1,
                        raft.log.term(progress.next - 1),
                        entries,
                        raft.log.commitIndex(),
                        round));
    }

    private void sendSnapshot(long round) {
        if (progress.waiting && progress.roundSent == round) {
            return;
        }
        Snapshot snapshot = progress.snapshot;
        byte[] state = snapshot.state();
        int end = Math.min(state.length, progress.offset + raft.settings.messageBytes());
        raft.send(
                follower,
                new Message.InstallSnapshot(
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
