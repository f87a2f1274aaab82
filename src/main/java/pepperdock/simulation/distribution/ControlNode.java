package pepperdock.simulation.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.DistributionMessage.FromPublisher;
import pepperdock.distribution.DistributionMessage.FromSubscriber;
import pepperdock.distribution.Publisher;
import pepperdock.distribution.PublisherOutput;
import pepperdock.distribution.VersionSource;
import pepperdock.store.raft.PersistedState;
import pepperdock.store.raft.RaftLogEntry;
import pepperdock.store.raft.RaftMessage;
import pepperdock.store.raft.RaftOutput;
import pepperdock.store.raft.RaftPeerState;
import pepperdock.store.raft.RaftServer;
import pepperdock.store.raft.RaftSnapshot;

/** A control machine: its consensus node, its disk, and the publisher of the committed log. */
final class ControlNode implements VersionSource, PublisherOutput {

    /** The epoch of the log: the simulation has only one. */
    private static final long EPOCH = 1;

    private static final int SYNC_MILLIS = 5;
    private static final int CONFIRM_TICKS = 5;
    /** The confirmation time before the first confirmation; any difference to the present is large. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ControlGroup group;
    private final Place place;
    private final TreeMap<Long, Connection> connections = new TreeMap<>();
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private final ByteMeter streams = new ByteMeter(Simulation.WARM_UP_MILLIS);
    private long id;
    private LogDisk disk;
    /** Null while the process is down. */
    private RaftServer raft;

    private Publisher publisher;
    /** The number of starts, so that actions scheduled by an earlier incarnation are not run in a later one. */
    private int incarnation;
    /** Whether the machine is down, so that nothing answers. */
    private boolean down;
    /** Whether the process is paused, while the kernel still accepts connections and bytes. */
    private boolean paused;
    /** Whether messages of subscribers are accepted but nothing is sent to them. */
    private boolean discardsOutput;
    /** If set, the versions served in place of those of the log; the machine then reports itself as confirmed. */
    private List<ConfigurationSnapshot> staleVersions;

    private List<ConfigurationSnapshot> settled = new ArrayList<>();
    private Set<Long> commands = new HashSet<>();
    private final Map<Long, Long> readRequestedAt = new HashMap<>();
    private long reads;
    private int ticks;
    private long confirmedAt = NEVER;

    ControlNode(ControlGroup group, Place place, long id, pepperdock.store.raft.VoterConfiguration first) {
        this.group = group;
        this.place = place;
        this.id = id;
        disk = new LogDisk(new PersistedState(
                PersistedState.NOTHING.hardState(), new RaftSnapshot(0, 0, first, new byte[0]), List.of()));
    }

    // ---- State for the simulation ------------------------------------------------------------

    Place place() {
        return place;
    }

    long id() {
        return id;
    }

    boolean up() {
        return raft != null;
    }

    /** Null while the process is down. */
    RaftServer raft() {
        return raft;
    }

    boolean leads() {
        return raft != null && !paused && raft.state() == RaftPeerState.LEADER;
    }

    Publisher publisher() {
        return publisher;
    }

    ConfigurationSnapshot newest() {
        return settled.isEmpty() ? ConfigurationSnapshot.NONE : settled.get(settled.size() - 1);
    }

    boolean has(long command) {
        return commands.contains(command);
    }

    ByteMeter streams() {
        return streams;
    }

    /** Returns whether the machine's kernel answers. */
    boolean answers() {
        return !down;
    }

    // ---- Start, stop and faults ------------------------------------------------------------

    void start() {
        down = false;
        if (raft != null) {
            return;
        }
        incarnation++;
        PersistedState saved = disk.saved();
        raft = new RaftServer(id, group.raftSettings(), saved, group.random().nextLong());
        settled = new ArrayList<>();
        commands = new HashSet<>();
        readRequestedAt.clear();
        confirmedAt = NEVER;
        publisher = group.publisher(this);
        processOutputs();
    }

    /** Ends the process; writes that are not synced are lost. */
    void crash() {
        raft = null;
        publisher = null;
        paused = false;
        inbox.clear();
        List<Connection> open = List.copyOf(connections.values());
        connections.clear();
        open.forEach(Connection::resetByControl);
    }

    /** Takes the machine down without notifying the other ends of its connections. */
    void failSilently() {
        List<Connection> open = List.copyOf(connections.values());
        connections.clear();
        open.forEach(Connection::failSilentlyAtControl);
        crash();
        down = true;
    }

    /** Replaces the machine by a new one of the same name with an empty disk, which is another peer. */
    void replaceDisk(long newId) {
        id = newId;
        disk = new LogDisk(PersistedState.NOTHING);
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!inbox.isEmpty() && !paused && raft != null) {
            inbox.removeFirst().run();
        }
    }

    void discardOutput(boolean discard) {
        discardsOutput = discard;
    }

    /** Serves only these versions from now on, as after a restart with an old disk; null returns to the log. */
    void serveStaleVersions(List<ConfigurationSnapshot> versions) {
        staleVersions = versions;
        List<Connection> open = List.copyOf(connections.values());
        connections.clear();
        open.forEach(Connection::resetByControl);
        publisher = raft == null ? null : group.publisher(this);
    }

    /** Runs an action in the process: at once, after a pause ends, or never if the process is down. */
    private void inProcess(Runnable action) {
        if (raft == null) {
            return;
        }
        if (paused) {
            inbox.addLast(action);
        } else {
            action.run();
        }
    }

    // ---- Consensus ------------------------------------------------------------

    void tick() {
        if (raft == null || paused) {
            return;
        }
        raft.tick();
        if (++ticks % CONFIRM_TICKS == 0 && raft.state() == RaftPeerState.LEADER) {
            readRequestedAt.put(++reads, group.now());
            raft.read(reads);
        }
        processOutputs();
    }

    void received(RaftMessage message) {
        inProcess(() -> {
            raft.received(message);
            processOutputs();
            boolean fromLeader = message instanceof RaftMessage.AppendEntries a
                    && a.term() == raft.term()
                    && raft.leader() == a.from()
                    && raft.appliedIndex() >= a.leaderCommit();
            if (fromLeader) {
                confirmedAt = group.now();
            }
        });
    }

    /** Proposes a command; returns false if this machine is not the leader. */
    boolean propose(Command command) {
        boolean accepted = raft.propose(command.encoded()) > 0;
        processOutputs();
        return accepted;
    }

    boolean change(pepperdock.store.raft.VoterConfiguration to) {
        boolean accepted = raft.change(to) > 0;
        processOutputs();
        return accepted;
    }

    private void processOutputs() {
        ConfigurationVersion before = newest().version();
        for (RaftOutput output : raft.takeOutputs()) {
            processOutput(output);
        }
        if (newest().version().newerThan(before) && staleVersions == null) {
            publisher.onCommitted(group.now());
        }
    }

    private void processOutput(RaftOutput output) {
        if (output instanceof RaftOutput.Send send) {
            group.send(this, send.to(), send.message());
        } else if (output instanceof RaftOutput.Write write) {
            int startedIn = incarnation;
            group.time().after(SYNC_MILLIS, () -> synced(write, startedIn));
        } else if (output instanceof RaftOutput.Apply apply) {
            apply.entries().forEach(this::apply);
        } else if (output instanceof RaftOutput.ReadReady read) {
            Long requestedAt = readRequestedAt.remove(read.token());
            if (requestedAt != null && raft.appliedIndex() >= read.index()) {
                confirmedAt = Math.max(confirmedAt, requestedAt);
            }
        } else if (output instanceof RaftOutput.ReadRejected rejected) {
            readRequestedAt.remove(rejected.token());
        }
    }

    private void synced(RaftOutput.Write write, int startedIn) {
        if (incarnation == startedIn && raft != null) {
            disk.store(write);
            inProcess(() -> {
                raft.written(write.number());
                processOutputs();
            });
        }
    }

    private void apply(RaftLogEntry entry) {
        if (entry.data().length == 0) {
            return;
        }
        Command command = Command.read(entry.data());
        if (commands.add(command.id())) {
            ConfigurationVersion version = new ConfigurationVersion(EPOCH, entry.index());
            settled.add(newest().with(version, command.format(), command.changes()));
            group.settled(command.id(), newest());
        }
    }

    // ---- VersionSource ------------------------------------------------------------

    @Override
    public List<ConfigurationSnapshot> after(ConfigurationVersion version) {
        List<ConfigurationSnapshot> all = staleVersions != null ? staleVersions : settled;
        int from = all.size();
        while (from > 0 && all.get(from - 1).version().newerThan(version)) {
            from--;
        }
        return all.subList(from, all.size());
    }

    @Override
    public long confirmedAtMillis() {
        return staleVersions != null ? group.now() : confirmedAt;
    }

    // ---- Subscribers ------------------------------------------------------------

    void publish() {
        if (publisher != null && !paused) {
            publisher.tick(group.now());
        }
    }

    void opened(Connection connection) {
        inProcess(() -> {
            if (connection.isOpen()) {
                connections.put(connection.number(), connection);
                publisher.connected(connection.number(), group.now());
            }
        });
    }

    void received(Connection connection, FromSubscriber message) {
        streams.add(group.now(), message.bytes());
        inProcess(() -> {
            if (connections.containsKey(connection.number())) {
                publisher.received(connection.number(), message, group.now());
            }
        });
    }

    void closed(Connection connection) {
        inProcess(() -> {
            if (connections.remove(connection.number()) != null) {
                publisher.disconnected(connection.number());
            }
        });
    }

    @Override
    public void send(long connection, FromPublisher message) {
        Connection to = connections.get(connection);
        if (to != null && !discardsOutput) {
            streams.add(group.now(), message.bytes());
            to.toGatherer().send(message, message.bytes());
        }
    }

    @Override
    public void close(long connection) {
        Connection closed = connections.remove(connection);
        if (closed != null) {
            closed.closeByControl();
        }
    }
}
