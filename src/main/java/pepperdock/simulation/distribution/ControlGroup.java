package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.Publisher;
import pepperdock.store.raft.RaftMessage;
import pepperdock.store.raft.RaftPeer;
import pepperdock.store.raft.RaftSettings;

/** The group of control machines: the messages between them, and their membership and votes. */
final class ControlGroup {

    private static final int TICK_MILLIS = 100;
    private static final int PUBLISH_MILLIS = 50;
    private static final int MEMBERSHIP_CHECK_MILLIS = 500;
    private static final int VOTERS = 3;
    private static final int RETRY_MILLIS = 1000;

    private final Timeline time;
    private final Network network;
    private final Random random;
    private final History history;
    private final Function<ControlNode, Publisher> publishers;
    private final List<ControlNode> nodes = new ArrayList<>();
    private final List<Long> lostIds = new ArrayList<>();
    private long nextId;

    /** Creates one machine at each place; the first three vote. */
    ControlGroup(
            Timeline time,
            Network network,
            Random random,
            History history,
            List<Place> places,
            Function<ControlNode, Publisher> publishers) {
        this.time = time;
        this.network = network;
        this.random = random;
        this.history = history;
        this.publishers = publishers;
        pepperdock.store.raft.VoterConfiguration first = pepperdock.store.raft.VoterConfiguration.NONE;
        for (int i = 0; i < places.size(); i++) {
            first = first.with(new RaftPeer(++nextId, places.get(i).name(), "", i < VOTERS));
        }
        for (int i = 0; i < places.size(); i++) {
            nodes.add(new ControlNode(this, places.get(i), i + 1L, first));
        }
    }

    void start() {
        for (int i = 0; i < nodes.size(); i++) {
            ControlNode node = nodes.get(i);
            node.start();
            time.every(TICK_MILLIS, 1 + 7L * i, node::tick);
            time.every(PUBLISH_MILLIS, 3 + 11L * i, node::publish);
        }
        time.every(MEMBERSHIP_CHECK_MILLIS, MEMBERSHIP_CHECK_MILLIS, this::repairMembership);
    }

    // ---- State for nodes and fault schedules ------------------------------------------------------------

    List<ControlNode> nodes() {
        return nodes;
    }

    Timeline time() {
        return time;
    }

    long now() {
        return time.now();
    }

    Random random() {
        return random;
    }

    RaftSettings raftSettings() {
        return RaftSettings.defaults();
    }

    Publisher publisher(ControlNode node) {
        return publishers.apply(node);
    }

    /** Returns the leader of the newest term; null if there is none. */
    ControlNode leader() {
        ControlNode leader = null;
        for (ControlNode node : nodes) {
            if (node.leads()
                    && (leader == null || node.raft().term() > leader.raft().term())) {
                leader = node;
            }
        }
        return leader;
    }

    void send(ControlNode from, long to, RaftMessage message) {
        for (ControlNode node : nodes) {
            if (node.id() == to && network.passes(from.place(), node.place())) {
                time.after(network.delay(from.place(), node.place()), () -> {
                    if (node.id() == to) {
                        node.received(message);
                    }
                });
            }
        }
    }

    void settled(long command, ConfigurationSnapshot configuration) {
        history.add(new Event.Settled(time.now(), command, configuration.version(), configuration.digest()));
    }

    // ---- Operators ------------------------------------------------------------

    /**
     * Submits a command of an operator to the current leader, and repeats it until it is acknowledged. With the
     * injected fault it is acknowledged at once.
     */
    void submit(Command command, boolean acknowledgedAtOnce) {
        history.add(new Event.Proposed(time.now(), command.id()));
        if (acknowledgedAtOnce && leader() != null) {
            leader().propose(command);
            history.add(new Event.Acknowledged(time.now(), command.id()));
        } else {
            propose(command);
        }
    }

    private void propose(Command command) {
        ControlNode leader = leader();
        if (leader != null && !leader.has(command.id())) {
            leader.propose(command);
        }
        awaitSettled(command, leader, time.now() + RETRY_MILLIS);
    }

    private void awaitSettled(Command command, ControlNode proposedTo, long until) {
        if (proposedTo != null && proposedTo.up() && proposedTo.has(command.id())) {
            history.add(new Event.Acknowledged(time.now(), command.id()));
        } else if (time.now() >= until) {
            propose(command);
        } else {
            time.after(10, () -> awaitSettled(command, proposedTo, until));
        }
    }

    // ---- Members ------------------------------------------------------------

    /** Loses the disk of a node for good; the machine that replaces it is another peer. */
    void loseDisk(ControlNode node) {
        lostIds.add(node.id());
        node.failSilently();
        node.replaceDisk(++nextId);
    }

    /**
     * Takes one step back to three voters and a standby after a disk was lost: makes the standby a voter, removes the
     * lost peer, or adds the new one.
     */
    private void repairMembership() {
        ControlNode leader = leader();
        if (leader == null || !leader.raft().configurationCommitted()) {
            return;
        }
        pepperdock.store.raft.VoterConfiguration now = leader.raft().configuration();
        RaftPeer lostPeer = now.peers().stream()
                .filter(p -> lostIds.contains(p.id()))
                .findFirst()
                .orElse(null);
        if (lostPeer != null && lostPeer.votes() && now.voters().size() <= VOTERS) {
            now.peers().stream()
                    .filter(p -> !p.votes()
                            && leader.raft().matchIndex(p.id()) >= leader.raft().commitIndex())
                    .findFirst()
                    .ifPresent(p -> leader.change(now.with(new RaftPeer(p.id(), p.name(), p.address(), true))));
        } else if (lostPeer != null) {
            leader.change(now.without(lostPeer.id()));
        } else {
            nodes.stream()
                    .filter(n -> n.up() && now.peer(n.id()) == null)
                    .findFirst()
                    .ifPresent(n -> leader.change(
                            now.with(new RaftPeer(n.id(), n.place().name(), "", false))));
        }
    }

    // ---- Newest version ------------------------------------------------------------

    /** Returns the newest version that any running machine has applied. */
    ConfigurationSnapshot newest() {
        ConfigurationSnapshot newest = ConfigurationSnapshot.NONE;
        for (ControlNode node : nodes) {
            if (node.up() && node.newest().version().newerThan(newest.version())) {
                newest = node.newest();
            }
        }
        return newest;
    }

    ConfigurationVersion newestVersion() {
        return newest().version();
    }
}
