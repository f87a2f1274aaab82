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
 * One course: four control machines, the gatherers, one hard case, and changes all the while. The same setup gives the same
 * course. The protected methods are where tests plant faults.
 */
public class Simulation {

    /** Each takes its chance from a stream of its own, so that more draws in one don't change the others. */
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
    private static final int FIRST_ITEMS = 500;
    /** Bytes of an item beside its value. */
    private static final int ITEM_HEAD = 16;

    private static final int FIRST_VERSION_MILLIS = 4000;
    private static final int START_WITHIN_MILLIS = 5000;
    private static final int TICK_MILLIS = 100;
    /** From here on changes are measured. */
    static final int WARM_MILLIS = 40_000;

    private static final long SECOND_MILLIS = 1000;
    private static final int CROWDED_SECONDS = 10;
    private static final int GAP_LEAST_MILLIS = 3000;
    private static final int GAP_MOST_MILLIS = 7000;
    /** After the last fault, until the end: twice what it may take until all are level, and time for what is saved again. */
    private static final int CALM_AT_END_MILLIS = 25_000;
    /** One gatherer in so many has a program version that reads no format but the first. */
    private static final int OLD_READER_EVERY = 5;

    private static final int FORMAT_FIRST = 1;
    static final int FORMAT_SECOND = 2;
    private static final ConfigurationValidator NO_COMPLAINT = configuration -> Optional.empty();

    private final Setup setup;
    private final Timeline time = new Timeline();
    private final History history = new History();
    private final Random gathererChance;
    private final Random operatorChance;
    private final Network network;
    private final ControlGroup group;
    private final List<GathererNode> gatherers = new ArrayList<>();
    private final List<ControlMachine> machines;
    private long connections;
    private long commands;
    private int format = FORMAT_FIRST;

    /** Builds the control machines and the gatherers; nothing runs before {@link #run}. */
    public Simulation(Setup setup) {
        this.setup = setup;
        gathererChance = chance(Concern.GATHERERS);
        operatorChance = chance(Concern.OPERATORS);
        network = new Network(time, chance(Concern.NETWORK));
        Random control = chance(Concern.CONTROL);
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
            int reads = i % OLD_READER_EVERY == 0 ? FORMAT_FIRST : FORMAT_SECOND;
            gatherers.add(new GathererNode(this, new Place("g" + i, region, zone), reads, newDisk()));
        }
    }

    /** Plays it to its end. */
    public Result run() {
        group.start();
        time.at(FIRST_VERSION_MILLIS, this::firstVersion);
        for (GathererNode gatherer : gatherers) {
            time.at(gathererChance.nextInt(START_WITHIN_MILLIS), gatherer::start);
            time.every(TICK_MILLIS, gathererChance.nextInt(TICK_MILLIS), gatherer::tick);
        }
        long over = new FaultSchedule(this, chance(Concern.SCRIPT)).plan(setup.hardCase());
        for (long at = WARM_MILLIS; at < over; at += gap()) {
            time.at(at, this::change);
        }
        if (setup.hardCase() != HardCase.CALM) {
            changeEachSecond(FaultSchedule.BEGIN);
            changeEachSecond(over - CROWDED_SECONDS / 2 * SECOND_MILLIS);
        }
        long end = over + CALM_AT_END_MILLIS;
        time.runUntil(end);
        gatherers.forEach(g -> g.bytes().end(end));
        group.nodes().forEach(n -> n.streams().end(end));
        DistributionMetrics figures = DistributionMetrics.of(this);
        return new Result(setup, DistributionInvariants.all(this, figures), figures);
    }

    /** As the faults begin and end, where a change is most likely to meet them. */
    private void changeEachSecond(long from) {
        for (int i = 0; i < CROWDED_SECONDS; i++) {
            time.at(from + i * SECOND_MILLIS + operatorChance.nextInt((int) SECOND_MILLIS), this::change);
        }
    }

    // ---- Where tests plant faults ------------------------------------------------------------

    protected Subscriber newSubscriber(
            SubscriberIdentity self,
            List<ControlMachine> known,
            SubscriberSettings settings,
            VersionStore store,
            SubscriberOutput output,
            long seed,
            long now) {
        return new Subscriber(self, known, settings, store, NO_COMPLAINT, output, seed, now);
    }

    protected Publisher newPublisher(
            PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
        return new Publisher(settings, source, output, seed, now);
    }

    protected GathererDisk newDisk() {
        return new GathererDisk();
    }

    /** Whether an operator is told at once, before the change is settled, and so does not ask again. */
    protected boolean acknowledgesBeforeSettled() {
        return false;
    }

    // ---- What scripts and checks see ------------------------------------------------------------

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

    void format(int next) {
        format = next;
    }

    /** An operator changes one of the items, drawn. */
    void change() {
        change("item/" + operatorChance.nextInt(FIRST_ITEMS));
    }

    void change(String key) {
        long id = ++commands;
        Change marker = new Change.Put(new ConfigurationItem(marker(id), new byte[0]));
        Change value = new Change.Put(new ConfigurationItem(key, bytes(valueBytes())));
        ask(new Command(id, format, List.of(marker, value)));
    }

    /** The key by which a change can be found in a configuration. */
    static String marker(long command) {
        return "change/" + command;
    }

    // ---- How ------------------------------------------------------------

    private Random chance(Concern concern) {
        return new Random(setup.seed() ^ 0x9E3779B97F4A7C15L * (concern.ordinal() + 1));
    }

    private void firstVersion() {
        List<Change> all = new ArrayList<>();
        for (int i = 0; i < FIRST_ITEMS; i++) {
            all.add(new Change.Put(new ConfigurationItem("item/" + i, bytes(valueBytes()))));
        }
        long id = ++commands;
        all.add(new Change.Put(new ConfigurationItem(marker(id), new byte[0])));
        ask(new Command(id, format, all));
    }

    private void ask(Command command) {
        group.ask(command, acknowledgesBeforeSettled());
    }

    private int valueBytes() {
        return Math.max(8, setup.configurationBytes() / FIRST_ITEMS - ITEM_HEAD);
    }

    private byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        operatorChance.nextBytes(bytes);
        return bytes;
    }

    private long gap() {
        return (long) GAP_LEAST_MILLIS + operatorChance.nextInt(GAP_MOST_MILLIS - GAP_LEAST_MILLIS);
    }

    Subscriber subscriber(GathererNode node) {
        return newSubscriber(
                new SubscriberIdentity(
                        new SubscriberId(node.place().name()), node.place().region()),
                machines,
                setup.subscriber().reading(node.reads()),
                node.disk(),
                node,
                gathererChance.nextLong(),
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
