package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Leads a term: takes entries, sends them to all that take part, and commits what a majority has on disk. Its own disk is one
 * among others: what the rest has committed does not wait for it. It gives up when a majority is not heard from for an
 * election's time, and when it is not among those who vote any more and that is committed.
 */
final class Leader extends Role {

    private record PendingRead(long token, long index, long round) {}

    private final Map<Long, Progress> peers = new TreeMap<>();
    private final Deque<PendingRead> reads = new ArrayDeque<>();
    /** Reads that wait for the first entry of this term to be committed: before, what is committed is not known. */
    private final Deque<Long> readsBeforeFirstCommit = new ArrayDeque<>();

    private long round;
    /** A read has come since the last round began. */
    private boolean readRoundDue;

    private boolean heartbeatDue;
    private int ticksSinceHeartbeat;
    private int ticksSinceQuorumCheck;
    /** Who is to lead next; 0 for nobody. */
    private long transferTarget;

    private int transferTicks;
    private boolean transferSent;

    Leader(Raft raft) {
        super(raft);
    }

    @Override
    PeerState state() {
        return PeerState.LEADER;
    }

    @Override
    void begins() {
        raft.setLeaderToSelf();
        trackPeers();
        add(LogEntry.EMPTY, null);
        heartbeatDue = true;
    }

    @Override
    void ends() {
        reads.forEach(a -> raft.output(new Output.ReadRejected(a.token())));
        readsBeforeFirstCommit.forEach(t -> raft.output(new Output.ReadRejected(t)));
        reads.clear();
        readsBeforeFirstCommit.clear();
    }

    long matchIndex(long peer) {
        return peer == raft.id ? raft.log.durableIndex() : peers.containsKey(peer) ? peers.get(peer).match : -1;
    }

    /** Those that take part now, no others. */
    private void trackPeers() {
        peers.keySet().removeIf(p -> raft.log.configuration().peer(p) == null);
        for (Peer p : raft.log.configuration().peers()) {
            if (p.id() != raft.id) {
                peers.computeIfAbsent(p.id(), x -> new Progress(raft.log.lastIndex() + 1));
            }
        }
    }

    private long add(byte[] data, Configuration configuration) {
        long index = raft.log.lastIndex() + 1;
        raft.log.add(new LogEntry(index, raft.term(), data, configuration));
        if (configuration != null) {
            trackPeers();
        }
        return index;
    }

    @Override
    long propose(byte[] data, Configuration configuration) {
        return transferTarget != 0 || raft.log.uncommittedBytes() + data.length > raft.settings.uncommittedBytes()
                ? 0
                : add(data, configuration);
    }

    // ---- Time ------------------------------------------------------------

    @Override
    void tick() {
        if (++ticksSinceHeartbeat >= raft.settings.heartbeatTicks()) {
            heartbeatDue = true;
        }
        if (transferTarget != 0 && ++transferTicks >= raft.settings.electionTicks()) {
            transferTarget = 0;
        }
        if (++ticksSinceQuorumCheck >= raft.settings.electionTicks()) {
            ticksSinceQuorumCheck = 0;
            if (!raft.log.configuration().hasMajority(p -> p == raft.id || peers.get(p).active)) {
                raft.becomeFollower(raft.term(), 0);
                return;
            }
            peers.values().forEach(p -> p.active = false);
        }
        raft.resetElectionTimer();
    }

    // ---- Answers ------------------------------------------------------------

    @Override
    void received(Message m) {
        Progress p = peers.get(m.from());
        if (p == null) {
            return;
        }
        p.active = true;
        if (m instanceof Message.AppendResponse a) {
            p.round = Math.max(p.round, a.round());
            if (a.ok()) {
                p.holds(a.index());
                advanceCommit();
            } else {
                onMismatch(p, a);
            }
        } else if (m instanceof Message.InstallResponse i) {
            p.round = Math.max(p.round, i.round());
            if (p.mode == Progress.Mode.SNAPSHOT && p.snapshot.index() == i.index()) {
                p.offset = (int) Math.min(i.held(), p.snapshot.state().length);
                p.waiting = false;
            }
        }
        answerConfirmedReads();
    }

    /** Its log is another one at that index. */
    private void onMismatch(Progress p, Message.AppendResponse a) {
        if (p.mode == Progress.Mode.REPLICATE) {
            if (a.index() > p.match) {
                p.probe();
            }
        } else if (p.mode == Progress.Mode.PROBE && p.next - 1 == a.index()) {
            long same = raft.log.lastIndexNotAfterTerm(a.hint(), a.hintTerm());
            p.next = Math.max(p.match, Math.min(a.index() - 1, same)) + 1;
            p.waiting = false;
        }
    }

    @Override
    void written() {
        advanceCommit();
        answerConfirmedReads();
    }

    private void advanceCommit() {
        long reached = raft.log.configuration().majorityIndex(this::matchIndex);
        if (reached > raft.log.commitIndex() && raft.mayCommit(reached) && raft.log.commitTo(reached)) {
            List<Long> waited = List.copyOf(readsBeforeFirstCommit);
            readsBeforeFirstCommit.clear();
            waited.forEach(this::read);
            if (!raft.log.configuration().votes(raft.id) && raft.configurationCommitted()) {
                stepDown();
            }
        }
    }

    /** Those who vote from now on have one that holds all: it is told to lead, and this one leads no more. */
    private void stepDown() {
        flush();
        raft.log.configuration().voters().stream()
                .filter(v -> matchIndex(v) >= raft.log.commitIndex())
                .findFirst()
                .ifPresent(v -> raft.send(v, new Message.TimeoutNow(raft.id, raft.term())));
        raft.becomeFollower(raft.term(), 0);
    }

    // ---- Reads ------------------------------------------------------------

    @Override
    void read(long token) {
        if (raft.log.term(raft.log.commitIndex()) != raft.term()) {
            readsBeforeFirstCommit.add(token);
            return;
        }
        readRoundDue = true;
        reads.add(new PendingRead(token, raft.log.commitIndex(), round + 1));
    }

    /** Those whose round a majority has answered: nobody else led when they came. */
    private void answerConfirmedReads() {
        while (!reads.isEmpty()
                && raft.log
                        .configuration()
                        .hasMajority(v -> v == raft.id
                                ? reads.peek().round() <= round
                                : peers.get(v).round >= reads.peek().round())) {
            PendingRead a = reads.poll();
            raft.output(new Output.ReadReady(a.token(), a.index()));
        }
    }

    // ---- Another leader ------------------------------------------------------------

    @Override
    boolean transfer(long to) {
        if (to == raft.id || !raft.log.configuration().votes(to)) {
            return false;
        }
        transferTarget = to;
        transferTicks = 0;
        transferSent = false;
        return true;
    }

    // ---- Sending ------------------------------------------------------------

    @Override
    void flush() {
        if (heartbeatDue || readRoundDue) {
            round++;
            ticksSinceHeartbeat = heartbeatDue ? 0 : ticksSinceHeartbeat;
            readRoundDue = false;
        }
        peers.forEach((id, p) -> send(id, p));
        heartbeatDue = false;
        Progress next = peers.get(transferTarget);
        if (next != null && !transferSent && next.match == raft.log.lastIndex()) {
            transferSent = true;
            raft.send(transferTarget, new Message.TimeoutNow(raft.id, raft.term()));
        }
        answerConfirmedReads();
    }

    private void send(long to, Progress p) {
        if (heartbeatDue) {
            // What was on its way may be lost.
            p.waiting = false;
        }
        if (p.mode != Progress.Mode.SNAPSHOT && p.next < raft.log.firstIndex()) {
            p.send(raft.log.snapshot());
        }
        if (p.mode == Progress.Mode.SNAPSHOT) {
            sendSnapshot(to, p);
            return;
        }
        boolean sent = false;
        while (!p.waiting && p.inFlight.size() < raft.settings.inFlight() && p.next <= raft.log.lastIndex()) {
            List<LogEntry> entries = raft.log.entriesFrom(p.next, raft.settings.messageBytes());
            sendEntries(to, p, entries);
            sent = true;
            if (p.mode == Progress.Mode.REPLICATE) {
                p.next += entries.size();
                p.inFlight.add(p.next - 1);
            } else {
                p.waiting = true;
            }
        }
        if (!sent && (p.roundSent < round || p.commitSent < Math.min(raft.log.commitIndex(), p.match))) {
            sendEntries(to, p, List.of());
        }
    }

    private void sendEntries(long to, Progress p, List<LogEntry> entries) {
        p.roundSent = round;
        p.commitSent = raft.log.commitIndex();
        raft.send(
                to,
                new Message.AppendEntries(
                        raft.id,
                        raft.term(),
                        p.next - 1,
                        raft.log.term(p.next - 1),
                        entries,
                        raft.log.commitIndex(),
                        round));
    }

    private void sendSnapshot(long to, Progress p) {
        if (p.waiting && p.roundSent == round) {
            return;
        }
        byte[] state = p.snapshot.state();
        int end = Math.min(state.length, p.offset + raft.settings.messageBytes());
        raft.send(
                to,
                new Message.InstallSnapshot(
                        raft.id,
                        raft.term(),
                        p.snapshot.index(),
                        p.snapshot.term(),
                        p.snapshot.configuration(),
                        state.length,
                        p.offset,
                        Arrays.copyOfRange(state, p.offset, end),
                        round));
        p.waiting = true;
        p.roundSent = round;
    }
}
