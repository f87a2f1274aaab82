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
import pepperdock.membership.Message.Ask;
import pepperdock.membership.Message.Digest;
import pepperdock.membership.Message.Head;
import pepperdock.membership.Message.Join;
import pepperdock.membership.Message.Other;
import pepperdock.membership.Message.Ping;
import pepperdock.membership.Message.Told;
import pepperdock.membership.Message.Welcome;

/**
 * One member's half of the agreement about who is there. Messages and the time come in, {@link Output} goes out; no clock, no
 * sockets, no threads, and chance only from the seed: the same inputs give the same outputs.
 *
 * <p>The caller hands every datagram to {@link #received}, what comes on streams to {@link #exchanged}, the time to
 * {@link #tick} every {@link Settings#tickS} or as soon after as it can, and carries out what {@link #taken} returns after
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

    private final Settings settings;
    private final String fleet;
    private final List<String> seeds;
    private final Random chance;
    private final Table table;
    private final Judge judge;
    private final Gossip gossip = new Gossip();
    private final Map<String, Probe> probes = new TreeMap<>();
    private final Map<Long, Errand> errands = new HashMap<>();
    private final MemberStates states;
    private final List<Output> outputs = new ArrayList<>();
    private Card self;
    private Card rival;
    private Probe rivalProbe;
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
    private final Budget budget;
    private final AntiEntropy antiEntropy;
    /** Exchanges opened since one brought anything. */
    private int fruitless;

    private double nextExchange;
    /** The last exchange brought so much that there is probably more. */
    private boolean behind;

    private long foreign;

    /** {@code seeds} are addresses of members that may be there already; one's own among them is passed over. */
    public Membership(Settings settings, String fleet, Card self, List<String> seeds, long seed, double now) {
        this.settings = settings;
        this.fleet = fleet;
        this.self = self;
        this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).toList();
        chance = new Random(seed);
        table = new Table(settings.membersMost(), settings.observers());
        judge = new Judge(settings, table);
        states = new MemberStates(table, change -> outputs.add(new Output.Changed(change)));
        lastTick = now;
        budget = new Budget(settings, now);
        antiEntropy = new AntiEntropy(table, chance);
        nextSeed = now;
        nextFull = now + settings.syncS() * (0.5 + chance.nextDouble());
        nextGone = now;
        nextForget = now;
        publish(self, now);
    }

    // ---- What the caller sees ------------------------------------------------------------

    /** What is to be done and told since the last call. */
    public List<Output> taken() {
        List<Output> all = List.copyOf(outputs);
        outputs.clear();
        return all;
    }

    public View view() {
        List<View.Member> members = new ArrayList<>();
        for (Table.Entry e : table.all()) {
            Card c = e.card();
            members.add(new View.Member(
                    c.name(),
                    c.zone(),
                    c.machine(),
                    c.address(),
                    c.life(),
                    c.incarnation(),
                    states.of(c.name()),
                    e.since(),
                    Map.copyOf(table.saidOf(c.name()))));
        }
        return new View(
                states.number(), self.name(), sure, reached, known, rival == null ? "" : rival.address(), members);
    }

    public Card self() {
        return self;
    }

    /** Equal for two members that hold the same of all who are here. */
    public long state() {
        return table.state();
    }

    /** Datagrams sent, their bytes with headers, datagrams withheld for the budget, messages of other fleets: all so far. */
    public long[] counts() {
        return new long[] {budget.sentDatagrams(), budget.sentBytes(), budget.withheld(), foreign};
    }

    /** Says to all that this member leaves; it goes on answering until the caller ends it. */
    public void leave(double now) {
        leaving = true;
        if (rival == null) {
            publish(self.with(Status.LEFT), now);
            for (String s : table.rings().names()) {
                if (!s.equals(self.name())) {
                    ping(table.get(s).card(), 0);
                }
            }
            states.tell();
        }
    }

    // ---- Time ------------------------------------------------------------

    public void tick(double now) {
        budget.fill(now);
        double elapsed = now - lastTick;
        double by = elapsed - settings.tickS();
        lastTick = now;
        if (settings.selfDoubt()) {
            lateness(by, now);
        }
        if (now >= nextForget) {
            nextForget = now + settings.doubtS();
            table.forget(now - settings.forgetS(), self.name());
            states.forgetUnknown();
            errands.values().removeIf(e -> e.until() < now);
        }
        gossip.expire(now - GOSSIP_PROBES * settings.probeS());
        seek(now);
        if (rival != null) {
            contest(elapsed, now);
        } else if (!leaving) {
            observe(elapsed, now);
            speak(now);
            verdicts(now);
        }
        states.tell();
    }

    /**
     * A member that was paused, or is starved of time, has heard nothing because it did not listen. What it missed is added to
     * all it waits for, it waits longer while it goes on, and after a long pause its word counts for nothing for a while.
     */
    private void lateness(double by, double now) {
        if (by > settings.tickS()) {
            late = Math.min(LATE_MOST, late + 1);
            onTime = 0;
            probes.values().forEach(p -> p.paused(by));
            if (by > settings.probeS()) {
                graceUntil = now + settings.doubtS();
                outputs.add(new Output.Noted("paused", "late by its own clock", by));
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
            nextSeed = now + settings.probeS() * (alone ? 2 << backOff() : 20) * (0.75 + chance.nextDouble() / 2);
            List<String> open = new ArrayList<>(seeds);
            if (!alone) {
                table.all().stream()
                        .filter(Table.Entry::here)
                        .forEach(e -> open.remove(e.card().address()));
            }
            if (!open.isEmpty()) {
                ask(open.get(chance.nextInt(open.size())), now);
            }
        }
        if (now >= nextFull) {
            nextFull = now + settings.syncS() * (0.75 + chance.nextDouble() / 2);
            List<String> others = new ArrayList<>(table.rings().names());
            others.remove(self.name());
            if (!others.isEmpty()) {
                exchange(
                        table.get(others.get(chance.nextInt(others.size())))
                                .card()
                                .address(),
                        now);
            }
        }
        if (now >= nextGone) {
            nextGone = now + settings.probeS() * 4;
            List<String> gone = List.copyOf(table.gone());
            if (!gone.isEmpty() && rival == null) {
                ping(table.get(gone.get(chance.nextInt(gone.size()))).card(), 0);
            }
        }
    }

    /**
     * Asks a seed who is there: by an exchange, or, where that brought nothing to one that is new, by a datagram, of which a
     * seed can answer many more when a whole fleet starts at once.
     */
    private void ask(String seed, double now) {
        if (!joined && rival == null && fruitless > 0) {
            send(seed, new Join(head()), Budget.Use.PROBE);
        } else {
            exchange(seed, now);
        }
    }

    private void welcome(String newcomer, String address) {
        int room = Math.min(Settings.DATAGRAM_BYTES, budget.room(Budget.Use.WELCOME) - UDP_AND_IP);
        if (room >= AntiEntropy.LEAST_ROOM) {
            send(address, antiEntropy.welcome(head(), newcomer, joined, room), Budget.Use.WELCOME);
        }
    }

    /** Opens an exchange, unless the budget has no room for one; the next later and later while none brings anything. */
    private void exchange(String address, double now) {
        nextExchange = now + 2 * settings.probeS() * (1 << backOff()) * (0.75 + chance.nextDouble() / 2);
        if (budget.room(Budget.Use.EXCHANGE)
                >= STREAM_BYTES + antiEntropy.opening(head()).size()) {
            fruitless++;
            mismatchSince = Double.NaN;
            outputs.add(new Output.Exchange(address));
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
                            || p.getValue().life()
                                    != table.get(p.getKey()).card().life());
            for (String s : subjects) {
                probes.computeIfAbsent(
                        s,
                        x -> new Probe(
                                settings,
                                table.get(s).card().life(),
                                now,
                                now + settings.probeS() * chance.nextDouble()));
            }
        }
        probes.forEach((subject, p) -> probe(p, table.get(subject).card(), elapsed, now));
    }

    /**
     * Pings a subject when it is time to, and has others ping it when it did not answer in time. A ping that the budget
     * withholds was not sent: that nothing came back says nothing of the subject.
     */
    private void probe(Probe p, Card subject, double elapsed, double now) {
        if (p.due(now)) {
            boolean same = p.held() == table.state();
            if (ping(subject, p.lastSeq() + 1, same)) {
                p.sent(now);
            } else {
                p.paused(elapsed);
            }
        } else if (p.wantsHelp(now)) {
            List<String> others = new ArrayList<>(table.rings().names());
            others.remove(self.name());
            others.remove(subject.name());
            for (int i = 0; i < settings.helpers() && !others.isEmpty(); i++) {
                String helper = others.remove(chance.nextInt(others.size()));
                send(
                        table.get(helper).card().address(),
                        new Ask(head(), subject.name(), subject.life(), subject.address(), p.lastSeq()),
                        Budget.Use.INDIRECT);
            }
        }
    }

    /** What this member says as an observer, told to all when it changes. */
    private void speak(double now) {
        Map<String, Links.Said> said = Map.of();
        int unreached = 0;
        for (Map.Entry<String, Probe> p : probes.entrySet()) {
            Word w = p.getValue().word(now, stretch());
            if (w != null) {
                said = said.isEmpty() ? new HashMap<>() : said;
                said.put(p.getKey(), new Links.Said(p.getValue().life(), w));
                unreached += w == Word.UNREACHED ? 1 : 0;
            }
        }
        boolean ill = settings.selfDoubt() && (now < graceUntil || 2 * unreached > probes.size());
        Links before = table.get(self.name()).links();
        if (!said.equals(before.said()) || ill != before.ill()) {
            merged(new Links(self.name(), self.life(), before.revision() + 1, ill, said), now);
        }
    }

    private void verdicts(double now) {
        Judge.Verdicts v =
                judge.judge(self.name(), table.get(self.name()).links().ill(), now);
        if (v.sure() != sure) {
            outputs.add(new Output.Sure(v.sure(), v.reached(), v.fleet()));
        }
        sure = v.sure();
        reached = v.reached();
        known = v.fleet();
        if (!v.gone().equals(due)) {
            due = v.gone();
            dueSince = now;
        }
        if (!due.isEmpty() && othersHeard()) {
            for (String name : due) {
                merged(table.get(name).card().with(Status.GONE), now);
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
        for (Map.Entry<String, Probe> p : probes.entrySet()) {
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
        Card held = table.get(self.name()).card();
        if (held.life() != self.life()) {
            rival = held;
        }
        if (rivalProbe == null || rivalProbe.life() != rival.life()) {
            rivalProbe = new Probe(settings, rival.life(), now, now);
        }
        if (rival.status() != Status.HERE
                || rival.address().equals(self.address())
                || rivalProbe.word(now, stretch()) == Word.UNREACHED) {
            claim(rival.incarnation() + 1, now);
        } else {
            probe(rivalProbe, rival, elapsed, now);
        }
    }

    private void claim(long incarnation, double now) {
        if (rival != null) {
            outputs.add(new Output.Noted("claimed", "the other process of this name does not answer", incarnation));
        }
        rival = null;
        rivalProbe = null;
        publish(self.at(incarnation), now);
    }

    private void publish(Card card, double now) {
        self = card;
        merged(card, now);
    }

    /** A card with this member's own name. */
    private void own(Card c, double now) {
        if (c.life() == self.life()) {
            if (c.status() == Status.GONE && c.incarnation() >= self.incarnation() && !leaving && rival == null) {
                outputs.add(new Output.Noted("refuted", "called gone", c.incarnation() + 1));
                claim(c.incarnation() + 1, now);
            }
        } else if (rival != null) {
            merged(c, now);
        } else if ((c.beats(self) || !joined) && !leaving) {
            if (c.status() != Status.HERE || c.address().equals(self.address())) {
                // An earlier life of this very member.
                claim(c.incarnation() + 1, now);
            } else {
                rival = c;
                probes.clear();
                observedAt = -1;
                outputs.add(new Output.Noted("taken", c.address(), c.incarnation()));
                if (joined) {
                    merged(c, now);
                } else {
                    table.yield(c, now);
                    states.recordChanged(c.name());
                    // In place of this one's own, which nobody has heard yet.
                    gossip.add(c, now);
                }
            }
        }
    }

    // ---- Messages ------------------------------------------------------------

    private Head head() {
        return new Head(fleet, self.name(), self.life(), self.incarnation(), self.address(), table.state());
    }

    /** A datagram. Whatever it says, late, twice or out of order, does no harm. */
    public void received(Message m, double now) {
        if (!accepted(m.head())) {
            return;
        }
        budget.fill(now);
        Probe from = probes.get(m.head().name());
        if (from != null && from.life() == m.head().life()) {
            from.heard(now);
            from.holds(m.head().state());
        }
        if (m instanceof Join j) {
            welcome(j.head().name(), j.head().address());
            return;
        }
        if (m instanceof Welcome w) {
            taken(w.items(), now);
            states.tell();
            return;
        }
        if (m instanceof Ping p) {
            if (p.to().equals(self.name()) && p.life() == self.life()) {
                answer(p);
            } else {
                send(m.head().address(), new Other(head(), p.to(), p.life()), Budget.Use.ANSWER);
            }
            items(p.gossip(), now);
        } else if (m instanceof Ack a) {
            acked(a, now);
            items(a.gossip(), now);
        } else if (m instanceof Ask a) {
            help(a, now);
        } else if (m instanceof Told t) {
            Probe p = t.subject().equals(self.name()) ? rivalProbe : probes.get(t.subject());
            if (p != null && p.life() == t.life()) {
                p.toldOf(now);
            }
        } else if (m instanceof Other o) {
            Probe p = o.wanted().equals(self.name()) ? rivalProbe : probes.get(o.wanted());
            if (p != null && p.life() == o.life()) {
                p.notThere();
            }
        }
        compare(m.head(), now);
        states.tell();
    }

    private boolean accepted(Head h) {
        if (!h.fleet().equals(fleet)) {
            foreign++;
            return false;
        }
        return h.life() != self.life();
    }

    private void acked(Ack a, double now) {
        if (a.seq() >= ERRANDS) {
            Errand e = errands.remove(a.seq());
            if (e != null
                    && e.subject().equals(a.head().name())
                    && e.life() == a.head().life()) {
                send(e.asker(), new Told(head(), e.subject(), e.life(), e.seq()), Budget.Use.ANSWER);
            }
            return;
        }
        Probe p = a.head().name().equals(self.name())
                ? rivalProbe
                : probes.get(a.head().name());
        if (p != null && p.life() == a.head().life()) {
            p.acked(a.seq(), now);
        }
    }

    private void help(Ask a, double now) {
        if (errands.size() >= ERRANDS_MOST) {
            for (Iterator<Errand> i = errands.values().iterator(); i.hasNext(); ) {
                if (i.next().until() < now) {
                    i.remove();
                }
            }
        }
        if (errands.size() < ERRANDS_MOST) {
            errands.put(
                    ++errand, new Errand(a.head().address(), a.subject(), a.life(), a.seq(), now + settings.doubtS()));
            send(a.address(), new Ping(head(), a.subject(), a.life(), errand, List.of()), Budget.Use.INDIRECT);
        }
    }

    /** Where a sender holds other than this member, for longer than gossip takes, all is exchanged with it. */
    private void compare(Head h, double now) {
        Table.Entry e = table.get(h.name());
        boolean stranger = e == null
                || !e.here()
                || e.card().life() != h.life()
                || e.card().incarnation() < h.incarnation();
        if (h.state() == table.state() && !stranger) {
            mismatchSince = Double.NaN;
            return;
        }
        if (Double.isNaN(mismatchSince)) {
            mismatchSince = now;
        }
        double quiet = 2 * settings.probeS();
        boolean settled = now - lastChange > quiet && now - mismatchSince > quiet || now - mismatchSince > 5 * quiet;
        if ((stranger || settled || behind) && now >= nextExchange) {
            exchange(h.address(), now);
        }
    }

    private void items(Collection<Item> items, double now) {
        for (Item i : items) {
            if (i.name().equals(self.name())) {
                if (i instanceof Card c) {
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
    private void merged(Item i, double now) {
        Table.Entry entry = table.get(i.name());
        Links before = entry == null ? null : entry.links();
        if ((i instanceof Card c ? table.merge(c, now) : table.merge((Links) i)) == Table.Merged.NOTHING) {
            return;
        }
        if (i instanceof Links l) {
            states.observationsChanged(before.said().keySet());
            states.observationsChanged(l.said().keySet());
        } else {
            states.recordChanged(i.name());
        }
        gossip.add(i, now);
        lastChange = now;
    }

    // ---- Full exchange ------------------------------------------------------------

    /** The first message of an exchange that this member opens. */
    public Message digest() {
        Message first = antiEntropy.opening(head());
        budget.stream(STREAM_BYTES + first.size());
        return first;
    }

    /**
     * What came on a stream; returns what goes back on it, null where the stream is to be closed: after the last message, or
     * where the budget has no room for an answer. The other side tries again, there or elsewhere.
     */
    public Message exchanged(Message m, double now) {
        if (!accepted(m.head())) {
            return null;
        }
        budget.fill(now);
        Message back = answered(m, now);
        if (back != null) {
            boolean first = back instanceof Message.Slices || back instanceof Message.Reply;
            budget.stream(back.size() + (first ? STREAM_BYTES : 0));
        }
        states.tell();
        return back;
    }

    private Message answered(Message m, double now) {
        int room = budget.room(Budget.Use.EXCHANGE) - STREAM_BYTES;
        if (m instanceof Message.Rest r) {
            taken(r.items(), now);
            return null;
        }
        if (m instanceof Message.Reply r) {
            taken(r.items(), now);
            return antiEntropy.rest(head(), r, Math.max(room, AntiEntropy.LEAST_ROOM));
        }
        if (room < AntiEntropy.LEAST_ROOM) {
            return null;
        }
        if (m instanceof Message.Summary s) {
            return antiEntropy.differing(head(), s);
        }
        if (m instanceof Message.Slices s) {
            return antiEntropy.digest(head(), s);
        }
        if (m instanceof Digest d) {
            // Of those who have just begun many may come at once: half of the room is left to the next.
            boolean newcomer = d.sums().size() <= 1;
            return antiEntropy.reply(head(), d, joined, newcomer ? Math.max(room / 2, AntiEntropy.LEAST_ROOM) : room);
        }
        return null;
    }

    private void taken(List<Item> items, double now) {
        long before = table.version();
        items(items, now);
        joined = true;
        behind = table.version() - before >= BEHIND;
        if (table.version() != before) {
            fruitless = 0;
        }
    }

    // ---- Sending, within the budget ------------------------------------------------------------

    private void ping(Card to, long seq) {
        ping(to, seq, false);
    }

    /** {@code same}: the one pinged holds the same of all who are here, so that gossip would tell it nothing. */
    private boolean ping(Card to, long seq, boolean same) {
        Ping bare = new Ping(head(), to.name(), to.life(), seq, List.of());
        List<Item> gossip = same ? List.of() : rides(bare);
        return send(to.address(), new Ping(bare.head(), to.name(), to.life(), seq, gossip), Budget.Use.PROBE);
    }

    private void answer(Ping p) {
        Ack bare = new Ack(head(), p.seq(), List.of());
        List<Item> gossip = p.head().state() == table.state() ? List.of() : rides(bare);
        send(p.head().address(), new Ack(bare.head(), p.seq(), gossip), Budget.Use.ANSWER);
    }

    /** Gossip for one datagram, of what the budget leaves beside those that probe and answer. */
    private List<Item> rides(Message bare) {
        int room = Math.min(Settings.DATAGRAM_BYTES, budget.room(Budget.Use.GOSSIP) - UDP_AND_IP);
        return gossip.take(room - bare.size(), table.rings().names().size());
    }

    private boolean send(String address, Message m, Budget.Use use) {
        boolean sent = budget.datagram(use, m.size() + UDP_AND_IP);
        if (sent) {
            outputs.add(new Output.Send(address, m));
        }
        return sent;
    }
}
