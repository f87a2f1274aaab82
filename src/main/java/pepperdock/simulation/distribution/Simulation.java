package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import pepperdock.distribution.Change;
import pepperdock.distribution.ConfigurationItem;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationValidator;
import pepperdock.distribution.ControlMachine;
import pepperdock.distribution.Publisher;
import pepperdock.distribution.PublisherOutput;
import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.Subscriber;
import pepperdock.distribution.SubscriberId;
import pepperdock.distribution.SubscriberIdentity;
import pepperdock.distribution.SubscriberOutput;
import pepperdock.distribution.SubscriberSettings;
import pepperdock.distribution.VersionSource;
import pepperdock.distribution.VersionStore;

/**
 * One simulated run: four control machines, the gatherers, one hard case, and changes throughout. The same setup gives
 * the same run. Tests override the protected methods to inject faults.
 */
public class Simulation {

    /** Each concern has its own random stream, so that more draws in one do not change the others. */
    private enum Concern {
        NETWORK,
        CONTROL,
        GATHERERS,
        OPERATORS,
        SCRIPT
    }

    static final List<Place> CONTROL_PLACES = List.of(
            new Place("c1", "r1", "r1z1"),
            new Place("c2", "r2", "r2z1"),
            new Place("c3", "r3", "r3z1"),
            new Place("c4", "r1", "r1z2"));

    private static final int REGIONS = 3;
    private static final int ZONES = 3;
    private static final int ITEM_COUNT = 500;
    /** Bytes of an item in addition to its value. */
    private static final int ITEM_HEADER_BYTES = 16;

    private static final int FIRST_VERSION_MILLIS = 4000;
    private static final int START_WITHIN_MILLIS = 5000;
    private static final int TICK_MILLIS = 100;
    /** Changes are measured from this time on. */
    static final int WARM_UP_MILLIS = 40_000;

    private static final long SECOND_MILLIS = 1000;
    private static final int FREQUENT_CHANGES_SECONDS = 10;
    private static final int MIN_CHANGE_GAP_MILLIS = 3000;
    private static final int MAX_CHANGE_GAP_MILLIS = 7000;
    /**
     * Time from the last fault to the end: twice the time that all gatherers may take to have the newest version, and
     * time to save it again.
     */
    private static final int RECOVERY_MILLIS = 25_000;
    /** One gatherer in this many has a program version that reads only the first format. */
    private static final int FIRST_FORMAT_READER_EVERY = 5;

    private static final int FIRST_FORMAT = 1;
    static final int SECOND_FORMAT = 2;
    private static final ConfigurationValidator ACCEPT_ALL = configuration -> Optional.empty();

    private final Setup setup;
    private final Timeline time = new Timeline();
    private final History history = new History();
    private final Random gathererRandom;
    private final Random operatorRandom;
    private final Network network;
    private final ControlGroup group;
    private final List<GathererNode> gatherers = new ArrayList<>();
    private final List<ControlMachine> machines;
    private long connections;
    private long commands;
    private int format = FIRST_FORMAT;

    /** Creates the control machines and the gatherers; nothing runs before {@link #run}. */
    public Simulation(Setup setup) {
        this.setup = setup;
        gathererRandom = random(Concern.GATHERERS);
        operatorRandom = random(Concern.OPERATORS);
        network = new Network(time, random(Concern.NETWORK));
        Random control = random(Concern.CONTROL);
        group = new ControlGroup(
                time,
                network,
                control,
                history,
                CONTROL_PLACES,
                node -> newPublisher(setup.publisher(), node, node, control.nextLong(), now()));
        machines = CONTROL_PLACES.stream()
                .map(p -> new ControlMachine(p.name(), p.region()))
                .toList();
        for (int i = 0; i < setup.gatherers(); i++) {
            String region = "r" + (i % REGIONS + 1);
            String zone = region + "z" + (i / REGIONS % ZONES + 1);
            int maxFormat = i % FIRST_FORMAT_READER_EVERY == 0 ? FIRST_FORMAT : SECOND_FORMAT;
            gatherers.add(new GathererNode(this, new Place("g" + i, region, zone), maxFormat, newDisk()));
        }
    }

    /** Runs the simulation to its end. */
    public Result run() {
        group.start();
        time.at(FIRST_VERSION_MILLIS, this::proposeFirstVersion);
        for (GathererNode gatherer : gatherers) {
            time.at(gathererRandom.nextInt(START_WITHIN_MILLIS), gatherer::start);
            time.every(TICK_MILLIS, gathererRandom.nextInt(TICK_MILLIS), gatherer::tick);
        }
        long faultsEnd = new FaultSchedule(this, random(Concern.SCRIPT)).plan(setup.hardCase());
        for (long at = WARM_UP_MILLIS; at < faultsEnd; at += nextChangeGap()) {
            time.at(at, this::change);
        }
        if (setup.hardCase() != HardCase.CALM) {
            changeEachSecond(FaultSchedule.BEGIN);
            changeEachSecond(faultsEnd - FREQUENT_CHANGES_SECONDS / 2 * SECOND_MILLIS);
        }
        long end = faultsEnd + RECOVERY_MILLIS;
        time.runUntil(end);
        gatherers.forEach(g -> g.bytes().end(end));
        group.nodes().forEach(n -> n.streams().end(end));
        DistributionMetrics metrics = DistributionMetrics.of(this);
        return new Result(setup, DistributionInvariants.all(this, metrics), metrics);
    }

    /**
     * Schedules a change each second, used as faults begin and end, when a change is most likely to coincide with them.
     */
    private void changeEachSecond(long from) {
        for (int i = 0; i < FREQUENT_CHANGES_SECONDS; i++) {
            time.at(from + i * SECOND_MILLIS + operatorRandom.nextInt((int) SECOND_MILLIS), this::change);
        }
    }

    // ---- Overridden by tests to inject faults ------------------------------------------------------------

    protected Subscriber newSubscriber(
            SubscriberIdentity self,
            List<ControlMachine> known,
            SubscriberSettings settings,
            VersionStore store,
            SubscriberOutput output,
            long seed,
            long now) {
        return new Subscriber(self, known, settings, store, ACCEPT_ALL, output, seed, now);
    }

    protected Publisher newPublisher(
            PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
        return new Publisher(settings, source, output, seed, now);
    }

    protected GathererDisk newDisk() {
        return new GathererDisk();
    }

    /**
     * Returns whether an operator gets an acknowledgement at once, before the change is settled, and so does not repeat
     * the request.
     */
    protected boolean acknowledgesBeforeSettled() {
        return false;
    }

    // ---- State for fault schedules and checks ------------------------------------------------------------

    Setup setup() {
        return setup;
    }

    Timeline time() {
        return time;
    }

    long now() {
        return time.now();
    }

    History history() {
        return history;
    }

    Network network() {
        return network;
    }

    ControlGroup group() {
        return group;
    }

    List<GathererNode> gatherers() {
        return gatherers;
    }

    void setFormat(int next) {
        format = next;
    }

    /** Makes an operator change one item, drawn at random. */
    void change() {
        change("item/" + operatorRandom.nextInt(ITEM_COUNT));
    }

    void change(String key) {
        long id = ++commands;
        Change marker = new Change.Put(new ConfigurationItem(marker(id), new byte[0]));
        Change value = new Change.Put(new ConfigurationItem(key, bytes(valueBytes())));
        submit(new Command(id, format, List.of(marker, value)));
    }

    /** Returns the key that marks a change in a configuration. */
    static String marker(long command) {
        return "change/" + command;
    }

    // ---- Internals ------------------------------------------------------------

    private Random random(Concern concern) {
        return new Random(setup.seed() ^ 0x9E3779B97F4A7C15L * (concern.ordinal() + 1));
    }

    private void proposeFirstVersion() {
        List<Change> all = new ArrayList<>();
        for (int i = 0; i < ITEM_COUNT; i++) {
            all.add(new Change.Put(new ConfigurationItem("item/" + i, bytes(valueBytes()))));
        }
        long id = ++commands;
        all.add(new Change.Put(new ConfigurationItem(marker(id), new byte[0])));
        submit(new Command(id, format, all));
    }

    private void submit(Command command) {
        group.submit(command, acknowledgesBeforeSettled());
    }

    private int valueBytes() {
        return Math.max(8, setup.configurationBytes() / ITEM_COUNT - ITEM_HEADER_BYTES);
    }

    private byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        operatorRandom.nextBytes(bytes);
        return bytes;
    }

    private long nextChangeGap() {
        return (long) MIN_CHANGE_GAP_MILLIS + operatorRandom.nextInt(MAX_CHANGE_GAP_MILLIS - MIN_CHANGE_GAP_MILLIS);
    }

    Subscriber subscriber(GathererNode node) {
        return newSubscriber(
                new SubscriberIdentity(
                        new SubscriberId(node.place().name()), node.place().region()),
                machines,
                setup.subscriber().reading(node.maxFormat()),
                node.disk(),
                node,
                gathererRandom.nextLong(),
                now());
    }

    Connection connect(GathererNode from, ControlMachine to) {
        ControlNode control = group.nodes().stream()
                .filter(n -> n.place().name().equals(to.name()))
                .findFirst()
                .orElseThrow();
        return new Connection(time, network, ++connections, from, control);
    }

    ConfigurationSnapshot newest() {
        return group.newest();
    }
}
