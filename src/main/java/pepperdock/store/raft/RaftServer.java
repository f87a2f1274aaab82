package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One server of a Raft group, as a pure state machine (Ongaro, "Consensus: Bridging Theory and Practice", 2014;
 * "thesis" below). Its inputs are messages, ticks, finished disk writes and clients' requests; its output is
 * {@link RaftOutput}. It has no clock, sockets, files or threads, and random numbers come only from a seed: the same
 * inputs give the same outputs.
 *
 * <p>All state belongs to one thread, the caller's; no method may be called from another thread. The caller passes
 * every message to {@link #received}, calls {@link #tick} at even intervals (a late tick counts once), and after each
 * call carries out the actions that {@link #takeOutputs} returns, in order. Writes go to the disk in the order of their
 * numbers, and {@link #written} reports which are synced; it may be called much later. A write or sync that failed is
 * reported by {@link #onStorageFailure}, after which this server grants no votes and acknowledges no entries any more.
 *
 * <p>These guarantees hold under loss, delay and duplication of messages, as long as no disk loses what it has synced
 * (thesis, figure 3.2): there is one leader per term; a committed entry stays at its index on every server; each
 * process applies it once and in order; a read returns no state older than what was committed when it was requested
 * (6.4). A term, a vote or an entry is sent to others only once it is synced here. No entry of an earlier term is
 * committed by counting replicas (3.6.2). Membership changes by one voter at a time (4.1). A leader that hears from no
 * majority for an election timeout steps down (6.2).
 *
 * <p>This class has the behaviour common to all roles; {@link FollowerRole}, {@link LeaderElection} and
 * {@link LeaderRole} have that of a single role.
 */
public class RaftServer {

    final RaftSettings settings;
    final RaftLog log;
    final long id;
    private final ServerState serverState;
    private final ElectionTimer electionTimer;
    private final VoteRequestHandler voteRequests;
    private final LeaderRequestHandler leaderRequests;
    private final SyncQueue syncQueue = new SyncQueue();
    private final List<RaftOutput> outputs = new ArrayList<>();
    private RaftRole role;
    private RaftOutput.StateChange lastStateChange;

    /**
     * Starts as a follower.
     *
     * @param id id of this server's disk; not 0
     * @param saved the state on that disk
     * @param seed seed for the election timeouts
     */
    public RaftServer(long id, RaftSettings settings, PersistedState saved, long seed) {
        if (id == ServerState.NO_SERVER) {
            throw new IllegalArgumentException("server id is 0, which stands for no server; expected any other id");
        }
        this.id = id;
        this.settings = settings;
        serverState = new ServerState(saved.hardState());
        electionTimer = new ElectionTimer(settings.electionTicks(), new Random(seed));
        log = new RaftLog(saved.snapshot(), saved.entries());
        voteRequests = new VoteRequestHandler(this, serverState, electionTimer);
        leaderRequests = new LeaderRequestHandler(this);
        lastStateChange = new RaftOutput.StateChange(RaftPeerState.FOLLOWER, term(), ServerState.NO_SERVER);
        become(new FollowerRole(this));
    }

    // ---- State for the caller ------------------------------------------------------------

    /** Returns this server's id. */
    public long id() {
        return id;
    }

    /** Returns the current role. */
    public RaftPeerState state() {
        return role.state();
    }

    /** Returns the current term. */
    public long term() {
        return serverState.term();
    }

    /** Returns the leader's id; 0 if none is known. */
    public long leader() {
        return serverState.leader();
    }

    /**
     * Returns the members as of the newest entry in this log that has a configuration, committed or not (thesis, 4.1).
     */
    public VoterConfiguration configuration() {
        return log.configuration();
    }

    /** Returns whether the entry with the newest configuration is committed. */
    public boolean configurationCommitted() {
        return log.configurationIndex() <= log.commitIndex();
    }

    /** Returns the index of the newest entry known to be committed. */
    public long commitIndex() {
        return log.commitIndex();
    }

    /** Returns the index of the newest entry handed out to be applied. */
    public long appliedIndex() {
        return log.appliedIndex();
    }

    /** Returns the index of the last entry of the log. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** Returns the term of the last entry of the log. */
    public long lastTerm() {
        return log.lastTerm();
    }

    /** Returns the term of an entry in memory; -1 if the index is compacted or beyond the end of the log. */
    public long termAt(long index) {
        return log.term(index);
    }

    /**
     * Returns the highest index known to be replicated to a peer; -1 if this server is not the leader or does not know
     * the peer.
     */
    public long matchIndex(long peer) {
        return role instanceof LeaderRole leader ? leader.matchIndex(peer) : -1;
    }

    // ---- Inputs ------------------------------------------------------------

    /** Handles a tick of the caller's clock. */
    public void tick() {
        electionTimer.tick();
        role.tick();
    }

    /** Handles a message from a peer. */
    public void received(RaftMessage message) {
        if (role.state() == RaftPeerState.STORAGE_FAILED) {
            return;
        }
        if (message.term() > term()) {
            if (message instanceof RaftMessage.RequestVote request && voteRequests.ignores(request)) {
                return;
            }
            if (!isHypothetical(message)) {
                becomeFollower(message.term(), isFromLeader(message) ? message.from() : ServerState.NO_SERVER);
            }
        } else if (message.term() < term()) {
            rejectOlderTerm(message);
            return;
        }
        handle(message);
    }

    private static boolean isFromLeader(RaftMessage message) {
        return message instanceof RaftMessage.AppendEntries || message instanceof RaftMessage.InstallSnapshot;
    }

    /**
     * Returns whether the message's term is only the one that an election after a pre-vote would have (thesis, 9.6).
     */
    private static boolean isHypothetical(RaftMessage message) {
        return message instanceof RaftMessage.RequestVote request && request.preVote()
                || message instanceof RaftMessage.VoteResponse response && response.preVote() && response.granted();
    }

    private void rejectOlderTerm(RaftMessage message) {
        if (isFromLeader(message)) {
            // A leader of an older term steps down when it receives the newer term.
            sendOnceSynced(message.from(), new RaftMessage.AppendResponse(id, term(), false, 0, 0, 0, 0));
        } else if (message instanceof RaftMessage.RequestVote request && request.preVote()) {
            sendOnceSynced(message.from(), new RaftMessage.VoteResponse(id, term(), true, false));
        }
    }

    private void handle(RaftMessage message) {
        if (message instanceof RaftMessage.RequestVote request) {
            voteRequests.onRequestVote(request);
        } else if (message instanceof RaftMessage.AppendEntries request) {
            followLeader(request.from());
            leaderRequests.onAppendEntries(request);
        } else if (message instanceof RaftMessage.InstallSnapshot request) {
            followLeader(request.from());
            leaderRequests.onInstallSnapshot(request);
        } else if (message instanceof RaftMessage.TimeoutNow) {
            if (log.configuration().votes(id)) {
                become(new LeaderElection(this, false, true));
            }
        } else {
            role.onMessage(message);
        }
    }

    /** Follows a server that has sent a request as the current term's leader. */
    private void followLeader(long from) {
        if (role.state() != RaftPeerState.FOLLOWER) {
            become(new FollowerRole(this));
        }
        serverState.setLeader(from);
        resetElectionTimer();
    }

    /** Records that all writes up to this one are synced. */
    public void written(long number) {
        if (role.state() == RaftPeerState.STORAGE_FAILED || number <= syncQueue.lastSynced()) {
            return;
        }
        log.written(number);
        syncQueue.synced(number);
        role.onWritten();
    }

    /**
     * Handles a failed write or sync: the contents of the disk are unknown, so this server grants no votes and
     * acknowledges no entries from here on.
     */
    public void onStorageFailure() {
        syncQueue.clear();
        clearLeader();
        become(new StorageFailedRole(this));
    }

    /**
     * Appends an entry; returns its index, or 0 if this server is not the leader, is transferring its leadership, or
     * has too many uncommitted bytes.
     */
    public long propose(byte[] data) {
        return role.propose(data, null);
    }

    /**
     * Changes the members; returns the entry's index, or 0 if this server is not the leader or can't append an entry
     * now, the previous change is not committed yet, or more than one voter would change (thesis, 4.1).
     */
    public long change(VoterConfiguration to) {
        return mayChangeTo(to) ? role.propose(RaftLogEntry.EMPTY, to) : 0;
    }

    /**
     * Requests a linearizable read (thesis, 6.4), answered by {@link RaftOutput.ReadReady} or
     * {@link RaftOutput.ReadRejected}.
     */
    public void read(long token) {
        role.read(token);
    }

    /**
     * Transfers leadership to another voter once it is caught up (thesis, 3.10); returns false if that is not possible.
     */
    public boolean transfer(long to) {
        return role.transfer(to);
    }

    /** Replaces the applied entries up to an index by the state that they resulted in (thesis, 5.1). */
    public void compact(long index, byte[] state) {
        if (role.state() != RaftPeerState.STORAGE_FAILED) {
            log.compact(index, state, settings.retainedEntries());
        }
    }

    /** Returns the actions that have become due since the last call, in order. */
    public List<RaftOutput> takeOutputs() {
        do {
            role.flush();
            if (role.state() != RaftPeerState.STORAGE_FAILED
                    && (serverState.hasUnwrittenHardState() || log.hasUnwritten())) {
                outputs.add(log.nextWrite(syncQueue.nextWrite(), serverState.takeUnwrittenHardState()));
            }
            syncQueue.release();
        } while (syncQueue.hasDeferred());
        List<RaftLogEntry> committed = log.toApply();
        if (!committed.isEmpty()) {
            outputs.add(new RaftOutput.Apply(committed));
        }
        RaftOutput.StateChange current = new RaftOutput.StateChange(role.state(), term(), leader());
        if (!current.equals(lastStateChange)) {
            lastStateChange = current;
            outputs.add(current);
        }
        List<RaftOutput> taken = List.copyOf(outputs);
        outputs.clear();
        return taken;
    }

    // ---- Methods for the roles ------------------------------------------------------------

    final void become(RaftRole next) {
        if (role != null) {
            role.onStop();
        }
        role = next;
        electionTimer.restart();
        next.onStart();
    }

    /** Becomes a follower in a newer term or in the current one. */
    final void becomeFollower(long newTerm, long newLeader) {
        serverState.advanceTo(newTerm);
        serverState.setLeader(newLeader);
        become(new FollowerRole(this));
    }

    /** Starts a new term with a vote for itself. */
    final void startNewTerm() {
        serverState.startElection(id);
    }

    final void setLeaderToSelf() {
        serverState.setLeader(id);
    }

    final void clearLeader() {
        serverState.setLeader(ServerState.NO_SERVER);
    }

    final boolean isCurrent(RaftRole other) {
        return role == other;
    }

    final boolean electionTimedOut() {
        return electionTimer.timedOut();
    }

    final void resetElectionTimer() {
        electionTimer.reset();
    }

    /** Sends at once; only for messages that do not depend on anything that has to be on this disk. */
    final void send(long to, RaftMessage message) {
        outputs.add(new RaftOutput.Send(to, message));
    }

    /** Sends once all of the current state is synced. */
    final void sendOnceSynced(long to, RaftMessage message) {
        onceSynced(() -> send(to, message));
    }

    final void onceSynced(Runnable action) {
        syncQueue.defer(action);
    }

    final void output(RaftOutput output) {
        outputs.add(output);
    }

    // ---- Safety rules; tests inject faults by overriding them
    // ---------------------------------------------------------

    /**
     * Returns whether a leader may commit an index that is replicated to a majority. It may commit only an entry of its
     * own term, which also commits the entries before it (thesis, 3.6.2).
     */
    protected boolean mayCommit(long index) {
        return log.term(index) == term();
    }

    /**
     * Returns whether the members may be changed to these now: one voter at a time, after the previous change is
     * committed (thesis, 4.1), and not before an entry of the current term is committed (Ongaro's correction of 2015 to
     * the same section).
     */
    protected boolean mayChangeTo(VoterConfiguration to) {
        return configurationCommitted()
                && log.term(log.commitIndex()) == term()
                && log.configuration().votersChanged(to) <= 1
                && !to.voters().isEmpty();
    }

    /**
     * Returns whether this log holds all entries that a snapshot covers. If so, the entries that follow stay in the log
     * (thesis, 5.1), as they may be newer than the snapshot and already acknowledged.
     */
    protected boolean coversSnapshot(long index, long indexTerm) {
        return index <= log.commitIndex() || log.term(index) == indexTerm;
    }
}
