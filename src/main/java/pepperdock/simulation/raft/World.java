package pepperdock.simulation.raft;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.RaftLogEntry;
import pepperdock.store.raft.RaftMessage;
import pepperdock.store.raft.RaftOutput;
import pepperdock.store.raft.RaftPeer;
import pepperdock.store.raft.RaftPeerState;
import pepperdock.store.raft.RaftServer;
import pepperdock.store.raft.RaftSettings;
import pepperdock.store.raft.RaftSnapshot;
import pepperdock.store.raft.VoterConfiguration;

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
    static final class Node {
        final int number;
        long id;
        Disk disk;
        RaftServer raft;
        /** Its own fold over what it applied, and how far that goes. */
        long state;

        long applied;

        Node(int number, Disk disk, long id) {
            this.number = number;
            this.disk = disk;
            this.id = id;
        }
    }

    private record InFlight(long from, long to, RaftMessage message) {}

    private final RaftSettings settings;
    private final Random seeds;
    private final List<Node> nodes = new ArrayList<>();
    private final List<InFlight> network = new ArrayList<>();
    private final Set<List<Integer>> cutLinks = new HashSet<>();
    private final Invariants invariants = new Invariants();
    private long nextId = 1;
    private long nextData = 1;

    /** So many processes, of which the first so many begin as voters of one group. */
    public World(int nodes, int voters, RaftSettings settings, long seed) {
        this.settings = settings;
        seeds = new Random(seed);
        VoterConfiguration first = VoterConfiguration.NONE;
        for (int i = 0; i < voters; i++) {
            first = first.with(new RaftPeer(nextId + i, "k" + (i + 1), "", true));
        }
        for (int i = 0; i < nodes; i++) {
            PersistedState begins = i >= voters
                    ? PersistedState.NOTHING
                    : new PersistedState(
                            PersistedState.NOTHING.hardState(), new RaftSnapshot(0, 0, first, bytes(0)), List.of());
            this.nodes.add(new Node(i, new Disk(begins), nextId++));
        }
        this.nodes.forEach(this::start);
    }

    // ---- Where tests plant faults ------------------------------------------------------------

    protected RaftServer newRaft(long id, RaftSettings of, PersistedState saved, long seed) {
        return new RaftServer(id, of, saved, seed);
    }

    /** What a process finds when it starts again. */
    protected PersistedState persisted(PersistedState synced) {
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
    protected void read(RaftServer raft, long token) {
        raft.read(token);
    }

    // ---- One step ------------------------------------------------------------

    /** Takes one step and checks the invariants after it; a step that does not apply now does nothing. */
    public void take(Step s) {
        Node node = nodes.get(Math.floorMod(s.a(), nodes.size()));
        RaftServer raft = node.raft;
        switch (s.kind()) {
            case DELIVER, DROP, TWICE -> deliver(s);
            case CALM -> calm();
            case START -> {
                if (raft == null) {
                    start(node);
                }
            }
            case CUT, HEAL -> {
                List<Integer> pair = List.of(node.number, Math.floorMod(s.b(), nodes.size()));
                if (s.kind() == Step.Kind.CUT) {
                    cutLinks.add(pair);
                } else {
                    cutLinks.clear();
                }
            }
            default -> {
                if (raft != null) {
                    at(node, raft, s);
                }
            }
        }
    }

    private void at(Node node, RaftServer raft, Step s) {
        switch (s.kind()) {
            case TICK -> raft.tick();
            case HASTE -> {
                for (int i = 0; i < 2 * settings.electionTicks(); i++) {
                    raft.tick();
                }
            }
            case AGAIN -> {
                crash(node, s.b());
                start(node);
            }
            case SYNC -> sync(node);
            case PROPOSE -> raft.propose(bytes(nextData++));
            case READ -> read(raft, invariants.readAsked());
            case COMPACT -> compact(node, raft);
            case CRASH -> crash(node, s.b());
            case LOSE -> {
                crash(node, 0);
                node.disk = new Disk(PersistedState.NOTHING);
                node.id = idAfterLoss(node.id, nextId++);
            }
            case FAIL -> {
                raft.onStorageFailure();
                node.disk.open.clear();
            }
            case TRANSFER -> raft.transfer(nodes.get(Math.floorMod(s.b(), nodes.size())).id);
            default -> change(raft, s);
        }
        after(node);
    }

    private void compact(Node node, RaftServer raft) {
        if (node.applied > 0 && node.applied == raft.appliedIndex() && snapshotBehind(node)) {
            raft.compact(node.applied, bytes(node.state));
        }
    }

    private boolean snapshotBehind(Node node) {
        return node.disk.saved().snapshot().index() < node.applied
                && node.disk.open.stream()
                        .noneMatch(w -> w.snapshot() != null && w.snapshot().index() >= node.applied);
    }

    private void change(RaftServer raft, Step s) {
        VoterConfiguration now = raft.configuration();
        Node other = nodes.get(Math.floorMod(s.b(), nodes.size()));
        switch (s.kind()) {
            case ADD -> {
                if (now.peer(other.id) == null) {
                    raft.change(now.with(new RaftPeer(other.id, "k", "", false)));
                }
            }
            case PROMOTE ->
                now.peers().stream()
                        .filter(p -> !p.votes())
                        .findFirst()
                        .ifPresent(p -> raft.change(now.with(new RaftPeer(p.id(), p.name(), p.address(), true))));
            case REMOVE -> {
                if (now.peers().size() > 1) {
                    raft.change(now.without(now.peers()
                            .get(Math.floorMod(s.b(), now.peers().size()))
                            .id()));
                }
            }
            default -> throw new IllegalArgumentException(s.toString());
        }
    }

    private void deliver(Step s) {
        if (network.isEmpty()) {
            return;
        }
        int k = Math.floorMod(s.a(), network.size());
        InFlight m = s.kind() == Step.Kind.TWICE ? network.get(k) : network.remove(k);
        Node to = nodes.stream().filter(x -> x.id == m.to()).findFirst().orElse(null);
        Node from = nodes.stream().filter(x -> x.id == m.from()).findFirst().orElse(null);
        boolean cut = from != null && to != null && cutLinks.contains(List.of(from.number, to.number));
        if (s.kind() != Step.Kind.DROP && to != null && to.raft != null && !cut) {
            to.raft.received(m.message());
            after(to);
        }
    }

    /**
     * The first message of that kind from one process to another arrives, and again later with TWICE; false where there is none.
     * For scenes written by hand.
     */
    boolean pass(Step.Kind how, int from, int to, Class<? extends RaftMessage> kind, Predicate<RaftMessage> which) {
        for (InFlight m : network) {
            if (m.from() == nodes.get(from).id
                    && m.to() == nodes.get(to).id
                    && kind.isInstance(m.message())
                    && which.test(m.message())) {
                deliver(new Step(how, network.indexOf(m), 0));
                return true;
            }
        }
        return false;
    }

    void loseAll() {
        network.clear();
    }

    RaftPeerState state(int node) {
        return nodes.get(node).raft.state();
    }

    private void start(Node node) {
        PersistedState saved = persisted(node.disk.saved());
        node.raft = newRaft(node.id, settings, saved, seeds.nextLong());
        node.applied = saved.snapshot().index();
        node.state = saved.snapshot().state().length == 0
                ? 0
                : ByteBuffer.wrap(saved.snapshot().state()).getLong();
        after(node);
    }

    private void sync(Node node) {
        if (!node.disk.open.isEmpty()) {
            long number = node.disk.open.peek().number();
            if (syncs()) {
                node.disk.sync();
            } else {
                node.disk.open.poll();
            }
            node.raft.written(number);
        }
    }

    private void crash(Node node, int kept) {
        node.raft = null;
        node.disk.crash(node.disk.open.isEmpty() ? 0 : Math.floorMod(kept, node.disk.open.size() + 1));
    }

    /** Carries out what the machine wants, and checks it. */
    private void after(Node node) {
        if (node.raft == null) {
            return;
        }
        for (RaftOutput o : node.raft.takeOutputs()) {
            if (o instanceof RaftOutput.Send send) {
                if (network.size() < MESSAGES_MOST) {
                    network.add(new InFlight(node.id, send.to(), send.message()));
                }
                invariants.sent(node, send);
            } else if (o instanceof RaftOutput.Write w) {
                node.disk.open.add(w);
                invariants.wrote(node, w);
            } else if (o instanceof RaftOutput.Apply a) {
                a.entries().forEach(e -> apply(node, e));
            } else if (o instanceof RaftOutput.Restore r) {
                node.applied = r.snapshot().index();
                node.state = ByteBuffer.wrap(r.snapshot().state()).getLong();
                invariants.restored(node, r.snapshot());
            } else if (o instanceof RaftOutput.StateChange r) {
                invariants.stateChanged(node, r);
            } else if (o instanceof RaftOutput.ReadReady r) {
                invariants.readAnswered(r.token(), r.index());
            }
        }
        invariants.committed(node);
    }

    /** A read is answered by what is applied up to that index. */
    protected final void answered(long token, long index) {
        invariants.readAnswered(token, index);
    }

    private void apply(Node node, RaftLogEntry e) {
        long before = node.applied;
        node.applied = e.index();
        node.state = node.state * 31
                + (e.data().length == 0 ? e.term() : ByteBuffer.wrap(e.data()).getLong());
        invariants.applied(node, e, before);
    }

    // ---- The end ------------------------------------------------------------

    private void calm() {
        List<Node> run = nodes.stream().filter(s -> s.raft != null).toList();
        for (Node s : run) {
            s.raft.tick();
            after(s);
        }
        for (int i = 0;
                i < ARRIVALS && (!network.isEmpty() || run.stream().anyMatch(s -> !s.disk.open.isEmpty()));
                i++) {
            for (Node s : run) {
                while (!s.disk.open.isEmpty()) {
                    sync(s);
                    after(s);
                }
            }
            for (int n = network.size(); n > 0; n--) {
                deliver(new Step(Step.Kind.DELIVER, 0, 0));
            }
        }
    }

    /**
     * All links heal, all that can run do; so many rounds of ticks, with everything delivered and synced. Where a majority of
     * those that vote is still there, all that run must come to hold the same.
     */
    public void settle(int rounds) {
        cutLinks.clear();
        nodes.stream().filter(s -> s.raft == null).forEach(this::start);
        for (int r = 0; r < rounds; r++) {
            calm();
        }
        Node leader = nodes.stream()
                .filter(s -> s.raft.state() == RaftPeerState.LEADER)
                .findFirst()
                .orElse(null);
        if (leader == null) {
            if (electable()) {
                invariants.violation("nobody leads in the end, though a majority is there");
            }
            return;
        }
        for (Node s : nodes) {
            if (leader.raft.configuration().peer(s.id) != null
                    && s.raft.state() != RaftPeerState.STORAGE_FAILED
                    && s.applied != leader.applied) {
                invariants.violation(
                        s.id + " has applied up to " + s.applied + " in the end, its leader up to " + leader.applied);
            }
        }
        if (leader.applied < invariants.committed()) {
            invariants.violation("what was committed at " + invariants.committed() + " is gone: the leader ends at "
                    + leader.applied);
        }
    }

    /** Whether whoever has the longest log of those that run has a majority of its voters beside it, and can be elected. */
    private boolean electable() {
        Set<Long> sound = new HashSet<>();
        nodes.stream()
                .filter(s -> s.raft.state() != RaftPeerState.STORAGE_FAILED)
                .forEach(s -> sound.add(s.id));
        return nodes.stream()
                .filter(s -> sound.contains(s.id) && s.raft.configuration().votes(s.id))
                .anyMatch(s -> s.raft.configuration().hasMajority(sound::contains)
                        && nodes.stream()
                                .filter(o -> sound.contains(o.id))
                                .allMatch(o -> o.raft.lastTerm() < s.raft.lastTerm()
                                        || o.raft.lastTerm() == s.raft.lastTerm()
                                                && o.raft.lastIndex() <= s.raft.lastIndex()));
    }

    /** The violated invariants so far, in words; empty where none was. */
    public List<String> violations() {
        return invariants.violations();
    }

    /** Terms with a leader, entries committed, reads answered: how much a run has seen. */
    public long[] counts() {
        return invariants.counts();
    }

    private static byte[] bytes(long x) {
        return ByteBuffer.allocate(8).putLong(x).array();
    }
}
