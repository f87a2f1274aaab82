package pepperdock.store.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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

    private record Later(long write, Runnable then) {}

    final Settings settings;
    final Log log;
    final Random chance;
    final long id;
    private Role role;
    private long term;
    private long vote;
    private long leader;
    /** Ticks since there was last a sign of a leader, or a vote was given. */
    private int quiet;

    private int patience;
    private boolean hardFresh;
    private long writes;
    private long synced;
    /** What may be said only once the state that it speaks of is synced; those of the write to come are in the second. */
    private final Deque<Later> later = new ArrayDeque<>();

    private final List<Runnable> fresh = new ArrayList<>();
    private final List<Output> outputs = new ArrayList<>();
    private Output.Role told;
    /** A snapshot that comes in pieces. */
    private Message.Install coming;

    private byte[] pieces;
    private int held;

    /** {@code saved} is what this peer's disk holds, and {@code id} the disk's. */
    public Raft(long id, Settings settings, Saved saved, long seed) {
        if (id == 0) {
            throw new IllegalArgumentException("0 is nobody's id");
        }
        this.id = id;
        this.settings = settings;
        chance = new Random(seed);
        term = saved.hard().term();
        vote = saved.hard().vote();
        log = new Log(saved.snapshot(), saved.entries());
        told = new Output.Role(Standing.FOLLOWER, term, 0);
        become(new Follower(this));
    }

    // ---- What the caller sees ------------------------------------------------------------

    public long id() {
        return id;
    }

    public Standing standing() {
        return role.standing();
    }

    public long term() {
        return term;
    }

    /** The leader's id; 0 where none is known. */
    public long leader() {
        return leader;
    }

    /** Who takes part, as of the newest entry here that says so. */
    public Members members() {
        return log.members();
    }

    /** Whether that entry is committed. */
    public boolean membersSettled() {
        return log.membersAt() <= log.commit();
    }

    public long commit() {
        return log.commit();
    }

    public long applied() {
        return log.applied();
    }

    public long last() {
        return log.last();
    }

    public long lastTerm() {
        return log.lastTerm();
    }

    /** The term of an entry that is held here; -1 where it isn't. */
    public long termAt(long index) {
        return log.term(index);
    }

    /** Of a peer, what the leader knows that it holds; -1 where this one does not lead or does not know the peer. */
    public long heldBy(long peer) {
        return role instanceof Leader l ? l.heldBy(peer) : -1;
    }

    // ---- What the caller does ------------------------------------------------------------

    public void tick() {
        quiet++;
        role.tick();
    }

    public void received(Message m) {
        if (role.standing() == Standing.MUTE) {
            return;
        }
        if (m.term() > term) {
            if (m instanceof Message.AskVote a && !a.told() && leader != 0 && quiet < settings.electionTicks()) {
                // Whoever hears a leader helps nobody to another one.
                return;
            }
            boolean hypothetical =
                    m instanceof Message.AskVote a && a.pre() || m instanceof Message.Vote v && v.pre() && v.granted();
            if (!hypothetical) {
                follow(m.term(), m instanceof Message.Append || m instanceof Message.Install ? m.from() : 0);
            }
        } else if (m.term() < term) {
            if (m instanceof Message.Append || m instanceof Message.Install) {
                // A leader that was away gives up when it hears of the newer term.
                say(m.from(), new Message.Appended(id, term, false, 0, 0, 0, 0));
            } else if (m instanceof Message.AskVote a && a.pre()) {
                say(m.from(), new Message.Vote(id, term, true, false));
            }
            return;
        }
        if (m instanceof Message.AskVote a) {
            asked(a);
        } else if (m instanceof Message.Append a) {
            leads(a.from());
            append(a);
        } else if (m instanceof Message.Install i) {
            leads(i.from());
            install(i);
        } else if (m instanceof Message.Now) {
            if (log.members().votes(id)) {
                become(new Candidate(this, false, true));
            }
        } else {
            role.received(m);
        }
    }

    /** All writes up to this one are synced. */
    public void written(long number) {
        if (role.standing() == Standing.MUTE || number <= synced) {
            return;
        }
        synced = number;
        log.written(number);
        while (!later.isEmpty() && later.peek().write() <= synced) {
            later.poll().then().run();
        }
        role.written();
    }

    /** A write or a sync failed: what is on the disk is not known, so nothing is promised from here on. */
    public void failed() {
        later.clear();
        fresh.clear();
        leader = 0;
        become(new Mute(this));
    }

    /** Adds an entry; returns its index, or 0 where this peer does not lead or has too much open already. */
    public long propose(byte[] data) {
        return role.propose(data, null);
    }

    /**
     * Changes who takes part; returns the entry's index, or 0 where this peer does not lead, the change before is not committed
     * yet, or more than one vote would change.
     */
    public long change(Members to) {
        return mayChange(to) ? role.propose(Entry.EMPTY, to) : 0;
    }

    /** Answered by {@link Output.Read} or {@link Output.Unread} with the same token. */
    public void read(long token) {
        role.read(token);
    }

    /** Has another peer lead, once it holds all that this one does. False where that can't be. */
    public boolean transfer(long to) {
        return role.transfer(to);
    }

    /** What was applied up to here has come to this; peers that lack more than is kept will get it in place of entries. */
    public void compact(long index, byte[] state) {
        if (role.standing() != Standing.MUTE) {
            log.compact(index, state, settings.kept());
        }
    }

    /** What is to be done since the last call, in order. */
    public List<Output> taken() {
        do {
            role.flush();
            if (role.standing() != Standing.MUTE && (hardFresh || log.anythingFresh())) {
                outputs.add(log.hand(++writes, hardFresh ? new Hard(term, vote) : null));
                hardFresh = false;
            }
            List<Runnable> now = List.copyOf(fresh);
            fresh.clear();
            for (Runnable r : now) {
                if (writes <= synced) {
                    r.run();
                } else {
                    later.add(new Later(writes, r));
                }
            }
        } while (!fresh.isEmpty());
        List<Entry> apply = log.toApply();
        if (!apply.isEmpty()) {
            outputs.add(new Output.Apply(apply));
        }
        Output.Role is = new Output.Role(role.standing(), term, leader);
        if (!is.equals(told)) {
            told = is;
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
        quiet = 0;
        patience = settings.electionTicks() + chance.nextInt(settings.electionTicks());
        next.begins();
    }

    /** A newer term begins, or the present one goes on under a leader. */
    final void follow(long newTerm, long newLeader) {
        if (newTerm > term) {
            term = newTerm;
            vote = 0;
            hardFresh = true;
        }
        leader = newLeader;
        become(new Follower(this));
    }

    /** Opens a new term with a vote for oneself. */
    final void candidacy() {
        term++;
        vote = id;
        leader = 0;
        hardFresh = true;
    }

    final void leadsItself() {
        leader = id;
    }

    final boolean isNow(Role r) {
        return role == r;
    }

    final boolean impatient() {
        return quiet >= patience;
    }

    final void forgetLeader() {
        leader = 0;
    }

    final void patient() {
        quiet = 0;
    }

    /** To be sent at once: it speaks of nothing that this disk has to hold. */
    final void send(long to, Message m) {
        outputs.add(new Output.Send(to, m));
    }

    /** To be sent, or done, once all that holds now is synced. */
    final void say(long to, Message m) {
        onceSynced(() -> send(to, m));
    }

    final void onceSynced(Runnable r) {
        fresh.add(r);
    }

    final void tell(Output o) {
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
    protected boolean mayChange(Members to) {
        return membersSettled()
                && log.term(log.commit()) == term
                && log.members().apart(to) <= 1
                && !to.voters().isEmpty();
    }

    /**
     * Whether all that a snapshot stands for is here already: then what follows it here stays. It may be newer than the
     * snapshot, and promised to be held.
     */
    protected boolean stays(long index, long indexTerm) {
        return index <= log.commit() || log.term(index) == indexTerm;
    }

    // ---- A follower's side, whatever the role was ------------------------------------------------------------

    private void asked(Message.AskVote a) {
        boolean may = vote == a.from() || vote == 0 && leader == 0 || a.pre() && a.term() > term;
        boolean upToDate =
                a.lastTerm() > log.lastTerm() || a.lastTerm() == log.lastTerm() && a.lastIndex() >= log.last();
        boolean granted = may && upToDate;
        if (granted && !a.pre()) {
            patient();
            if (vote == 0) {
                vote = a.from();
                hardFresh = true;
            }
        }
        say(a.from(), new Message.Vote(id, granted && a.pre() ? a.term() : term, a.pre(), granted));
    }

    /** Someone speaks as this term's leader. */
    private void leads(long from) {
        if (role.standing() != Standing.FOLLOWER) {
            become(new Follower(this));
        }
        leader = from;
        patient();
    }

    private void append(Message.Append a) {
        if (a.prevIndex() < log.commit() && a.prevIndex() < log.first() - 1) {
            // Older than what is held: all of that is committed, so it is the same.
            say(a.from(), new Message.Appended(id, term, true, log.commit(), 0, 0, a.round()));
            return;
        }
        if (log.term(a.prevIndex()) != a.prevTerm()) {
            long hint = log.noLaterThan(Math.min(a.prevIndex() - 1, log.last()), a.prevTerm());
            say(a.from(), new Message.Appended(id, term, false, a.prevIndex(), hint, log.term(hint), a.round()));
            return;
        }
        log.merge(a.entries());
        long same = a.prevIndex() + a.entries().size();
        log.commit(Math.min(a.commit(), same));
        say(a.from(), new Message.Appended(id, term, true, same, 0, 0, a.round()));
    }

    private void install(Message.Install i) {
        if (stays(i.index(), i.indexTerm())) {
            log.commit(i.index());
            coming = null;
            say(i.from(), new Message.Appended(id, term, true, Math.max(log.commit(), i.index()), 0, 0, i.round()));
            return;
        }
        if (coming == null
                || coming.index() != i.index()
                || coming.indexTerm() != i.indexTerm()
                || coming.total() != i.total()
                || coming.term() != i.term()) {
            coming = i;
            pieces = new byte[(int) i.total()];
            held = 0;
        }
        if (i.offset() == held) {
            System.arraycopy(i.piece(), 0, pieces, held, i.piece().length);
            held += i.piece().length;
        }
        if (held < i.total()) {
            say(i.from(), new Message.Installed(id, term, i.index(), held, i.round()));
            return;
        }
        Snapshot s = new Snapshot(i.index(), i.indexTerm(), i.members(), pieces);
        coming = null;
        pieces = null;
        log.restore(s);
        tell(new Output.Restore(s));
        say(i.from(), new Message.Appended(id, term, true, s.index(), 0, 0, i.round()));
    }
}
