package pepperdock.store.raft;

import java.util.Map;
import java.util.TreeMap;

/**
 * The leader of a term: appends entries, sends them to each follower through its own {@link LogAppender}, and commits
 * what a majority has on disk (thesis, 3.5 and 3.6.2). Its own disk is only one of these: entries that the other
 * servers have committed do not wait for it (10.2.1). It steps down when it has not heard from a majority for an
 * election timeout (6.2), and when its own removal from the voters is committed (4.2.2).
 */
final class LeaderRole extends RaftRole {

    private final Map<Long, LogAppender> appenders = new TreeMap<>();
    private final PendingReads reads;
    private final LeadershipTransfer leadershipTransfer = new LeadershipTransfer();

    /**
     * Number of the current heartbeat round. A follower that answers a round has followed this leader since the round
     * began.
     */
    private long round;
    /** Whether a read was requested since the last round began. */
    private boolean readRoundDue;

    private boolean heartbeatDue;
    private int ticksSinceHeartbeat;
    private int ticksSinceQuorumCheck;

    LeaderRole(RaftServer raft) {
        super(raft);
        reads = new PendingReads(raft);
    }

    @Override
    RaftPeerState state() {
        return RaftPeerState.LEADER;
    }

    @Override
    void onStart() {
        raft.setLeaderToSelf();
        updateAppenders();
        // Entries of earlier terms can be committed only with an entry of the new term (thesis, 3.6.2 and 6.4).
        append(RaftLogEntry.EMPTY, null);
        heartbeatDue = true;
    }

    @Override
    void onStop() {
        reads.rejectAll();
    }

    long matchIndex(long peer) {
        if (peer == raft.id) {
            return raft.log.durableIndex();
        }
        LogAppender appender = appenders.get(peer);
        return appender == null ? -1 : appender.progress().matchIndex;
    }

    /** Keeps one appender for each other member of the newest configuration, voter or learner. */
    private void updateAppenders() {
        appenders.keySet().removeIf(id -> raft.log.configuration().peer(id) == null);
        for (RaftPeer peer : raft.log.configuration().peers()) {
            if (peer.id() != raft.id) {
                appenders.computeIfAbsent(peer.id(), id -> new LogAppender(raft, id));
            }
        }
    }

    private long append(byte[] data, VoterConfiguration configuration) {
        long index = raft.log.lastIndex() + 1;
        raft.log.add(new RaftLogEntry(index, raft.term(), data, configuration));
        if (configuration != null) {
            updateAppenders();
        }
        return index;
    }

    @Override
    long propose(byte[] data, VoterConfiguration configuration) {
        boolean full = raft.log.uncommittedBytes() + data.length > raft.settings.maxUncommittedBytes();
        return leadershipTransfer.inProgress() || full ? 0 : append(data, configuration);
    }

    // ---- Ticks ------------------------------------------------------------

    @Override
    void tick() {
        if (++ticksSinceHeartbeat >= raft.settings.heartbeatTicks()) {
            heartbeatDue = true;
        }
        leadershipTransfer.tick(raft.settings.electionTicks());
        if (++ticksSinceQuorumCheck >= raft.settings.electionTicks()) {
            ticksSinceQuorumCheck = 0;
            if (!raft.log.configuration().hasMajority(this::isActive)) {
                raft.becomeFollower(raft.term(), ServerState.NO_SERVER);
                return;
            }
            appenders.values().forEach(appender -> appender.progress().recentlyActive = false);
        }
        raft.resetElectionTimer();
    }

    private boolean isActive(long voter) {
        return voter == raft.id || appenders.get(voter).progress().recentlyActive;
    }

    // ---- Responses ------------------------------------------------------------

    @Override
    void onMessage(RaftMessage message) {
        LogAppender appender = appenders.get(message.from());
        if (appender == null) {
            return;
        }
        FollowerInfo progress = appender.progress();
        progress.recentlyActive = true;
        if (message instanceof RaftMessage.AppendResponse response) {
            progress.confirmedRound = Math.max(progress.confirmedRound, response.round());
            if (response.success()) {
                progress.onMatch(response.index());
                advanceCommit();
            } else {
                appender.onMismatch(response);
            }
        } else if (message instanceof RaftMessage.InstallResponse response) {
            progress.confirmedRound = Math.max(progress.confirmedRound, response.round());
            appender.onInstallResponse(response);
        }
        answerConfirmedReads();
    }

    @Override
    void onWritten() {
        advanceCommit();
        answerConfirmedReads();
    }

    private void advanceCommit() {
        long replicated = raft.log.configuration().majorityIndex(this::matchIndex);
        if (replicated > raft.log.commitIndex() && raft.mayCommit(replicated) && raft.log.commitTo(replicated)) {
            reads.takeBeforeFirstCommit().forEach(this::read);
            if (!raft.log.configuration().votes(raft.id) && raft.configurationCommitted()) {
                stepDown();
            }
        }
    }

    /** Steps down after its own removal, and tells a voter that holds all committed entries to start an election. */
    private void stepDown() {
        flush();
        raft.log.configuration().voters().stream()
                .filter(voter -> matchIndex(voter) >= raft.log.commitIndex())
                .findFirst()
                .ifPresent(voter -> raft.send(voter, new RaftMessage.TimeoutNow(raft.id, raft.term())));
        raft.becomeFollower(raft.term(), ServerState.NO_SERVER);
    }

    // ---- Reads ------------------------------------------------------------

    @Override
    void read(long token) {
        if (raft.log.term(raft.log.commitIndex()) != raft.term()) {
            reads.addBeforeFirstCommit(token);
            return;
        }
        readRoundDue = true;
        reads.add(token, round + 1);
    }

    private void answerConfirmedReads() {
        reads.answerConfirmed(
                readRound -> raft.log.configuration().hasMajority(voter -> confirmedRound(voter) >= readRound));
    }

    /** Returns the newest round that a voter has answered; for this server itself, the current round. */
    private long confirmedRound(long voter) {
        return voter == raft.id ? round : appenders.get(voter).progress().confirmedRound;
    }

    // ---- Leadership transfer ------------------------------------------------------------

    @Override
    boolean transfer(long to) {
        if (to == raft.id || !raft.log.configuration().votes(to)) {
            return false;
        }
        leadershipTransfer.start(to);
        return true;
    }

    private void requestElectionOfCaughtUpTarget() {
        LogAppender target = appenders.get(leadershipTransfer.target());
        if (target != null && leadershipTransfer.requestDue() && target.progress().matchIndex == raft.log.lastIndex()) {
            leadershipTransfer.requestSent();
            raft.send(leadershipTransfer.target(), new RaftMessage.TimeoutNow(raft.id, raft.term()));
        }
    }

    // ---- Sending ------------------------------------------------------------

    @Override
    void flush() {
        if (heartbeatDue || readRoundDue) {
            round++;
            ticksSinceHeartbeat = heartbeatDue ? 0 : ticksSinceHeartbeat;
            readRoundDue = false;
        }
        appenders.values().forEach(appender -> appender.send(round, heartbeatDue));
        heartbeatDue = false;
        requestElectionOfCaughtUpTarget();
        answerConfirmedReads();
    }
}
