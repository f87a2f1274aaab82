package pepperdock.lab.keepers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import pepperdock.store.raft.Entry;
import pepperdock.store.raft.Members;
import pepperdock.store.raft.Message;
import pepperdock.store.raft.Output;
import pepperdock.store.raft.Peer;
import pepperdock.store.raft.Raft;
import pepperdock.store.raft.Saved;
import pepperdock.store.raft.Settings;
import pepperdock.store.raft.Snapshot;
import pepperdock.store.raft.Standing;

/**
 * A few processes, their disks, and what is on the way between them; one {@link Step} at a time, and the checks after each:
 * one leader a term, one vote a term, logs that agree where they share an entry, a leader that has all that was committed,
 * the same applied everywhere in the same order, nothing said of the disk that the disk does not hold, members changed one vote
 * at a time, reads no older than what was committed when they came. The protected methods are where tests plant faults.
 */
public class World {

    private static final int MESSAGES_MOST = 400;
    /** Turns of messages and answers in a calm moment. */
    private static final int ARRIVALS = 50;

    /** A process that may be running, on its disk. */
    static final class Slot {
        final int number;
        long id;
        Disk disk;
        Raft raft;
        /** Its own fold over what it applied, and how far that goes. */
        long state;

        long applied;

        Slot(int number, Disk disk, long id) {
            this.number = number;
            this.disk = disk;
            this.id = id;
        }
    }

    private record OnTheWay(long from, long to, Message message) {}

    private record Applied(long term, long state) {}

    private final Settings settings;
    private final Random seeds;
    private final List<Slot> slots = new ArrayList<>();
    private final List<OnTheWay> way = new ArrayList<>();
    private final Set<List<Integer>> cuts = new HashSet<>();
    private final List<String> found = new ArrayList<>();
    // What is known from outside of all of them.
    private final Map<Long, Long> leaders = new HashMap<>();
    private final Map<List<Long>, Long> votes = new HashMap<>();
    private final Map<List<Long>, Integer> entries = new HashMap<>();
    private final TreeMap<Long, Applied> applied = new TreeMap<>();
    private final Map<Long, Long> reads = new HashMap<>();
    private final Map<Long, Long> committedTerm = new HashMap<>();
    private long committed;
    private long nextId = 1;
    private long nextData = 1;
    private long readsAnswered;

    /** So many slots, of which the first so many begin as voters of one group. */
    public World(int slots, int voters, Settings settings, long seed) {
        this.settings = settings;
        seeds = new Random(seed);
        Members first = Members.NONE;
        for (int i = 0; i < voters; i++) {
            first = first.with(new Peer(nextId + i, "k" + (i + 1), "", true));
        }
        for (int i = 0; i < slots; i++) {
            Saved begins = i >= voters
                    ? Saved.NOTHING
                    : new Saved(Saved.NOTHING.hard(), new Snapshot(0, 0, first, bytes(0)), List.of());
            this.slots.add(new Slot(i, new Disk(begins), nextId++));
        }
        this.slots.forEach(this::start);
    }

    // ---- Where tests plant faults ------------------------------------------------------------

    protected Raft machine(long id, Settings of, Saved saved, long seed) {
        return new Raft(id, of, saved, seed);
    }

    /** What a process finds when it starts again. */
    protected Saved found(Saved synced) {
        return synced;
    }

    /** The id of the disk that takes the place of a lost one. */
    protected long idAfterLoss(long lost, long fresh) {
        return fresh;
    }

    /** Whether what a process is told to be synced is. */
    protected boolean syncs() {
        return true;
    }

    /** How a leader is asked for a read. */
    protected void read(Raft raft, long token) {
        raft.read(token);
    }

    // ---- One step ------------------------------------------------------------

    public void take(Step s) {
        Slot slot = slots.get(Math.floorMod(s.a(), slots.size()));
        Raft raft = slot.raft;
        switch (s.kind()) {
            case DELIVER, DROP, TWICE -> deliver(s);
            case CALM -> calm();
            case START -> {
                if (raft == null) {
                    start(slot);
                }
            }
            case CUT, HEAL -> {
                List<Integer> pair = List.of(slot.number, Math.floorMod(s.b(), slots.size()));
                if (s.kind() == Step.Kind.CUT) {
                    cuts.add(pair);
                } else {
                    cuts.clear();
                }
            }
            default -> {
                if (raft != null) {
                    at(slot, raft, s);
                }
            }
        }
    }

    private void at(Slot slot, Raft raft, Step s) {
        switch (s.kind()) {
            case TICK -> raft.tick();
            case HASTE -> {
                for (int i = 0; i < 2 * settings.electionTicks(); i++) {
                    raft.tick();
                }
            }
            case AGAIN -> {
                crash(slot, s.b());
                start(slot);
            }
            case SYNC -> sync(slot);
            case PROPOSE -> raft.propose(bytes(nextData++));
            case READ -> {
                long token = reads.size() + 1L;
                reads.put(token, committed);
                read(raft, token);
            }
            case COMPACT -> {
                if (slot.applied > 0 && slot.applied == raft.applied() && snapshotBehind(slot)) {
                    raft.compact(slot.applied, bytes(slot.state));
                }
            }
            case CRASH -> crash(slot, s.b());
            case LOSE -> {
                crash(slot, 0);
                slot.disk = new Disk(Saved.NOTHING);
                slot.id = idAfterLoss(slot.id, nextId++);
            }
            case FAIL -> {
                raft.failed();
                slot.disk.open.clear();
            }
            case TRANSFER -> raft.transfer(slots.get(Math.floorMod(s.b(), slots.size())).id);
            default -> change(raft, s);
        }
        after(slot);
    }

    private boolean snapshotBehind(Slot slot) {
        return slot.disk.saved().snapshot().index() < slot.applied
                && slot.disk.open.stream()
                        .noneMatch(w -> w.snapshot() != null && w.snapshot().index() >= slot.applied);
    }

    private void change(Raft raft, Step s) {
        Members now = raft.members();
        Slot other = slots.get(Math.floorMod(s.b(), slots.size()));
        switch (s.kind()) {
            case ADD -> {
                if (now.of(other.id) == null) {
                    raft.change(now.with(new Peer(other.id, "k", "", false)));
                }
            }
            case PROMOTE ->
                now.all().stream()
                        .filter(p -> !p.votes())
                        .findFirst()
                        .ifPresent(p -> raft.change(now.with(new Peer(p.id(), p.name(), p.address(), true))));
            case REMOVE -> {
                if (now.all().size() > 1) {
                    raft.change(now.without(now.all()
                            .get(Math.floorMod(s.b(), now.all().size()))
                            .id()));
                }
            }
            default -> throw new IllegalArgumentException(s.toString());
        }
    }

    private void deliver(Step s) {
        if (way.isEmpty()) {
            return;
        }
        int k = Math.floorMod(s.a(), way.size());
        OnTheWay m = s.kind() == Step.Kind.TWICE ? way.get(k) : way.remove(k);
        Slot to = slots.stream().filter(x -> x.id == m.to()).findFirst().orElse(null);
        Slot from = slots.stream().filter(x -> x.id == m.from()).findFirst().orElse(null);
        boolean cut = from != null && to != null && cuts.contains(List.of(from.number, to.number));
        if (s.kind() != Step.Kind.DROP && to != null && to.raft != null && !cut) {
            to.raft.received(m.message());
            after(to);
        }
    }

    /**
     * The first message of that kind from one slot to another arrives, and again later with TWICE; false where there is none.
     * For scenes written by hand.
     */
    boolean pass(Step.Kind how, int from, int to, Class<? extends Message> kind, Predicate<Message> which) {
        for (OnTheWay m : way) {
            if (m.from() == slots.get(from).id
                    && m.to() == slots.get(to).id
                    && kind.isInstance(m.message())
                    && which.test(m.message())) {
                deliver(new Step(how, way.indexOf(m), 0));
                return true;
            }
        }
        return false;
    }

    void loseAll() {
        way.clear();
    }

    Standing standing(int slot) {
        return slots.get(slot).raft.standing();
    }

    private void start(Slot slot) {
        Saved saved = found(slot.disk.saved());
        slot.raft = machine(slot.id, settings, saved, seeds.nextLong());
        slot.applied = saved.snapshot().index();
        slot.state = saved.snapshot().state().length == 0
                ? 0
                : ByteBuffer.wrap(saved.snapshot().state()).getLong();
        after(slot);
    }

    private void sync(Slot slot) {
        if (!slot.disk.open.isEmpty()) {
            long number = slot.disk.open.peek().number();
            if (syncs()) {
                slot.disk.sync();
            } else {
                slot.disk.open.poll();
            }
            slot.raft.written(number);
        }
    }

    private void crash(Slot slot, int kept) {
        slot.raft = null;
        slot.disk.crash(slot.disk.open.isEmpty() ? 0 : Math.floorMod(kept, slot.disk.open.size() + 1));
    }

    /** Carries out what the machine wants, and checks it. */
    private void after(Slot slot) {
        if (slot.raft == null) {
            return;
        }
        for (Output o : slot.raft.taken()) {
            if (o instanceof Output.Send send) {
                sent(slot, send);
            } else if (o instanceof Output.Write w) {
                slot.disk.open.add(w);
                wrote(slot, w);
            } else if (o instanceof Output.Apply a) {
                a.entries().forEach(e -> applied(slot, e));
            } else if (o instanceof Output.Restore r) {
                slot.applied = r.snapshot().index();
                slot.state = ByteBuffer.wrap(r.snapshot().state()).getLong();
                Applied known = applied.get(slot.applied);
                if (known == null
                        || known.state() != slot.state
                        || known.term() != r.snapshot().term()) {
                    found.add("a snapshot of " + slot.applied + " that is not what was applied");
                }
            } else if (o instanceof Output.Role r) {
                role(slot, r);
            } else if (o instanceof Output.Read r) {
                answered(r.token(), r.index());
            }
        }
        if (slot.raft.commit() > committed) {
            for (long i = committed + 1; i <= slot.raft.commit(); i++) {
                committedTerm.put(i, slot.raft.termAt(i));
            }
            committed = slot.raft.commit();
        }
    }

    // ---- The checks ------------------------------------------------------------

    /** A read is answered by what is applied up to that index. */
    protected final void answered(long token, long index) {
        readsAnswered++;
        if (index < reads.get(token)) {
            found.add("a read at " + index + ", when " + reads.get(token) + " was committed before it came");
        }
    }

    private void sent(Slot slot, Output.Send send) {
        if (way.size() < MESSAGES_MOST) {
            way.add(new OnTheWay(slot.id, send.to(), send.message()));
        }
        if (send.message() instanceof Message.Vote v && !v.pre() && v.granted()) {
            Long before = votes.putIfAbsent(List.of(slot.id, v.term()), send.to());
            if (before != null && before != send.to()) {
                found.add(slot.id + " has voted for " + before + " and " + send.to() + " in term " + v.term());
            }
            if (slot.disk.saved().hard().term() < v.term()) {
                found.add(slot.id + " has voted in term " + v.term() + ", of which its disk does not know");
            }
        }
        if (send.message() instanceof Message.Appended a
                && a.ok()
                && a.term() == slot.raft.term()
                && slot.disk.lastIndex() < a.index()) {
            found.add(slot.id + " says that it holds " + a.index() + ", and its disk holds " + slot.disk.lastIndex());
        }
    }

    private void wrote(Slot slot, Output.Write w) {
        for (Entry e : w.entries()) {
            int sum = java.util.Arrays.hashCode(e.data()) * 31
                    + (e.members() == null ? 0 : e.members().hashCode());
            long before = slot.raft.termAt(e.index() - 1);
            if (before >= 0) {
                Integer known = entries.putIfAbsent(List.of(e.index(), e.term(), before), sum);
                if (known != null && known != sum) {
                    found.add("two entries of term " + e.term() + " at " + e.index());
                }
            }
            if (e.members() != null && e.term() == slot.raft.term() && slot.raft.standing() == Standing.LEADER) {
                long unsettled = w.entries().stream()
                        .filter(x -> x.members() != null && x.index() > slot.raft.commit())
                        .count();
                if (unsettled > 1 || !settledBefore(slot, e.index())) {
                    found.add("two changes of members at once, the second at " + e.index());
                }
            }
        }
    }

    /** Whether no other entry that changes members lies between what is committed and this one. */
    private boolean settledBefore(Slot slot, long index) {
        return slot.disk.saved().entries().stream()
                        .noneMatch(x -> x.members() != null && x.index() > slot.raft.commit() && x.index() < index)
                && slot.disk.open.stream()
                        .flatMap(w -> w.entries().stream())
                        .noneMatch(x -> x.members() != null
                                && x.index() > slot.raft.commit()
                                && x.index() < index
                                && slot.raft.termAt(x.index()) == x.term());
    }

    private void applied(Slot slot, Entry e) {
        if (e.index() != slot.applied + 1) {
            found.add(slot.id + " applied " + e.index() + " after " + slot.applied);
        }
        slot.applied = e.index();
        slot.state = slot.state * 31
                + (e.data().length == 0 ? e.term() : ByteBuffer.wrap(e.data()).getLong());
        Applied known = applied.putIfAbsent(e.index(), new Applied(e.term(), slot.state));
        if (known != null && (known.term() != e.term() || known.state() != slot.state)) {
            found.add(slot.id + " applied an entry of term " + e.term() + " at " + e.index()
                    + ", where another of term " + known.term() + " was applied");
        }
    }

    private void role(Slot slot, Output.Role r) {
        if (r.standing() != Standing.LEADER) {
            return;
        }
        Long before = leaders.putIfAbsent(r.term(), slot.id);
        if (before != null && before != slot.id) {
            found.add("two leaders in term " + r.term() + ": " + before + " and " + slot.id);
        }
        for (long i = 1; i <= committed; i++) {
            long term = slot.raft.termAt(i);
            if (i > slot.raft.last() || term >= 0 && term != committedTerm.get(i)) {
                found.add("the leader of term " + r.term() + " has not what was committed at " + i);
                return;
            }
        }
    }

    // ---- The end ------------------------------------------------------------

    private void calm() {
        List<Slot> run = slots.stream().filter(s -> s.raft != null).toList();
        for (Slot s : run) {
            s.raft.tick();
            after(s);
        }
        for (int i = 0; i < ARRIVALS && (!way.isEmpty() || run.stream().anyMatch(s -> !s.disk.open.isEmpty())); i++) {
            for (Slot s : run) {
                while (!s.disk.open.isEmpty()) {
                    sync(s);
                    after(s);
                }
            }
            for (int n = way.size(); n > 0; n--) {
                deliver(new Step(Step.Kind.DELIVER, 0, 0));
            }
        }
    }

    /**
     * All links heal, all that can run do; so many rounds of ticks, with everything delivered and synced. Where a majority of
     * those that vote is still there, all that run must come to hold the same.
     */
    public void settle(int rounds) {
        cuts.clear();
        slots.stream().filter(s -> s.raft == null).forEach(this::start);
        for (int r = 0; r < rounds; r++) {
            calm();
        }
        Slot leader = slots.stream()
                .filter(s -> s.raft.standing() == Standing.LEADER)
                .findFirst()
                .orElse(null);
        if (leader == null) {
            if (electable()) {
                found.add("nobody leads in the end, though a majority is there");
            }
            return;
        }
        for (Slot s : slots) {
            if (leader.raft.members().of(s.id) != null
                    && s.raft.standing() != Standing.MUTE
                    && s.applied != leader.applied) {
                found.add(s.id + " has applied up to " + s.applied + " in the end, its leader up to " + leader.applied);
            }
        }
        if (leader.applied < committed) {
            found.add("what was committed at " + committed + " is gone: the leader ends at " + leader.applied);
        }
    }

    /** Whether whoever has the longest log of those that run has a majority of its voters beside it, and can be elected. */
    private boolean electable() {
        Set<Long> sound = new HashSet<>();
        slots.stream().filter(s -> s.raft.standing() != Standing.MUTE).forEach(s -> sound.add(s.id));
        return slots.stream()
                .filter(s -> sound.contains(s.id) && s.raft.members().votes(s.id))
                .anyMatch(s -> s.raft.members().most(sound::contains)
                        && slots.stream()
                                .filter(o -> sound.contains(o.id))
                                .allMatch(o -> o.raft.lastTerm() < s.raft.lastTerm()
                                        || o.raft.lastTerm() == s.raft.lastTerm() && o.raft.last() <= s.raft.last()));
    }

    public List<String> found() {
        return found;
    }

    /** Terms with a leader, entries committed, reads answered: how much a run has seen. */
    public long[] counts() {
        return new long[] {leaders.size(), committed, readsAnswered};
    }

    private static byte[] bytes(long x) {
        return ByteBuffer.allocate(8).putLong(x).array();
    }
}
