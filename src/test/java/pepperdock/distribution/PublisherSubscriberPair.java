package pepperdock.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Test fixture that queues the messages between a subscriber and a publisher and delivers them one by one. */
final class PublisherSubscriberPair implements SubscriberOutput, PublisherOutput, VersionStore, ConfigurationValidator {

    static final ControlMachine NEAR = new ControlMachine("c1", "r1");
    static final ControlMachine FAR = new ControlMachine("c2", "r2");
    static final long CONNECTION = 7;

    final Deque<DistributionMessage.FromSubscriber> toPublisher = new ArrayDeque<>();
    final Deque<DistributionMessage.FromPublisher> toSubscriber = new ArrayDeque<>();
    final List<ConfigurationSnapshot> inForce = new ArrayList<>();
    final List<ControlMachine> tried = new ArrayList<>();
    final List<ConfigurationSnapshot> settled = new ArrayList<>();
    boolean closed;
    boolean diskFull;
    boolean diskFails;
    String validationError;
    VersionStore.Saved saved = VersionStore.Saved.NOTHING;
    long confirmedAt;

    static ConfigurationSnapshot version(long number, String... keysAndValues) {
        return versionWithFormat(number, 1, keysAndValues);
    }

    static ConfigurationSnapshot versionWithFormat(long number, int format, String... keysAndValues) {
        List<ConfigurationItem> items = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            items.add(new ConfigurationItem("filler" + i, new byte[100]));
        }
        for (int i = 0; i < keysAndValues.length; i += 2) {
            items.add(new ConfigurationItem(keysAndValues[i], keysAndValues[i + 1].getBytes(StandardCharsets.UTF_8)));
        }
        return ConfigurationSnapshot.of(new ConfigurationVersion(1, number), format, items);
    }

    final VersionSource source = new VersionSource() {
        @Override
        public List<ConfigurationSnapshot> after(ConfigurationVersion version) {
            return settled.stream().filter(c -> c.version().newerThan(version)).toList();
        }

        @Override
        public long confirmedAtMillis() {
            return confirmedAt;
        }
    };

    Subscriber subscriber(long now) {
        return new Subscriber(
                new SubscriberIdentity(new SubscriberId("g1"), "r1"),
                List.of(NEAR, FAR),
                SubscriberSettings.defaults(),
                this,
                this,
                this,
                1,
                now);
    }

    Publisher publisher(PublisherSettings settings, long now) {
        return new Publisher(settings, source, this, 1, now);
    }

    /** Delivers all queued messages in both directions until none is left. */
    void exchange(Subscriber subscriber, Publisher publisher, long now) {
        while (!toPublisher.isEmpty() || !toSubscriber.isEmpty()) {
            if (!toPublisher.isEmpty()) {
                publisher.received(CONNECTION, toPublisher.removeFirst(), now);
            } else {
                subscriber.received(toSubscriber.removeFirst(), now);
            }
        }
    }

    /** Ticks both sides every 100 ms from one time to the other, and delivers all messages immediately. */
    void run(Subscriber subscriber, Publisher publisher, long from, long to) {
        for (long now = from; now <= to; now += 100) {
            confirmedAt = now;
            publisher.tick(now);
            subscriber.tick(now);
            exchange(subscriber, publisher, now);
        }
    }

    @Override
    public void connect(ControlMachine to) {
        tried.add(to);
    }

    @Override
    public void send(DistributionMessage.FromSubscriber message) {
        toPublisher.add(message);
    }

    @Override
    public void disconnect() {
        closed = true;
    }

    @Override
    public void inForce(ConfigurationSnapshot configuration) {
        inForce.add(configuration);
    }

    @Override
    public void send(long connection, DistributionMessage.FromPublisher message) {
        toSubscriber.add(message);
    }

    @Override
    public void close(long connection) {
        closed = true;
    }

    @Override
    public VersionStore.Saved load() {
        return saved;
    }

    @Override
    public boolean save(ConfigurationSnapshot configuration) {
        if (!diskFull && !diskFails) {
            saved = new VersionStore.Saved(configuration, saved.floor());
        }
        return !diskFull && !diskFails;
    }

    @Override
    public boolean saveFloor(ConfigurationVersion floor) {
        if (!diskFails) {
            saved = new VersionStore.Saved(saved.configuration(), floor);
        }
        return !diskFails;
    }

    @Override
    public Optional<String> validationError(ConfigurationSnapshot configuration) {
        return Optional.ofNullable(validationError);
    }
}
