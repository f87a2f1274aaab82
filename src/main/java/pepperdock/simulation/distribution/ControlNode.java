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

/** A control machine: its part of the consensus, its disk, and the publisher that the committed log feeds. */
final class ControlNode implements VersionSource, PublisherOutput {

    /** The log's first and only incarnation in the simulation. */
    private static final long EPOCH = 1;

    private static final int SYNC_MILLIS = 5;
    private static final int CONFIRM_TICKS = 5;
    /** Never confirmed, so that any difference to now is large. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ControlGroup group;
    private final Place place;
    private final TreeMap<Long, Connection> connections = new TreeMap<>();
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private final ByteMeter streams = new ByteMeter(Simulation.WARM_MILLIS);
    private long id;
    private LogDisk disk;
    /** Null while the process is down. */
    private RaftServer raft;

    private Publisher publisher;
    /** Counts the starts, so that what was planned for an earlier one is not done in a later one. */
    private int life;
    /** The machine is not there: nothing answers. */
    private boolean gone;
    /** The process stands still, and the kernel goes on to take connections and bytes. */
    private boolean stopped;
    /** What subscribers send is taken, and nothing is passed on to them. */
    private boolean passesNothing;
    /** Serves this list in place of the log's, and takes itself for confirmed. */
    private List<ConfigurationSnapshot> oldDisk;

    private List<ConfigurationSnapshot> settled = new ArrayList<>();
    private Set<Long> commands = new HashSet<>();
    private final Map<Long, Long> readAskedAt = new HashMap<>();
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

    // ---- What the world sees ------------------------------------------------------------

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
        return raft != null && !stopped && raft.state() == RaftPeerState.LEADER;
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

    /** Whether the machine's kernel answers. */
    boolean answers() {
        return !gone;
    }

    // ---- Life ------------------------------------------------------------

    void start() {
        gone = false;
        if (raft != null) {
            return;
        }
        life++;
        PersistedState saved = disk.saved();
        raft = new RaftServer(id, group.raftSettings(), saved, group.chance().nextLong());
        settled = new ArrayList<>();
        commands = new HashSet<>();
        readAskedAt.clear();
        confirmedAt = NEVER;
        publisher = group.publisher(this);
        after();
    }

    /** The process ends, and what was not synced is lost. */
    void crash() {
        raft = null;
        publisher = null;
        stopped = false;
        inbox.clear();
        List<Connection> open = List.copyOf(connections.values());
        connections.clear();
        open.forEach(Connection::resetByControl);
    }

    /** The machine goes: nobody is told. */
    void vanish() {
        List<Connection> open = List.copyOf(connections.values());
        connections.clear();
        open.forEach(Connection::silentFromControl);
        crash();
        gone = true;
    }

    /** A new machine of the same name with a new disk, which is another peer. */
    void replaceDisk(long freshId) {
        id = freshId;
        disk = new LogDisk(PersistedState.NOTHING);
    }

    void stop() {
        stopped = true;
    }

    void goOn() {
        stopped = false;
        while (!inbox.isEmpty() && !stopped && raft != null) {
            inbox.removeFirst().run();
        }
    }

    void passNothing(boolean nothing) {
        passesNothing = nothing;
    }

    /** From now on the publisher is fed by this alone; null ends that. */
    void serveOldDisk(List<ConfigurationSnapshot> versions) {
        oldDisk = versions;
        List<Connection> open = List.copyOf(connections.values());
        connections.clear();
        open.forEach(Connection::resetByControl);
        publisher = raft == null ? null : group.publisher(this);
    }

    /** Runs this in the process: at once, after it goes on, or never where it is down. */
    private void inProcess(Runnable action) {
        if (raft == null) {
            return;
        }
        if (stopped) {
            inbox.addLast(action);
        } else {
            action.run();
        }
    }

    // ---- Consensus ------------------------------------------------------------

    void tick() {
        if (raft == null || stopped) {
            return;
        }
        raft.tick();
        if (++ticks % CONFIRM_TICKS == 0 && raft.state() == RaftPeerState.LEADER) {
            readAskedAt.put(++reads, group.now());
            raft.read(reads);
        }
        after();
    }

    void received(RaftMessage message) {
        inProcess(() -> {
            raft.received(message);
            after();
            boolean fromLeader = message instanceof RaftMessage.AppendEntries a
                    && a.term() == raft.term()
                    && raft.leader() == a.from()
                    && raft.appliedIndex() >= a.leaderCommit();
            if (fromLeader) {
                confirmedAt = group.now();
            }
        });
    }

    /** False where this one does not lead. */
    boolean propose(Command command) {
        boolean taken = raft.propose(command.encoded()) > 0;
        after();
        return taken;
    }

    boolean change(pepperdock.store.raft.VoterConfiguration to) {
        boolean taken = raft.change(to) > 0;
        after();
        return taken;
    }

    private void after() {
        ConfigurationVersion before = newest().version();
        for (RaftOutput output : raft.takeOutputs()) {
            carryOut(output);
        }
        if (newest().version().newerThan(before) && oldDisk == null) {
            publisher.onCommitted(group.now());
        }
    }

    private void carryOut(RaftOutput output) {
        if (output instanceof RaftOutput.Send send) {
            group.send(this, send.to(), send.message());
        } else if (output instanceof RaftOutput.Write write) {
            int during = life;
            group.time().after(SYNC_MILLIS, () -> synced(write, during));
        } else if (output instanceof RaftOutput.Apply apply) {
            apply.entries().forEach(this::apply);
        } else if (output instanceof RaftOutput.ReadReady read) {
            Long askedAt = readAskedAt.remove(read.token());
            if (askedAt != null && raft.appliedIndex() >= read.index()) {
                confirmedAt = Math.max(confirmedAt, askedAt);
            }
        } else if (output instanceof RaftOutput.ReadRejected unread) {
            readAskedAt.remove(unread.token());
        }
    }

    private void synced(RaftOutput.Write write, int during) {
        if (life == during && raft != null) {
            disk.keep(write);
            inProcess(() -> {
                raft.written(write.number());
                after();
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
        List<ConfigurationSnapshot> all = oldDisk != null ? oldDisk : settled;
        int from = all.size();
        while (from > 0 && all.get(from - 1).version().newerThan(version)) {
            from--;
        }
        return all.subList(from, all.size());
    }

    @Override
    public long confirmedAtMillis() {
        return oldDisk != null ? group.now() : confirmedAt;
    }

    // ---- Subscribers ------------------------------------------------------------

    void publish() {
        if (publisher != null && !stopped) {
            publisher.tick(group.now());
        }
    }

    void opened(Connection connection) {
        inProcess(() -> {
            if (connection.open()) {
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
        if (to != null && !passesNothing) {
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
