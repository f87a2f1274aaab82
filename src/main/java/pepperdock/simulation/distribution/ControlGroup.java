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

/** The control machines together: what they say to each other, and who of them votes. */
final class ControlGroup {

    private static final int TICK_MILLIS = 100;
    private static final int PUBLISH_MILLIS = 50;
    private static final int STEWARD_MILLIS = 500;
    private static final int VOTERS = 3;
    private static final int RETRY_MILLIS = 1000;

    private final Timeline time;
    private final Network network;
    private final Random chance;
    private final History history;
    private final Function<ControlNode, Publisher> publishers;
    private final List<ControlNode> nodes = new ArrayList<>();
    private final List<Long> lost = new ArrayList<>();
    private long nextId;

    /** One machine at each place; all but the last vote. */
    ControlGroup(
            Timeline time,
            Network network,
            Random chance,
            History history,
            List<Place> places,
            Function<ControlNode, Publisher> publishers) {
        this.time = time;
        this.network = network;
        this.chance = chance;
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
        time.every(STEWARD_MILLIS, STEWARD_MILLIS, this::tendMembers);
    }

    // ---- What nodes and scripts see ------------------------------------------------------------

    List<ControlNode> nodes() {
        return nodes;
    }

    Timeline time() {
        return time;
    }

    long now() {
        return time.now();
    }

    Random chance() {
        return chance;
    }

    RaftSettings raftSettings() {
        return RaftSettings.defaults();
    }

    Publisher publisher(ControlNode node) {
        return publishers.apply(node);
    }

    /** The one that leads in the newest term; null where none does. */
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

    /** An operator asks for this until it is acknowledged, of whoever leads; with the planted fault that is at once. */
    void ask(Command command, boolean acknowledgedAtOnce) {
        history.add(new Event.Proposed(time.now(), command.id()));
        if (acknowledgedAtOnce && leader() != null) {
            leader().propose(command);
            history.add(new Event.Acknowledged(time.now(), command.id()));
        } else {
            attempt(command);
        }
    }

    private void attempt(Command command) {
        ControlNode leader = leader();
        if (leader != null && !leader.has(command.id())) {
            leader.propose(command);
        }
        awaitSettled(command, leader, time.now() + RETRY_MILLIS);
    }

    private void awaitSettled(Command command, ControlNode asked, long until) {
        if (asked != null && asked.up() && asked.has(command.id())) {
            history.add(new Event.Acknowledged(time.now(), command.id()));
        } else if (time.now() >= until) {
            attempt(command);
        } else {
            time.after(10, () -> awaitSettled(command, asked, until));
        }
    }

    // ---- Members ------------------------------------------------------------

    /** The disk of this one is lost for good; what comes in its place is another peer. */
    void loseDisk(ControlNode node) {
        lost.add(node.id());
        node.vanish();
        node.replaceDisk(++nextId);
    }

    /** One step towards three voters and a standby, where a disk was lost: the standby votes, the lost one goes, the new comes. */
    private void tendMembers() {
        ControlNode leader = leader();
        if (leader == null || !leader.raft().configurationCommitted()) {
            return;
        }
        pepperdock.store.raft.VoterConfiguration now = leader.raft().configuration();
        RaftPeer gone = now.peers().stream()
                .filter(p -> lost.contains(p.id()))
                .findFirst()
                .orElse(null);
        if (gone != null && gone.votes() && now.voters().size() <= VOTERS) {
            now.peers().stream()
                    .filter(p -> !p.votes()
                            && leader.raft().matchIndex(p.id()) >= leader.raft().commitIndex())
                    .findFirst()
                    .ifPresent(p -> leader.change(now.with(new RaftPeer(p.id(), p.name(), p.address(), true))));
        } else if (gone != null) {
            leader.change(now.without(gone.id()));
        } else {
            nodes.stream()
                    .filter(n -> n.up() && now.peer(n.id()) == null)
                    .findFirst()
                    .ifPresent(n -> leader.change(
                            now.with(new RaftPeer(n.id(), n.place().name(), "", false))));
        }
    }

    // ---- What all agree on ------------------------------------------------------------

    /** The newest version that any running machine has applied. */
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
