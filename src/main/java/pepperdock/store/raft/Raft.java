package pepperdock.store.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One peer's half of the agreement on a log. Messages, ticks, what the disk has done and what clients want come in;
 * {@link Output} goes out; no clock, no sockets, no files, no threads, and chance only from the seed: the same inputs give the
 * same outputs.
 *
 * <p>The caller hands every message to {@link #received}, calls {@link #tick} at even intervals (a late one counts once), and
 * after each call carries out what {@link #taken} returns, in its order. Writes go to the disk in the order of their numbers,
 * and {@link #written} says which are synced; it may be called much later, from the same thread as all the rest. A write or
 * sync that failed is told by {@link #failed}, after which this peer promises nothing any more.
 *
 * <p>Promised, whatever is lost, late or repeated, as long as no disk forgets what it has synced: one leader a term; what is
 * committed stays, at its index, on every peer; it is applied once and in order by each life of a process; a read is answered
 * no older than what was committed when it was asked for. A term, a vote or an entry is told to others only once it is synced
 * here. No entry of an older term is committed by counting copies. One change of members at a time, of one vote at most. A
 * leader that hears no majority for an election's time gives up.
 */
public class Raft {

    final RaftSettings settings;
    final Log log;
    final Random chance;
    final long id;
    private Role role;
    private long term;
    private long votedFor;
    private long leader;
    /** Ticks since there was last a sign of a leader, or a vote was given. */
    private int ticksSinceLeader;

    private int electionTimeoutTicks;
    private boolean hardStateDirty;
    private final SyncQueue syncQueue = new SyncQueue();
    private final List<Output> outputs = new ArrayList<>();
    private Output.StateChange lastStateChange;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    /** {@code saved} is what this peer's disk holds, and {@code id} the disk's. */
    public Raft(long id, RaftSettings settings, PersistedState saved, long seed) {
        if (id == 0) {
            throw new IllegalArgumentException("0 is nobody's id");
        }
        this.id = id;
        this.settings = settings;
        chance = new Random(seed);
        term = saved.hardState().term();
        votedFor = saved.hardState().votedFor();
        log = new Log(saved.snapshot(), saved.entries());
        lastStateChange = new Output.StateChange(PeerState.FOLLOWER, term, 0);
        become(new Follower(this));
    }

    // ---- What the caller sees ------------------------------------------------------------

    public long id() {
        return id;
    }

    public PeerState state() {
        return role.state();
    }

    public long term() {
        return term;
    }

    /** The leader's id; 0 where none is known. */
    public long leader() {
        return leader;
    }

    /** Who takes part, as of the newest entry here that says so. */
    public Configuration configuration() {
        return log.configuration();
    }

    /** Whether that entry is committed. */
    public boolean configurationCommitted() {
        return log.configurationIndex() <= log.commitIndex();
    }

    public long commitIndex() {
        return log.commitIndex();
    }

    public long appliedIndex() {
        return log.appliedIndex();
    }

    public long lastIndex() {
        return log.lastIndex();
    }

    public long lastTerm() {
        return log.lastTerm();
    }

    /** The term of an entry that is held here; -1 where it isn't. */
    public long termAt(long index) {
        return log.term(index);
    }

    /** Of a peer, what the leader knows that it holds; -1 where this one does not lead or does not know the peer. */
    public long matchIndex(long peer) {
        return role instanceof Leader l ? l.matchIndex(peer) : -1;
    }

    // ---- What the caller does ------------------------------------------------------------

    public void tick() {
        ticksSinceLeader++;
        role.tick();
    }

    public void received(Message m) {
        if (role.state() == PeerState.STORAGE_FAILED) {
            return;
        }
        if (m.term() > term) {
            if (m instanceof Message.RequestVote a
                    && !a.told()
                    && leader != 0
                    && ticksSinceLeader < settings.electionTicks()) {
                // Whoever hears a leader helps nobody to another one.
                return;
            }
            boolean hypothetical = m instanceof Message.RequestVote a && a.pre()
                    || m instanceof Message.VoteResponse v && v.pre() && v.granted();
            if (!hypothetical) {
                becomeFollower(
                        m.term(),
                        m instanceof Message.AppendEntries || m instanceof Message.InstallSnapshot ? m.from() : 0);
            }
        } else if (m.term() < term) {
            if (m instanceof Message.AppendEntries || m instanceof Message.InstallSnapshot) {
                // A leader that was away gives up when it hears of the newer term.
                sendOnceSynced(m.from(), new Message.AppendResponse(id, term, false, 0, 0, 0, 0));
            } else if (m instanceof Message.RequestVote a && a.pre()) {
                sendOnceSynced(m.from(), new Message.VoteResponse(id, term, true, false));
            }
            return;
        }
        if (m instanceof Message.RequestVote a) {
            onRequestVote(a);
        } else if (m instanceof Message.AppendEntries a) {
            onLeader(a.from());
            onAppendEntries(a);
        } else if (m instanceof Message.InstallSnapshot i) {
            onLeader(i.from());
            onInstallSnapshot(i);
        } else if (m instanceof Message.TimeoutNow) {
            if (log.configuration().votes(id)) {
                become(new Candidate(this, false, true));
            }
        } else {
            role.received(m);
        }
    }

    /** All writes up to this one are synced. */
    public void written(long number) {
        if (role.state() == PeerState.STORAGE_FAILED || number <= syncQueue.lastSynced()) {
            return;
        }
        log.written(number);
        syncQueue.synced(number);
        role.written();
    }

    /** A write or a sync failed: what is on the disk is not known, so nothing is promised from here on. */
    public void failed() {
        syncQueue.clear();
        leader = 0;
        become(new StorageFailed(this));
    }

    /** Adds an entry; returns its index, or 0 where this peer does not lead or has too much open already. */
    public long propose(byte[] data) {
        return role.propose(data, null);
    }

    /**
     * Changes who takes part; returns the entry's index, or 0 where this peer does not lead, the change before is not committed
     * yet, or more than one vote would change.
     */
    public long change(Configuration to) {
        return mayChangeTo(to) ? role.propose(LogEntry.EMPTY, to) : 0;
    }

    /** Answered by {@link Output.ReadReady} or {@link Output.ReadRejected} with the same token. */
    public void read(long token) {
        role.read(token);
    }

    /** Has another peer lead, once it holds all that this one does. False where that can't be. */
    public boolean transfer(long to) {
        return role.transfer(to);
    }

    /** What was applied up to here has come to this; peers that lack more than is kept will get it in place of entries. */
    public void compact(long index, byte[] state) {
        if (role.state() != PeerState.STORAGE_FAILED) {
            log.compact(index, state, settings.kept());
        }
    }

    /** What is to be done since the last call, in order. */
    public List<Output> takeOutputs() {
        do {
            role.flush();
            if (role.state() != PeerState.STORAGE_FAILED && (hardStateDirty || log.hasUnwritten())) {
                outputs.add(
                        log.nextWrite(syncQueue.nextWrite(), hardStateDirty ? new HardState(term, votedFor) : null));
                hardStateDirty = false;
            }
            syncQueue.release();
        } while (syncQueue.hasDeferred());
        List<LogEntry> apply = log.toApply();
        if (!apply.isEmpty()) {
            outputs.add(new Output.Apply(apply));
        }
        Output.StateChange is = new Output.StateChange(role.state(), term, leader);
        if (!is.equals(lastStateChange)) {
            lastStateChange = is;
            outputs.add(is);
        }
        List<Output> all = List.copyOf(outputs);
        outputs.clear();
        return all;
    }

    // ---- For the roles ------------------------------------------------------------

    final void become(Role next) {
        if (role != null) {
            role.ends();
        }
        role = next;
        ticksSinceLeader = 0;
        electionTimeoutTicks = settings.electionTicks() + chance.nextInt(settings.electionTicks());
        next.begins();
    }

    /** A newer term begins, or the present one goes on under a leader. */
    final void becomeFollower(long newTerm, long newLeader) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = 0;
            hardStateDirty = true;
        }
        leader = newLeader;
        become(new Follower(this));
    }

    /** Opens a new term with a vote for oneself. */
    final void startNewTerm() {
        term++;
        votedFor = id;
        leader = 0;
        hardStateDirty = true;
    }

    final void setLeaderToSelf() {
        leader = id;
    }

    final boolean isCurrent(Role r) {
        return role == r;
    }

    final boolean electionTimedOut() {
        return ticksSinceLeader >= electionTimeoutTicks;
    }

    final void clearLeader() {
        leader = 0;
    }

    final void resetElectionTimer() {
        ticksSinceLeader = 0;
    }

    /** To be sent at once: it speaks of nothing that this disk has to hold. */
    final void send(long to, Message m) {
        outputs.add(new Output.Send(to, m));
    }

    /** To be sent, or done, once all that holds now is synced. */
    final void sendOnceSynced(long to, Message m) {
        onceSynced(() -> send(to, m));
    }

    final void onceSynced(Runnable r) {
        syncQueue.defer(r);
    }

    final void output(Output o) {
        outputs.add(o);
    }

    // ---- The rules that everything else rests on ------------------------------------------------------------

    /**
     * Whether a leader may take an index for committed that a majority holds: only an entry of its own term (thesis, 3.6.2);
     * those before it are committed with it.
     */
    protected boolean mayCommit(long index) {
        return log.term(index) == term;
    }

    /** Whether the members may change to these now (thesis, 4.1, and the correction of 2015: not before an entry of this term). */
    protected boolean mayChangeTo(Configuration to) {
        return configurationCommitted()
                && log.term(log.commitIndex()) == term
                && log.configuration().votersChanged(to) <= 1
                && !to.voters().isEmpty();
    }

    /**
     * Whether all that a snapshot stands for is here already: then what follows it here stays. It may be newer than the
     * snapshot, and promised to be held.
     */
    protected boolean coversSnapshot(long index, long indexTerm) {
        return index <= log.commitIndex() || log.term(index) == indexTerm;
    }

    // ---- A follower's side, whatever the role was ------------------------------------------------------------

    private void onRequestVote(Message.RequestVote a) {
        boolean may = votedFor == a.from() || votedFor == 0 && leader == 0 || a.pre() && a.term() > term;
        boolean upToDate =
                a.lastTerm() > log.lastTerm() || a.lastTerm() == log.lastTerm() && a.lastIndex() >= log.lastIndex();
        boolean granted = may && upToDate;
        if (granted && !a.pre()) {
            resetElectionTimer();
            if (votedFor == 0) {
                votedFor = a.from();
                hardStateDirty = true;
            }
        }
        sendOnceSynced(a.from(), new Message.VoteResponse(id, granted && a.pre() ? a.term() : term, a.pre(), granted));
    }

    /** Someone speaks as this term's leader. */
    private void onLeader(long from) {
        if (role.state() != PeerState.FOLLOWER) {
            become(new Follower(this));
        }
        leader = from;
        resetElectionTimer();
    }

    private void onAppendEntries(Message.AppendEntries a) {
        if (a.prevIndex() < log.commitIndex() && a.prevIndex() < log.firstIndex() - 1) {
            // Older than what is held: all of that is committed, so it is the same.
            sendOnceSynced(a.from(), new Message.AppendResponse(id, term, true, log.commitIndex(), 0, 0, a.round()));
            return;
        }
        if (log.term(a.prevIndex()) != a.prevTerm()) {
            long hint = log.lastIndexNotAfterTerm(Math.min(a.prevIndex() - 1, log.lastIndex()), a.prevTerm());
            sendOnceSynced(
                    a.from(),
                    new Message.AppendResponse(id, term, false, a.prevIndex(), hint, log.term(hint), a.round()));
            return;
        }
        log.merge(a.entries());
        long same = a.prevIndex() + a.entries().size();
        log.commitTo(Math.min(a.leaderCommit(), same));
        sendOnceSynced(a.from(), new Message.AppendResponse(id, term, true, same, 0, 0, a.round()));
    }

    private void onInstallSnapshot(Message.InstallSnapshot i) {
        if (coversSnapshot(i.index(), i.indexTerm())) {
            log.commitTo(i.index());
            snapshotReceiver.clear();
            sendOnceSynced(
                    i.from(),
                    new Message.AppendResponse(
                            id, term, true, Math.max(log.commitIndex(), i.index()), 0, 0, i.round()));
            return;
        }
        Snapshot s = snapshotReceiver.receive(i);
        if (s == null) {
            sendOnceSynced(
                    i.from(), new Message.InstallResponse(id, term, i.index(), snapshotReceiver.received(), i.round()));
            return;
        }
        log.restore(s);
        output(new Output.Restore(s));
        sendOnceSynced(i.from(), new Message.AppendResponse(id, term, true, s.index(), 0, 0, i.round()));
    }
}
