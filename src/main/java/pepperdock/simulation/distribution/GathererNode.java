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

/** A gatherer that only subscribes: a subscriber, its disk and its connection. */
final class GathererNode implements SubscriberOutput {

    private final Simulation simulation;
    private final Place place;
    private final int maxFormat;
    private final ByteMeter bytes = new ByteMeter(Simulation.WARM_UP_MILLIS);
    private GathererDisk disk;
    /** Null while the process is down. */
    private Subscriber subscriber;

    private Connection connection;

    GathererNode(Simulation simulation, Place place, int maxFormat, GathererDisk disk) {
        this.simulation = simulation;
        this.place = place;
        this.maxFormat = maxFormat;
        this.disk = disk;
    }

    Place place() {
        return place;
    }

    /** Returns the highest format that its program version reads. */
    int maxFormat() {
        return maxFormat;
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

    // ---- Start and stop ------------------------------------------------------------

    void start() {
        if (subscriber != null) {
            return;
        }
        VersionStore.Saved saved = disk.load();
        ConfigurationVersion complete = saved.configuration().version();
        ConfigurationVersion onDisk = saved.floor().newerThan(complete) ? saved.floor() : complete;
        simulation.history().add(new Event.Started(now(), place.name(), onDisk));
        subscriber = simulation.subscriber(this);
    }

    /** Ends the process; {@code newDisk} is the disk of the machine that replaces it, or null to keep the disk. */
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
        simulation.history().add(new Event.Stopped(now(), place.name(), newDisk != null));
    }

    void tick() {
        if (subscriber != null) {
            subscriber.tick(now());
        }
    }

    // ---- Connection ------------------------------------------------------------

    void connected(Connection source) {
        if (source == connection) {
            subscriber.connected(now());
        }
    }

    void received(Connection source, FromPublisher message) {
        bytes.add(now(), message.bytes());
        if (source == connection) {
            subscriber.received(message, now());
        }
    }

    void ended(Connection source) {
        if (source == connection) {
            connection = null;
            subscriber.disconnected(now());
        }
    }

    @Override
    public void connect(ControlMachine to) {
        connection = simulation.connect(this, to);
        connection.open();
    }

    @Override
    public void send(FromSubscriber message) {
        bytes.add(now(), message.bytes());
        if (message instanceof DistributionMessage.InForce report) {
            simulation
                    .history()
                    .add(new Event.VersionReported(now(), place.name(), report.version(), report.durability()));
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
        simulation
                .history()
                .add(new Event.InForce(now(), place.name(), configuration.version(), configuration.digest()));
    }

    private long now() {
        return simulation.now();
    }
}
