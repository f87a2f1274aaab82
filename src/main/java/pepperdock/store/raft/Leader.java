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

    private record Asked(long token, long index, long round) {}

    private final Map<Long, Progress> peers = new TreeMap<>();
    private final Deque<Asked> reads = new ArrayDeque<>();
    /** Reads that wait for the first entry of this term to be committed: before, what is committed is not known. */
    private final Deque<Long> early = new ArrayDeque<>();

    private long round;
    /** A read has come since the last round began. */
    private boolean askedFor;

    private boolean beat;
    private int sinceBeat;
    private int sinceLook;
    /** Who is to lead next; 0 for nobody. */
    private long heir;

    private int heirTicks;
    private boolean heirTold;

    Leader(Raft raft) {
        super(raft);
    }

    @Override
    Standing standing() {
        return Standing.LEADER;
    }

    @Override
    void begins() {
        raft.leadsItself();
        refresh();
        add(Entry.EMPTY, null);
        beat = true;
    }

    @Override
    void ends() {
        reads.forEach(a -> raft.tell(new Output.Unread(a.token())));
        early.forEach(t -> raft.tell(new Output.Unread(t)));
        reads.clear();
        early.clear();
    }

    long heldBy(long peer) {
        return peer == raft.id ? raft.log.durable() : peers.containsKey(peer) ? peers.get(peer).match : -1;
    }

    /** Those that take part now, no others. */
    private void refresh() {
        peers.keySet().removeIf(p -> raft.log.members().of(p) == null);
        for (Peer p : raft.log.members().all()) {
            if (p.id() != raft.id) {
                peers.computeIfAbsent(p.id(), x -> new Progress(raft.log.last() + 1));
            }
        }
    }

    private long add(byte[] data, Members members) {
        long index = raft.log.last() + 1;
        raft.log.add(new Entry(index, raft.term(), data, members));
        if (members != null) {
            refresh();
        }
        return index;
    }

    @Override
    long propose(byte[] data, Members members) {
        return heir != 0 || raft.log.uncommitted() + data.length > raft.settings.uncommittedBytes()
                ? 0
                : add(data, members);
    }

    // ---- Time ------------------------------------------------------------

    @Override
    void tick() {
        if (++sinceBeat >= raft.settings.heartbeatTicks()) {
            beat = true;
        }
        if (heir != 0 && ++heirTicks >= raft.settings.electionTicks()) {
            heir = 0;
        }
        if (++sinceLook >= raft.settings.electionTicks()) {
            sinceLook = 0;
            if (!raft.log.members().most(p -> p == raft.id || peers.get(p).active)) {
                raft.follow(raft.term(), 0);
                return;
            }
            peers.values().forEach(p -> p.active = false);
        }
        raft.patient();
    }

    // ---- Answers ------------------------------------------------------------

    @Override
    void received(Message m) {
        Progress p = peers.get(m.from());
        if (p == null) {
            return;
        }
        p.active = true;
        if (m instanceof Message.Appended a) {
            p.round = Math.max(p.round, a.round());
            if (a.ok()) {
                p.holds(a.index());
                committed();
            } else {
                parted(p, a);
            }
        } else if (m instanceof Message.Installed i) {
            p.round = Math.max(p.round, i.round());
            if (p.how == Progress.How.SNAPSHOT && p.snapshot.index() == i.index()) {
                p.offset = (int) Math.min(i.held(), p.snapshot.state().length);
                p.waiting = false;
            }
        }
        answerReads();
    }

    /** Its log is another one at that index. */
    private void parted(Progress p, Message.Appended a) {
        if (p.how == Progress.How.STREAM) {
            if (a.index() > p.match) {
                p.probe();
            }
        } else if (p.how == Progress.How.PROBE && p.next - 1 == a.index()) {
            long same = raft.log.noLaterThan(a.hint(), a.hintTerm());
            p.next = Math.max(p.match, Math.min(a.index() - 1, same)) + 1;
            p.waiting = false;
        }
    }

    @Override
    void written() {
        committed();
        answerReads();
    }

    private void committed() {
        long reached = raft.log.members().reached(this::heldBy);
        if (reached > raft.log.commit() && raft.mayCommit(reached) && raft.log.commit(reached)) {
            List<Long> waited = List.copyOf(early);
            early.clear();
            waited.forEach(this::read);
            if (!raft.log.members().votes(raft.id) && raft.membersSettled()) {
                leaveTo();
            }
        }
    }

    /** Those who vote from now on have one that holds all: it is told to lead, and this one leads no more. */
    private void leaveTo() {
        flush();
        raft.log.members().voters().stream()
                .filter(v -> heldBy(v) >= raft.log.commit())
                .findFirst()
                .ifPresent(v -> raft.send(v, new Message.Now(raft.id, raft.term())));
        raft.follow(raft.term(), 0);
    }

    // ---- Reads ------------------------------------------------------------

    @Override
    void read(long token) {
        if (raft.log.term(raft.log.commit()) != raft.term()) {
            early.add(token);
            return;
        }
        askedFor = true;
        reads.add(new Asked(token, raft.log.commit(), round + 1));
    }

    /** Those whose round a majority has answered: nobody else led when they came. */
    private void answerReads() {
        while (!reads.isEmpty()
                && raft.log
                        .members()
                        .most(v -> v == raft.id
                                ? reads.peek().round() <= round
                                : peers.get(v).round >= reads.peek().round())) {
            Asked a = reads.poll();
            raft.tell(new Output.Read(a.token(), a.index()));
        }
    }

    // ---- Another leader ------------------------------------------------------------

    @Override
    boolean transfer(long to) {
        if (to == raft.id || !raft.log.members().votes(to)) {
            return false;
        }
        heir = to;
        heirTicks = 0;
        heirTold = false;
        return true;
    }

    // ---- Sending ------------------------------------------------------------

    @Override
    void flush() {
        if (beat || askedFor) {
            round++;
            sinceBeat = beat ? 0 : sinceBeat;
            askedFor = false;
        }
        peers.forEach((id, p) -> send(id, p));
        beat = false;
        Progress next = peers.get(heir);
        if (next != null && !heirTold && next.match == raft.log.last()) {
            heirTold = true;
            raft.send(heir, new Message.Now(raft.id, raft.term()));
        }
        answerReads();
    }

    private void send(long to, Progress p) {
        if (beat) {
            // What was on its way may be lost.
            p.waiting = false;
        }
        if (p.how != Progress.How.SNAPSHOT && p.next < raft.log.first()) {
            p.send(raft.log.snapshot());
        }
        if (p.how == Progress.How.SNAPSHOT) {
            piece(to, p);
            return;
        }
        boolean sent = false;
        while (!p.waiting && p.inFlight.size() < raft.settings.inFlight() && p.next <= raft.log.last()) {
            List<Entry> some = raft.log.from(p.next, raft.settings.messageBytes());
            append(to, p, some);
            sent = true;
            if (p.how == Progress.How.STREAM) {
                p.next += some.size();
                p.inFlight.add(p.next - 1);
            } else {
                p.waiting = true;
            }
        }
        if (!sent && (p.roundSent < round || p.commitSent < Math.min(raft.log.commit(), p.match))) {
            append(to, p, List.of());
        }
    }

    private void append(long to, Progress p, List<Entry> some) {
        p.roundSent = round;
        p.commitSent = raft.log.commit();
        raft.send(
                to,
                new Message.Append(
                        raft.id, raft.term(), p.next - 1, raft.log.term(p.next - 1), some, raft.log.commit(), round));
    }

    private void piece(long to, Progress p) {
        if (p.waiting && p.roundSent == round) {
            return;
        }
        byte[] state = p.snapshot.state();
        int end = Math.min(state.length, p.offset + raft.settings.messageBytes());
        raft.send(
                to,
                new Message.Install(
                        raft.id,
                        raft.term(),
                        p.snapshot.index(),
                        p.snapshot.term(),
                        p.snapshot.members(),
                        state.length,
                        p.offset,
                        Arrays.copyOfRange(state, p.offset, end),
                        round));
        p.waiting = true;
        p.roundSent = round;
    }
}
