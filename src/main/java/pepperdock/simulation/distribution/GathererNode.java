package pepperdock.simulation.distribution;

import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.ControlMachine;
import pepperdock.distribution.DistributionMessage;
import pepperdock.distribution.DistributionMessage.FromPublisher;
import pepperdock.distribution.DistributionMessage.FromSubscriber;
import pepperdock.distribution.Subscriber;
import pepperdock.distribution.SubscriberOutput;
import pepperdock.distribution.VersionStore;

/** A subscriber-only gatherer: a subscriber, its disk and its connection, and nothing else. */
final class GathererNode implements SubscriberOutput {

    private final Simulation world;
    private final Place place;
    private final int reads;
    private final ByteMeter bytes = new ByteMeter(Simulation.WARM_MILLIS);
    private GathererDisk disk;
    /** Null while the process is down. */
    private Subscriber subscriber;

    private Connection connection;

    GathererNode(Simulation world, Place place, int reads, GathererDisk disk) {
        this.world = world;
        this.place = place;
        this.reads = reads;
        this.disk = disk;
    }

    Place place() {
        return place;
    }

    /** The highest format that its program version reads. */
    int reads() {
        return reads;
    }

    boolean up() {
        return subscriber != null;
    }

    Subscriber subscriber() {
        return subscriber;
    }

    GathererDisk disk() {
        return disk;
    }

    ByteMeter bytes() {
        return bytes;
    }

    // ---- Life ------------------------------------------------------------

    void start() {
        if (subscriber != null) {
            return;
        }
        VersionStore.Saved saved = disk.load();
        ConfigurationVersion whole = saved.configuration().version();
        ConfigurationVersion onDisk = saved.floor().newerThan(whole) ? saved.floor() : whole;
        world.history().add(new Event.Started(now(), place.name(), onDisk));
        subscriber = world.subscriber(this);
    }

    /** The process ends; {@code newDisk} where another machine takes its place. */
    void stop(GathererDisk newDisk) {
        if (subscriber == null) {
            return;
        }
        subscriber = null;
        if (connection != null) {
            connection.closeByGatherer();
            connection = null;
        }
        if (newDisk != null) {
            disk = newDisk;
        }
        world.history().add(new Event.Stopped(now(), place.name(), newDisk != null));
    }

    void tick() {
        if (subscriber != null) {
            subscriber.tick(now());
        }
    }

    // ---- The connection ------------------------------------------------------------

    void connected(Connection of) {
        if (of == connection) {
            subscriber.connected(now());
        }
    }

    void received(Connection on, FromPublisher message) {
        bytes.add(now(), message.bytes());
        if (on == connection) {
            subscriber.received(message, now());
        }
    }

    void ended(Connection of) {
        if (of == connection) {
            connection = null;
            subscriber.disconnected(now());
        }
    }

    @Override
    public void connect(ControlMachine to) {
        connection = world.connect(this, to);
        connection.begin();
    }

    @Override
    public void send(FromSubscriber message) {
        bytes.add(now(), message.bytes());
        if (message instanceof DistributionMessage.InForce said) {
            world.history().add(new Event.Said(now(), place.name(), said.version(), said.durability()));
        }
        connection.toControl().send(message, message.bytes());
    }

    @Override
    public void disconnect() {
        connection.closeByGatherer();
        connection = null;
    }

    @Override
    public void inForce(ConfigurationSnapshot configuration) {
        world.history().add(new Event.InForce(now(), place.name(), configuration.version(), configuration.digest()));
    }

    private long now() {
        return world.now();
    }
}
