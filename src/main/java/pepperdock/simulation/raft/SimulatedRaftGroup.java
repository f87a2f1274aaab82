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
 * Simulates a Raft group: its processes, their disks and the messages in flight. It takes one {@link Step} at a time
 * and then checks: one leader and one vote per node in a term, logs that agree where they share an entry, leaders with
 * all committed entries, the same entries applied in the same order everywhere, no entry acknowledged before the disk
 * holds it, membership changes by one vote, and reads not older than their request. Tests override protected methods.
 */
public class SimulatedRaftGroup {

    private static final int MAX_MESSAGES = 400;
    /** Maximum rounds of messages and responses in one calm round. */
    private static final int MAX_ROUNDS = 50;

    /** A process, running or not, and its disk. */
    static final class Node {
        final int number;
        long id;
        Disk disk;
        RaftServer raft;
        /** The state machine: a hash over all entries applied. */
        long state;
        /** The index of the last entry applied. */
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

    /** Creates a group of {@code nodes} processes, of which the first {@code voters} start as voters. */
    public SimulatedRaftGroup(int nodes, int voters, RaftSettings settings, long seed) {
        this.settings = settings;
        seeds = new Random(seed);
        VoterConfiguration first = VoterConfiguration.NONE;
        for (int i = 0; i < voters; i++) {
            first = first.with(new RaftPeer(nextId + i, "k" + (i + 1), "", true));
        }
        for (int i = 0; i < nodes; i++) {
            PersistedState initial = i >= voters
                    ? PersistedState.NOTHING
                    : new PersistedState(
                            PersistedState.NOTHING.hardState(), new RaftSnapshot(0, 0, first, bytes(0)), List.of());
            this.nodes.add(new Node(i, new Disk(initial), nextId++));
        }
        this.nodes.forEach(this::start);
    }

    // ---- Overridden by tests to inject faults ------------------------------------------------------------

    protected RaftServer newRaft(long id, RaftSettings of, PersistedState saved, long seed) {
        return new RaftServer(id, of, saved, seed);
    }

    /** Returns the state that a process reads from its disk when it restarts. */
    protected PersistedState persisted(PersistedState synced) {
        return synced;
    }

    /** Returns the id of the node whose disk replaces a lost one. */
    protected long idAfterLoss(long lost, long fresh) {
        return fresh;
    }

    /** Returns whether a write that is reported as synced really is. */
    protected boolean syncs() {
        return true;
    }

    /** Requests a read from a leader. */
    protected void read(RaftServer raft, long token) {
        raft.read(token);
    }

    // ---- Steps ------------------------------------------------------------

    /** Takes one step and checks the invariants after it; a step that does not apply now does nothing. */
    public void take(Step step) {
        Node node = nodes.get(Math.floorMod(step.a(), nodes.size()));
        RaftServer raft = node.raft;
        switch (step.kind()) {
            case DELIVER, DROP, TWICE -> deliver(step);
            case CALM -> runCalmRound();
            case START -> {
                if (raft == null) {
                    start(node);
                }
            }
            case CUT, HEAL -> {
                List<Integer> pair = List.of(node.number, Math.floorMod(step.b(), nodes.size()));
                if (step.kind() == Step.Kind.CUT) {
                    cutLinks.add(pair);
                } else {
                    cutLinks.clear();
                }
            }
            default -> {
                if (raft != null) {
                    takeOnRunning(node, raft, step);
                }
            }
        }
    }

    private void takeOnRunning(Node node, RaftServer raft, Step step) {
        switch (step.kind()) {
            case TICK -> raft.tick();
            case HASTE -> {
                for (int i = 0; i < 2 * settings.electionTicks(); i++) {
                    raft.tick();
                }
            }
            case AGAIN -> {
                crash(node, step.b());
                start(node);
            }
            case SYNC -> sync(node);
            case PROPOSE -> raft.propose(bytes(nextData++));
            case READ -> read(raft, invariants.registerRead());
            case COMPACT -> compact(node, raft);
            case CRASH -> crash(node, step.b());
            case LOSE -> {
                crash(node, 0);
                node.disk = new Disk(PersistedState.NOTHING);
                node.id = idAfterLoss(node.id, nextId++);
            }
            case FAIL -> {
                raft.onStorageFailure();
                node.disk.pending.clear();
            }
            case TRANSFER -> raft.transfer(nodes.get(Math.floorMod(step.b(), nodes.size())).id);
            default -> change(raft, step);
        }
        processOutputs(node);
    }

    private void compact(Node node, RaftServer raft) {
        if (node.applied > 0 && node.applied == raft.appliedIndex() && snapshotBehind(node)) {
            raft.compact(node.applied, bytes(node.state));
        }
    }

    private boolean snapshotBehind(Node node) {
        return node.disk.saved().snapshot().index() < node.applied
                && node.disk.pending.stream()
                        .noneMatch(w -> w.snapshot() != null && w.snapshot().index() >= node.applied);
    }

    private void change(RaftServer raft, Step step) {
        VoterConfiguration now = raft.configuration();
        Node other = nodes.get(Math.floorMod(step.b(), nodes.size()));
        switch (step.kind()) {
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
                            .get(Math.floorMod(step.b(), now.peers().size()))
                            .id()));
                }
            }
            default -> throw new IllegalArgumentException(step.toString());
        }
    }

    private void deliver(Step step) {
        if (network.isEmpty()) {
            return;
        }
        int k = Math.floorMod(step.a(), network.size());
        InFlight sent = step.kind() == Step.Kind.TWICE ? network.get(k) : network.remove(k);
        Node to = nodes.stream().filter(x -> x.id == sent.to()).findFirst().orElse(null);
        Node from = nodes.stream().filter(x -> x.id == sent.from()).findFirst().orElse(null);
        boolean cut = from != null && to != null && cutLinks.contains(List.of(from.number, to.number));
        if (step.kind() != Step.Kind.DROP && to != null && to.raft != null && !cut) {
            to.raft.received(sent.message());
            processOutputs(to);
        }
    }

    /**
     * Delivers the first matching message from one process to another, and keeps it for a second delivery if
     * {@code how} is TWICE. Returns false if there is none. Used by scenarios written by hand.
     */
    boolean deliver(Step.Kind how, int from, int to, Class<? extends RaftMessage> kind, Predicate<RaftMessage> which) {
        for (InFlight sent : network) {
            if (sent.from() == nodes.get(from).id
                    && sent.to() == nodes.get(to).id
                    && kind.isInstance(sent.message())
                    && which.test(sent.message())) {
                deliver(new Step(how, network.indexOf(sent), 0));
                return true;
            }
        }
        return false;
    }

    void dropAllMessages() {
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
        processOutputs(node);
    }

    private void sync(Node node) {
        if (!node.disk.pending.isEmpty()) {
            long number = node.disk.pending.peek().number();
            if (syncs()) {
                node.disk.sync();
            } else {
                node.disk.pending.poll();
            }
            node.raft.written(number);
        }
    }

    private void crash(Node node, int kept) {
        node.raft = null;
        node.disk.crash(node.disk.pending.isEmpty() ? 0 : Math.floorMod(kept, node.disk.pending.size() + 1));
    }

    /** Carries out the outputs of the state machine, and checks them. */
    private void processOutputs(Node node) {
        if (node.raft == null) {
            return;
        }
        for (RaftOutput o : node.raft.takeOutputs()) {
            if (o instanceof RaftOutput.Send send) {
                if (network.size() < MAX_MESSAGES) {
                    network.add(new InFlight(node.id, send.to(), send.message()));
                }
                invariants.checkSent(node, send);
            } else if (o instanceof RaftOutput.Write w) {
                node.disk.pending.add(w);
                invariants.checkWritten(node, w);
            } else if (o instanceof RaftOutput.Apply a) {
                a.entries().forEach(e -> apply(node, e));
            } else if (o instanceof RaftOutput.Restore r) {
                node.applied = r.snapshot().index();
                node.state = ByteBuffer.wrap(r.snapshot().state()).getLong();
                invariants.checkSnapshot(node, r.snapshot());
            } else if (o instanceof RaftOutput.StateChange r) {
                invariants.checkStateChange(node, r);
            } else if (o instanceof RaftOutput.ReadReady r) {
                invariants.checkRead(r.token(), r.index());
            }
        }
        invariants.recordCommitted(node);
    }

    /** Checks a read that is answered from the state applied up to that index. */
    protected final void checkRead(long token, long index) {
        invariants.checkRead(token, index);
    }

    private void apply(Node node, RaftLogEntry e) {
        long before = node.applied;
        node.applied = e.index();
        node.state = node.state * 31
                + (e.data().length == 0 ? e.term() : ByteBuffer.wrap(e.data()).getLong());
        invariants.checkApplied(node, e, before);
    }

    // ---- Settling ------------------------------------------------------------

    private void runCalmRound() {
        List<Node> running = nodes.stream().filter(s -> s.raft != null).toList();
        for (Node s : running) {
            s.raft.tick();
            processOutputs(s);
        }
        for (int i = 0;
                i < MAX_ROUNDS && (!network.isEmpty() || running.stream().anyMatch(s -> !s.disk.pending.isEmpty()));
                i++) {
            for (Node s : running) {
                while (!s.disk.pending.isEmpty()) {
                    sync(s);
                    processOutputs(s);
                }
            }
            for (int n = network.size(); n > 0; n--) {
                deliver(new Step(Step.Kind.DELIVER, 0, 0));
            }
        }
    }

    /**
     * Heals all links, restarts stopped processes and runs that many rounds of ticks with everything delivered and
     * synced. If a majority of the voters is available, all running processes must end with the same applied index.
     */
    public void settle(int rounds) {
        cutLinks.clear();
        nodes.stream().filter(s -> s.raft == null).forEach(this::start);
        for (int r = 0; r < rounds; r++) {
            runCalmRound();
        }
        Node leader = nodes.stream()
                .filter(s -> s.raft.state() == RaftPeerState.LEADER)
                .findFirst()
                .orElse(null);
        if (leader == null) {
            if (canElectLeader()) {
                invariants.violation("no leader after all faults were healed, though a majority is available");
            }
            return;
        }
        for (Node s : nodes) {
            if (leader.raft.configuration().peer(s.id) != null
                    && s.raft.state() != RaftPeerState.STORAGE_FAILED
                    && s.applied != leader.applied) {
                invariants.violation(s.id + " has applied up to index " + s.applied
                        + " after all faults were healed, but its leader up to index " + leader.applied);
            }
        }
        if (leader.applied < invariants.committed()) {
            invariants.violation("committed index " + invariants.committed() + " is lost: the leader ends at index "
                    + leader.applied);
        }
    }

    /** Returns whether the working voter with the most recent log has a majority of working voters to elect it. */
    private boolean canElectLeader() {
        Set<Long> working = new HashSet<>();
        nodes.stream()
                .filter(s -> s.raft.state() != RaftPeerState.STORAGE_FAILED)
                .forEach(s -> working.add(s.id));
        return nodes.stream()
                .filter(s -> working.contains(s.id) && s.raft.configuration().votes(s.id))
                .anyMatch(s -> s.raft.configuration().hasMajority(working::contains)
                        && nodes.stream()
                                .filter(o -> working.contains(o.id))
                                .allMatch(o -> o.raft.lastTerm() < s.raft.lastTerm()
                                        || o.raft.lastTerm() == s.raft.lastTerm()
                                                && o.raft.lastIndex() <= s.raft.lastIndex()));
    }

    /** Returns descriptions of the violations so far; empty if there are none. */
    public List<String> violations() {
        return invariants.violations();
    }

    /** Returns the numbers of terms with a leader, committed entries and answered reads, a measure of coverage. */
    public long[] counts() {
        return invariants.counts();
    }

    private static byte[] bytes(long x) {
        return ByteBuffer.allocate(8).putLong(x).array();
    }
}
