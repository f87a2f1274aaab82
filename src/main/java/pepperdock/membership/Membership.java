package pepperdock.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import pepperdock.membership.Message.Ack;
import pepperdock.membership.Message.DigestRequest;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.IndirectAck;
import pepperdock.membership.Message.IndirectPing;
import pepperdock.membership.Message.Join;
import pepperdock.membership.Message.JoinResponse;
import pepperdock.membership.Message.Ping;
import pepperdock.membership.Message.WrongAddressee;

/**
 * One member's half of the agreement about who is there. Messages and the time come in, {@link MembershipOutput} goes out; no clock, no
 * sockets, no threads, and chance only from the seed: the same inputs give the same outputs.
 *
 * <p>The caller hands every datagram to {@link #onDatagram}, what comes on streams to {@link #onStreamMessage}, the time to
 * {@link #tick} every {@link MembershipSettings#tickS} or as soon after as it can, and carries out what {@link #takeOutputs} returns after
 * each of these. Times are seconds of any clock that never goes back. All calls come from one thread.
 *
 * <p>Promised: changes are told once each and in the order of their numbers; a member's incarnation never goes back; a member
 * that hears that it was called gone refutes it; whoever does not reach a majority calls nobody gone; what is sent stays
 * within the settings' budget, but for answers to probes, which have a reserve of it.
 */
public final class Membership {

    /** Numbers of pings sent for others, apart from those of our own. */
    private static final long ERRANDS = 1L << 40;

    private static final int ERRANDS_MOST = 256;
    private static final int LATE_MOST = 8;
    private static final double STRETCH = 0.25;

    private static final int UDP_AND_IP = 28;
    /** Headers of the segments that one side of an exchange sends, at most as a rule. */
    private static final int STREAM_BYTES = 200;
    /** An exchange that brings nothing doubles the time to the next so often at most. */
    private static final int BACK_OFF_MOST = 2;
    /** Times {@code probeS} after which what was told at least once is no longer gossiped. */
    private static final int GOSSIP_PROBES = 10;
    /** News in one exchange after which the next is not put off until gossip has had its time. */
    private static final int BEHIND = 4;

    private record Errand(String asker, String subject, long life, long seq, double until) {}

    private final MembershipSettings settings;
    private final String fleet;
    private final List<String> seeds;
    private final Random chance;
    private final MembershipTable table;
    private final CutDetector judge;
    private final GossipQueue gossip = new GossipQueue();
    private final Map<String, SubjectMonitor> probes = new TreeMap<>();
    private final Map<Long, Errand> errands = new HashMap<>();
    private final MemberStateTracker states;
    private final List<MembershipOutput> outputs = new ArrayList<>();
    private MemberRecord self;
    private MemberRecord rival;
    private SubjectMonitor rivalProbe;
    private boolean leaving;
    /** Has heard from another what is held of this name: until then whoever has it was there first. */
    private boolean joined;

    private long errand = ERRANDS;
    /** Whom the judge wants called gone, and since when just these. */
    private List<String> due = List.of();

    private double dueSince;
    private boolean sure = true;
    private int reached = 1;
    private int known = 1;
    /** The table's version when subjects were last looked up. */
    private long observedAt = -1;

    private double lastTick;
    private int late;
    private int onTime;
    private double graceUntil;
    private double lastChange;
    private double mismatchSince = Double.NaN;
    private double nextSeed;
    private double nextFull;
    private double nextGone;
    private double nextForget;
    private final BandwidthBudget budget;
    private final AntiEntropy antiEntropy;
    /** Exchanges opened since one brought anything. */
    private int fruitless;

    private double nextExchange;
    /** The last exchange brought so much that there is probably more. */
    private boolean behind;

    private long foreign;

    /** {@code seeds} are addresses of members that may be there already; one's own among them is passed over. */
    public Membership(
            MembershipSettings settings, String fleet, MemberRecord self, List<String> seeds, long seed, double now) {
        this.settings = settings;
        this.fleet = fleet;
        this.self = self;
        this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).toList();
        chance = new Random(seed);
        table = new MembershipTable(settings.maxMembers(), settings.observers());
        judge = new CutDetector(settings, table);
        states = new MemberStateTracker(table, change -> outputs.add(new MembershipOutput.MemberChanged(change)));
        lastTick = now;
        budget = new BandwidthBudget(settings, now);
        antiEntropy = new AntiEntropy(table, chance);
        nextSeed = now;
        nextFull = now + settings.syncIntervalS() * (0.5 + chance.nextDouble());
        nextGone = now;
        nextForget = now;
        publish(self, now);
    }

    // ---- What the caller sees ------------------------------------------------------------

    /** What is to be done and told since the last call. */
    public List<MembershipOutput> takeOutputs() {
        List<MembershipOutput> all = List.copyOf(outputs);
        outputs.clear();
        return all;
    }

    public MembershipView view() {
        List<MembershipView.Member> members = new ArrayList<>();
        for (MembershipTable.Entry e : table.entries()) {
            MemberRecord c = e.memberRecord();
            members.add(new MembershipView.Member(
                    c.name(),
                    c.zone(),
                    c.machine(),
                    c.address(),
                    c.generation(),
                    c.incarnation(),
                    states.of(c.name()),
                    e.since(),
                    Map.copyOf(table.observationsOf(c.name()))));
        }
        return new MembershipView(
                states.number(), self.name(), sure, reached, known, rival == null ? "" : rival.address(), members);
    }

    public MemberRecord self() {
        return self;
    }

    /** Equal for two members that hold the same of all who are here. */
    public long stateDigest() {
        return table.stateDigest();
    }

    /** Datagrams sent, their bytes with headers, datagrams withheld for the budget, messages of other fleets: all so far. */
    public long[] counts() {
        return new long[] {budget.sentDatagrams(), budget.sentBytes(), budget.withheld(), foreign};
    }

    /** Says to all that this member leaves; it goes on answering until the caller ends it. */
    public void leave(double now) {
        leaving = true;
        if (rival == null) {
            publish(self.withStatus(RecordStatus.LEFT), now);
            for (String s : table.rings().names()) {
                if (!s.equals(self.name())) {
                    ping(table.get(s).memberRecord(), 0);
                }
            }
            states.publish();
        }
    }

    // ---- Time ------------------------------------------------------------

    public void tick(double now) {
        budget.refill(now);
        double elapsed = now - lastTick;
        double by = elapsed - settings.tickS();
        lastTick = now;
        if (settings.localHealthEnabled()) {
            lateness(by, now);
        }
        if (now >= nextForget) {
            nextForget = now + settings.suspicionTimeoutS();
            table.removeExpired(now - settings.retentionS(), self.name());
            states.forgetUnknown();
            errands.values().removeIf(e -> e.until() < now);
        }
        gossip.expire(now - GOSSIP_PROBES * settings.probeIntervalS());
        seek(now);
        if (rival != null) {
            contest(elapsed, now);
        } else if (!leaving) {
            observe(elapsed, now);
            speak(now);
            verdicts(now);
        }
        states.publish();
    }

    /**
     * A member that was paused, or is starved of time, has heard nothing because it did not listen. What it missed is added to
     * all it waits for, it waits longer while it goes on, and after a long pause its word counts for nothing for a while.
     */
    private void lateness(double by, double now) {
        if (by > settings.tickS()) {
            late = Math.min(LATE_MOST, late + 1);
            onTime = 0;
            probes.values().forEach(p -> p.extendDeadlines(by));
            if (by > settings.probeIntervalS()) {
                graceUntil = now + settings.suspicionTimeoutS();
                outputs.add(new MembershipOutput.Notice("paused", "late by its own clock", by));
            }
        } else if (late > 0 && ++onTime >= LATE_MOST) {
            late--;
            onTime = 0;
        }
    }

    private double stretch() {
        return 1 + late * STRETCH;
    }

    /** Looks for members: seeds while alone and now and then, all there is at intervals, and those gone, who may be back. */
    private void seek(double now) {
        boolean alone = table.rings().names().size() < 2 || rival != null;
        if (!seeds.isEmpty() && now >= nextSeed) {
            nextSeed =
                    now + settings.probeIntervalS() * (alone ? 2 << backOff() : 20) * (0.75 + chance.nextDouble() / 2);
            List<String> open = new ArrayList<>(seeds);
            if (!alone) {
                table.entries().stream()
                        .filter(MembershipTable.Entry::isAlive)
                        .forEach(e -> open.remove(e.memberRecord().address()));
            }
            if (!open.isEmpty()) {
                ask(open.get(chance.nextInt(open.size())), now);
            }
        }
        if (now >= nextFull) {
            nextFull = now + settings.syncIntervalS() * (0.75 + chance.nextDouble() / 2);
            List<String> others = new ArrayList<>(table.rings().names());
            others.remove(self.name());
            if (!others.isEmpty()) {
                exchange(
                        table.get(others.get(chance.nextInt(others.size())))
                                .memberRecord()
                                .address(),
                        now);
            }
        }
        if (now >= nextGone) {
            nextGone = now + settings.probeIntervalS() * 4;
            List<String> gone = List.copyOf(table.faulty());
            if (!gone.isEmpty() && rival == null) {
                ping(table.get(gone.get(chance.nextInt(gone.size()))).memberRecord(), 0);
            }
        }
    }

    /**
     * Asks a seed who is there: by an exchange, or, where that brought nothing to one that is new, by a datagram, of which a
     * seed can answer many more when a whole fleet starts at once.
     */
    private void ask(String seed, double now) {
        if (!joined && rival == null && fruitless > 0) {
            send(seed, new Join(head()), BandwidthBudget.Use.PROBE);
        } else {
            exchange(seed, now);
        }
    }

    private void welcome(String newcomer, String address) {
        int room = Math.min(
                MembershipSettings.DATAGRAM_BYTES,
                budget.availableBytes(BandwidthBudget.Use.JOIN_RESPONSE) - UDP_AND_IP);
        if (room >= AntiEntropy.MIN_RESPONSE_BYTES) {
            send(address, antiEntropy.joinResponse(head(), newcomer, joined, room), BandwidthBudget.Use.JOIN_RESPONSE);
        }
    }

    /** Opens an exchange, unless the budget has no room for one; the next later and later while none brings anything. */
    private void exchange(String address, double now) {
        nextExchange = now + 2 * settings.probeIntervalS() * (1 << backOff()) * (0.75 + chance.nextDouble() / 2);
        if (budget.availableBytes(BandwidthBudget.Use.EXCHANGE)
                >= STREAM_BYTES + antiEntropy.opening(head()).maxEncodedBytes()) {
            fruitless++;
            mismatchSince = Double.NaN;
            outputs.add(new MembershipOutput.OpenExchange(address));
        }
    }

    private int backOff() {
        return Math.min(BACK_OFF_MOST, fruitless);
    }

    // ---- Observing ------------------------------------------------------------

    private void observe(double elapsed, double now) {
        if (table.version() != observedAt) {
            observedAt = table.version();
            Set<String> subjects = table.rings().subjectsOf(self.name());
            probes.entrySet()
                    .removeIf(p -> !subjects.contains(p.getKey())
                            || p.getValue().generation()
                                    != table.get(p.getKey()).memberRecord().generation());
            for (String s : subjects) {
                probes.computeIfAbsent(
                        s,
                        x -> new SubjectMonitor(
                                settings,
                                table.get(s).memberRecord().generation(),
                                now,
                                now + settings.probeIntervalS() * chance.nextDouble()));
            }
        }
        probes.forEach((subject, p) -> probe(p, table.get(subject).memberRecord(), elapsed, now));
    }

    /**
     * Pings a subject when it is time to, and has others ping it when it did not answer in time. A ping that the budget
     * withholds was not sent: that nothing came back says nothing of the subject.
     */
    private void probe(SubjectMonitor p, MemberRecord subject, double elapsed, double now) {
        if (p.isPingDue(now)) {
            boolean same = p.stateDigest() == table.stateDigest();
            if (ping(subject, p.lastSequence() + 1, same)) {
                p.onPingSent(now);
            } else {
                p.extendDeadlines(elapsed);
            }
        } else if (p.startIndirectProbe(now)) {
            List<String> others = new ArrayList<>(table.rings().names());
            others.remove(self.name());
            others.remove(subject.name());
            for (int i = 0; i < settings.indirectProbes() && !others.isEmpty(); i++) {
                String helper = others.remove(chance.nextInt(others.size()));
                send(
                        table.get(helper).memberRecord().address(),
                        new IndirectPing(
                                head(), subject.name(), subject.generation(), subject.address(), p.lastSequence()),
                        BandwidthBudget.Use.INDIRECT);
            }
        }
    }

    /** What this member says as an observer, told to all when it changes. */
    private void speak(double now) {
        Map<String, Observations.SubjectObservation> said = Map.of();
        int unreached = 0;
        for (Map.Entry<String, SubjectMonitor> p : probes.entrySet()) {
            Observation w = p.getValue().observation(now, stretch());
            if (w != null) {
                said = said.isEmpty() ? new HashMap<>() : said;
                said.put(
                        p.getKey(),
                        new Observations.SubjectObservation(p.getValue().generation(), w));
                unreached += w == Observation.UNREACHABLE ? 1 : 0;
            }
        }
        boolean ill = settings.localHealthEnabled() && (now < graceUntil || 2 * unreached > probes.size());
        Observations before = table.get(self.name()).observations();
        if (!said.equals(before.bySubject()) || ill != before.unhealthy()) {
            merged(new Observations(self.name(), self.generation(), before.revision() + 1, ill, said), now);
        }
    }

    private void verdicts(double now) {
        CutDetector.Detection v =
                judge.detect(self.name(), table.get(self.name()).observations().unhealthy(), now);
        if (v.hasMajority() != sure) {
            outputs.add(new MembershipOutput.MajorityChanged(v.hasMajority(), v.reachable(), v.fleetSize()));
        }
        sure = v.hasMajority();
        reached = v.reachable();
        known = v.fleetSize();
        if (!v.faulty().equals(due)) {
            due = v.faulty();
            dueSince = now;
        }
        if (!due.isEmpty() && othersHeard()) {
            for (String name : due) {
                merged(table.get(name).memberRecord().withStatus(RecordStatus.FAULTY), now);
            }
            due = List.of();
        }
    }

    /**
     * Whether most of the subjects that are not about to be called gone have been heard since the verdict was due. A member
     * that has just been cut off does not know it yet, and what it holds of others may have been taken back meanwhile.
     */
    private boolean othersHeard() {
        int others = 0;
        int heard = 0;
        for (Map.Entry<String, SubjectMonitor> p : probes.entrySet()) {
            if (!due.contains(p.getKey())) {
                others++;
                heard += p.getValue().heardAfter(dueSince) ? 1 : 0;
            }
        }
        return others == 0 || 2 * heard > others;
    }

    // ---- A name used twice ------------------------------------------------------------

    /** Another process has this member's name, and goes before it: found out whether it lives, and the name claimed if not. */
    private void contest(double elapsed, double now) {
        MemberRecord held = table.get(self.name()).memberRecord();
        if (held.generation() != self.generation()) {
            rival = held;
        }
        if (rivalProbe == null || rivalProbe.generation() != rival.generation()) {
            rivalProbe = new SubjectMonitor(settings, rival.generation(), now, now);
        }
        if (rival.status() != RecordStatus.ALIVE
                || rival.address().equals(self.address())
                || rivalProbe.observation(now, stretch()) == Observation.UNREACHABLE) {
            claim(rival.incarnation() + 1, now);
        } else {
            probe(rivalProbe, rival, elapsed, now);
        }
    }

    private void claim(long incarnation, double now) {
        if (rival != null) {
            outputs.add(new MembershipOutput.Notice(
                    "claimed", "the other process of this name does not answer", incarnation));
        }
        rival = null;
        rivalProbe = null;
        publish(self.aliveIn(incarnation), now);
    }

    private void publish(MemberRecord card, double now) {
        self = card;
        merged(card, now);
    }

    /** A card with this member's own name. */
    private void own(MemberRecord c, double now) {
        if (c.generation() == self.generation()) {
            if (c.status() == RecordStatus.FAULTY
                    && c.incarnation() >= self.incarnation()
                    && !leaving
                    && rival == null) {
                outputs.add(new MembershipOutput.Notice("refuted", "called gone", c.incarnation() + 1));
                claim(c.incarnation() + 1, now);
            }
        } else if (rival != null) {
            merged(c, now);
        } else if ((c.supersedes(self) || !joined) && !leaving) {
            if (c.status() != RecordStatus.ALIVE || c.address().equals(self.address())) {
                // An earlier life of this very member.
                claim(c.incarnation() + 1, now);
            } else {
                rival = c;
                probes.clear();
                observedAt = -1;
                outputs.add(new MembershipOutput.Notice("taken", c.address(), c.incarnation()));
                if (joined) {
                    merged(c, now);
                } else {
                    table.replaceUnpublished(c, now);
                    states.recordChanged(c.name());
                    // In place of this one's own, which nobody has heard yet.
                    gossip.add(c, now);
                }
            }
        }
    }

    // ---- Messages ------------------------------------------------------------

    private Header head() {
        return new Header(
                fleet, self.name(), self.generation(), self.incarnation(), self.address(), table.stateDigest());
    }

    /** A datagram. Whatever it says, late, twice or out of order, does no harm. */
    public void onDatagram(Message m, double now) {
        if (!accepted(m.header())) {
            return;
        }
        budget.refill(now);
        SubjectMonitor from = probes.get(m.header().name());
        if (from != null && from.generation() == m.header().generation()) {
            from.onMessage(now);
            from.onStateDigest(m.header().stateDigest());
        }
        if (m instanceof Join j) {
            welcome(j.header().name(), j.header().address());
            return;
        }
        if (m instanceof JoinResponse w) {
            taken(w.items(), now);
            states.publish();
            return;
        }
        if (m instanceof Ping p) {
            if (p.target().equals(self.name()) && p.generation() == self.generation()) {
                answer(p);
            } else {
                send(
                        m.header().address(),
                        new WrongAddressee(head(), p.target(), p.generation()),
                        BandwidthBudget.Use.ACK);
            }
            items(p.gossip(), now);
        } else if (m instanceof Ack a) {
            acked(a, now);
            items(a.gossip(), now);
        } else if (m instanceof IndirectPing a) {
            help(a, now);
        } else if (m instanceof IndirectAck t) {
            SubjectMonitor p = t.subject().equals(self.name()) ? rivalProbe : probes.get(t.subject());
            if (p != null && p.generation() == t.generation()) {
                p.onIndirectAck(now);
            }
        } else if (m instanceof WrongAddressee o) {
            SubjectMonitor p = o.target().equals(self.name()) ? rivalProbe : probes.get(o.target());
            if (p != null && p.generation() == o.generation()) {
                p.onWrongAddressee();
            }
        }
        compare(m.header(), now);
        states.publish();
    }

    private boolean accepted(Header h) {
        if (!h.fleet().equals(fleet)) {
            foreign++;
            return false;
        }
        return h.generation() != self.generation();
    }

    private void acked(Ack a, double now) {
        if (a.sequence() >= ERRANDS) {
            Errand e = errands.remove(a.sequence());
            if (e != null
                    && e.subject().equals(a.header().name())
                    && e.life() == a.header().generation()) {
                send(e.asker(), new IndirectAck(head(), e.subject(), e.life(), e.seq()), BandwidthBudget.Use.ACK);
            }
            return;
        }
        SubjectMonitor p = a.header().name().equals(self.name())
                ? rivalProbe
                : probes.get(a.header().name());
        if (p != null && p.generation() == a.header().generation()) {
            p.onAck(a.sequence(), now);
        }
    }

    private void help(IndirectPing a, double now) {
        if (errands.size() >= ERRANDS_MOST) {
            for (Iterator<Errand> i = errands.values().iterator(); i.hasNext(); ) {
                if (i.next().until() < now) {
                    i.remove();
                }
            }
        }
        if (errands.size() < ERRANDS_MOST) {
            errands.put(
                    ++errand,
                    new Errand(
                            a.header().address(),
                            a.subject(),
                            a.generation(),
                            a.sequence(),
                            now + settings.suspicionTimeoutS()));
            send(
                    a.address(),
                    new Ping(head(), a.subject(), a.generation(), errand, List.of()),
                    BandwidthBudget.Use.INDIRECT);
        }
    }

    /** Where a sender holds other than this member, for longer than gossip takes, all is exchanged with it. */
    private void compare(Header h, double now) {
        MembershipTable.Entry e = table.get(h.name());
        boolean stranger = e == null
                || !e.isAlive()
                || e.memberRecord().generation() != h.generation()
                || e.memberRecord().incarnation() < h.incarnation();
        if (h.stateDigest() == table.stateDigest() && !stranger) {
            mismatchSince = Double.NaN;
            return;
        }
        if (Double.isNaN(mismatchSince)) {
            mismatchSince = now;
        }
        double quiet = 2 * settings.probeIntervalS();
        boolean settled = now - lastChange > quiet && now - mismatchSince > quiet || now - mismatchSince > 5 * quiet;
        if ((stranger || settled || behind) && now >= nextExchange) {
            exchange(h.address(), now);
        }
    }

    private void items(Collection<GossipItem> items, double now) {
        for (GossipItem i : items) {
            if (i.name().equals(self.name())) {
                if (i instanceof MemberRecord c) {
                    own(c, now);
                } else if (rival != null) {
                    merged(i, now);
                }
            } else {
                merged(i, now);
            }
        }
    }

    /** Takes an item in, and passes on what is new. */
    private void merged(GossipItem i, double now) {
        MembershipTable.Entry entry = table.get(i.name());
        Observations before = entry == null ? null : entry.observations();
        if ((i instanceof MemberRecord c ? table.merge(c, now) : table.merge((Observations) i))
                == MembershipTable.MergeResult.UNCHANGED) {
            return;
        }
        if (i instanceof Observations l) {
            states.observationsChanged(before.bySubject().keySet());
            states.observationsChanged(l.bySubject().keySet());
        } else {
            states.recordChanged(i.name());
        }
        gossip.add(i, now);
        lastChange = now;
    }

    // ---- Full exchange ------------------------------------------------------------

    /** The first message of an exchange that this member opens. */
    public Message openExchange() {
        Message first = antiEntropy.opening(head());
        budget.chargeStream(STREAM_BYTES + first.maxEncodedBytes());
        return first;
    }

    /**
     * What came on a stream; returns what goes back on it, null where the stream is to be closed: after the last message, or
     * where the budget has no room for an answer. The other side tries again, there or elsewhere.
     */
    public Message onStreamMessage(Message m, double now) {
        if (!accepted(m.header())) {
            return null;
        }
        budget.refill(now);
        Message back = answered(m, now);
        if (back != null) {
            boolean first = back instanceof Message.SliceSelection || back instanceof Message.DigestResponse;
            budget.chargeStream(back.maxEncodedBytes() + (first ? STREAM_BYTES : 0));
        }
        states.publish();
        return back;
    }

    private Message answered(Message m, double now) {
        int room = budget.availableBytes(BandwidthBudget.Use.EXCHANGE) - STREAM_BYTES;
        if (m instanceof Message.MissingItems r) {
            taken(r.items(), now);
            return null;
        }
        if (m instanceof Message.DigestResponse r) {
            taken(r.items(), now);
            return antiEntropy.missingItems(head(), r, Math.max(room, AntiEntropy.MIN_RESPONSE_BYTES));
        }
        if (room < AntiEntropy.MIN_RESPONSE_BYTES) {
            return null;
        }
        if (m instanceof Message.SliceDigests s) {
            return antiEntropy.differingSlices(head(), s);
        }
        if (m instanceof Message.SliceSelection s) {
            return antiEntropy.digestRequest(head(), s);
        }
        if (m instanceof DigestRequest d) {
            // Of those who have just begun many may come at once: half of the room is left to the next.
            boolean newcomer = d.digests().size() <= 1;
            return antiEntropy.digestResponse(
                    head(), d, joined, newcomer ? Math.max(room / 2, AntiEntropy.MIN_RESPONSE_BYTES) : room);
        }
        return null;
    }

    private void taken(List<GossipItem> items, double now) {
        long before = table.version();
        items(items, now);
        joined = true;
        behind = table.version() - before >= BEHIND;
        if (table.version() != before) {
            fruitless = 0;
        }
    }

    // ---- Sending, within the budget ------------------------------------------------------------

    private void ping(MemberRecord to, long seq) {
        ping(to, seq, false);
    }

    /** {@code same}: the one pinged holds the same of all who are here, so that gossip would tell it nothing. */
    private boolean ping(MemberRecord to, long seq, boolean same) {
        Ping bare = new Ping(head(), to.name(), to.generation(), seq, List.of());
        List<GossipItem> gossip = same ? List.of() : rides(bare);
        return send(
                to.address(),
                new Ping(bare.header(), to.name(), to.generation(), seq, gossip),
                BandwidthBudget.Use.PROBE);
    }

    private void answer(Ping p) {
        Ack bare = new Ack(head(), p.sequence(), List.of());
        List<GossipItem> gossip = p.header().stateDigest() == table.stateDigest() ? List.of() : rides(bare);
        send(p.header().address(), new Ack(bare.header(), p.sequence(), gossip), BandwidthBudget.Use.ACK);
    }

    /** Gossip for one datagram, of what the budget leaves beside those that probe and answer. */
    private List<GossipItem> rides(Message bare) {
        int room = Math.min(
                MembershipSettings.DATAGRAM_BYTES, budget.availableBytes(BandwidthBudget.Use.GOSSIP) - UDP_AND_IP);
        return gossip.take(room - bare.maxEncodedBytes(), table.rings().names().size());
    }

    private boolean send(String address, Message m, BandwidthBudget.Use use) {
        boolean sent = budget.tryAcquireDatagram(use, m.maxEncodedBytes() + UDP_AND_IP);
        if (sent) {
            outputs.add(new MembershipOutput.SendDatagram(address, m));
        }
        return sent;
    }
}
