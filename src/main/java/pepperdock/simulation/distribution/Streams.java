package pepperdock.simulation.distribution;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pepperdock.distribution.Change;
import pepperdock.distribution.ConfigurationItem;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.ControlMachine;
import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.SubscriberId;
import pepperdock.distribution.SubscriberIdentity;
import pepperdock.distribution.SubscriberSettings;
import pepperdock.distribution.VersionSource;
import pepperdock.distribution.wire.PublisherServer;
import pepperdock.distribution.wire.SubscriberClient;
import pepperdock.transport.EventLoop;

/**
 * Measures the cost of streams over loopback: four control machines, each on its own event loop, and subscribers
 * without a gatherer on one further loop, all in this process.
 */
public final class Streams implements AutoCloseable {

    private static final int MAX_BUFFER_BYTES = 512 << 10;
    private static final int SPARE_SOCKETS = 50;
    private static final int ITEMS = 500;
    private static final int ITEM_HEADER_BYTES = 16;
    private static final int TIMEOUT_SECONDS = 60;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final int PERCENT = 100;

    /** A control machine: its event loop, the versions handed to it, and its server. */
    private static final class Control implements VersionSource {
        private final EventLoop loop;
        private final long thread;
        private final List<ConfigurationSnapshot> settled = new ArrayList<>();
        private PublisherServer server;

        Control(int subscribers) throws IOException {
            loop = new EventLoop(subscribers + SPARE_SOCKETS, MAX_BUFFER_BYTES);
            thread = onLoop(loop, () -> Thread.currentThread().getId());
        }

        @Override
        public List<ConfigurationSnapshot> after(ConfigurationVersion version) {
            return settled.stream().filter(c -> c.version().newerThan(version)).toList();
        }

        @Override
        public long confirmedAtMillis() {
            return (long) (loop.now() * 1e3);
        }
    }

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Random random = new Random(1);
    private final int count;
    private final int valueBytes;
    private final List<Control> controls = new ArrayList<>();
    private final List<SubscriberClient> clients = new ArrayList<>();
    private final EventLoop loop;
    private final long thread;
    private ConfigurationSnapshot latest;
    /** Counts the subscribers that do not have the awaited version in force yet. */
    private volatile CountDownLatch missing;

    private volatile ConfigurationVersion awaited;

    private Streams(int count, int configurationBytes) throws IOException {
        this.count = count;
        valueBytes = Math.max(8, configurationBytes / ITEMS - ITEM_HEADER_BYTES);
        List<ConfigurationItem> items = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            items.add(item(i));
        }
        latest = ConfigurationSnapshot.of(new ConfigurationVersion(1, 1), 1, items);
        for (int i = 0; i < Simulation.CONTROL_PLACES.size(); i++) {
            Control control = new Control(count);
            control.settled.add(latest);
            control.server = onLoop(
                    control.loop,
                    () -> new PublisherServer(
                            control.loop,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            count,
                            PublisherSettings.defaults(),
                            control,
                            1));
            controls.add(control);
        }
        loop = new EventLoop(count + SPARE_SOCKETS, MAX_BUFFER_BYTES);
        thread = onLoop(loop, () -> Thread.currentThread().getId());
    }

    /** Measures that many subscribers, idle for {@code seconds}, and then for as long with a change each second. */
    public static StreamFigures measure(int subscribers, int configurationBytes, int seconds)
            throws IOException, InterruptedException {
        try (Streams streams = new Streams(subscribers, configurationBytes)) {
            return streams.measure(seconds);
        }
    }

    private StreamFigures measure(int seconds) throws IOException, InterruptedException {
        long heapBefore = heap();
        long startedAt = System.nanoTime();
        await(latest.version());
        start();
        awaitAll();
        long firstMillis = (System.nanoTime() - startedAt) / NANOS_PER_MILLISECOND;
        long pair = (heap() - heapBefore) / count;
        Window idle = window(seconds, false, new Samples());
        Samples changes = new Samples();
        Window changing = window(seconds, true, changes);
        return new StreamFigures(
                count,
                firstMillis,
                pair,
                idle.subscriberPercent / count,
                changing.subscriberPercent / count,
                idle.controlPercent,
                changing.controlPercent,
                idle.bytes / count,
                changing.bytes / count,
                changes.quantile(0.5),
                changes.quantile(1));
    }

    private record Window(double subscriberPercent, double controlPercent, long bytes) {}

    private Window window(int seconds, boolean changing, Samples latencies) throws IOException, InterruptedException {
        long startedAt = System.nanoTime();
        long subscribers = threads.getThreadCpuTime(thread);
        long[] busy = new long[controls.size()];
        for (int i = 0; i < busy.length; i++) {
            busy[i] = threads.getThreadCpuTime(controls.get(i).thread);
        }
        long bytes = bytes();
        for (int second = 1; second <= seconds; second++) {
            if (changing) {
                latencies.add(change());
            }
            long left = startedAt + second * (long) NANOS_PER_SECOND - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, left));
        }
        double took = System.nanoTime() - startedAt;
        long most = 0;
        for (int i = 0; i < busy.length; i++) {
            most = Math.max(most, threads.getThreadCpuTime(controls.get(i).thread) - busy[i]);
        }
        double ofSubscribers = threads.getThreadCpuTime(thread) - subscribers;
        return new Window(PERCENT * ofSubscribers / took, PERCENT * most / took, (long)
                ((bytes() - bytes) / (took / NANOS_PER_SECOND)));
    }

    private void start() throws IOException {
        List<SubscriberClient.ControlMachineAddress> reaches = new ArrayList<>();
        for (int i = 0; i < controls.size(); i++) {
            Place place = Simulation.CONTROL_PLACES.get(i);
            reaches.add(new SubscriberClient.ControlMachineAddress(
                    new ControlMachine(place.name(), place.region()),
                    controls.get(i).server.address()));
        }
        onLoop(loop, () -> {
            for (int i = 0; i < count; i++) {
                clients.add(new SubscriberClient(
                        loop,
                        new SubscriberIdentity(new SubscriberId("g" + i), "r" + (i % 3 + 1)),
                        reaches,
                        SubscriberSettings.defaults(),
                        new GathererDisk(),
                        c -> Optional.empty(),
                        this::inForce,
                        i));
            }
            return count;
        });
    }

    private void inForce(ConfigurationSnapshot configuration) {
        if (configuration.version().equals(awaited)) {
            missing.countDown();
        }
    }

    private void await(ConfigurationVersion version) {
        missing = new CountDownLatch(count);
        awaited = version;
    }

    private void awaitAll() throws IOException, InterruptedException {
        if (!missing.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException(missing.getCount() + " of " + count + " subscribers do not have version " + awaited
                    + " in force in time");
        }
    }

    /** Changes one item; returns the milliseconds until it was in force at all subscribers. */
    private long change() throws IOException, InterruptedException {
        Change change = new Change.Put(item(random.nextInt(ITEMS)));
        ConfigurationVersion next = new ConfigurationVersion(1, latest.version().number() + 1);
        latest = latest.with(next, 1, List.of(change));
        await(next);
        long startedAt = System.nanoTime();
        ConfigurationSnapshot settled = latest;
        for (Control control : controls) {
            control.loop.execute(() -> {
                control.settled.add(settled);
                control.server.onCommitted();
            });
        }
        awaitAll();
        return (System.nanoTime() - startedAt) / NANOS_PER_MILLISECOND;
    }

    private ConfigurationItem item(int number) {
        byte[] value = new byte[valueBytes];
        random.nextBytes(value);
        return new ConfigurationItem("item/" + number, value);
    }

    private long bytes() throws IOException {
        return onLoop(
                loop, () -> clients.stream().mapToLong(SubscriberClient::bytes).sum());
    }

    /** Returns the heap in use after a garbage collection, in bytes. */
    private static long heap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static <T> T onLoop(EventLoop loop, Callable<T> action) throws IOException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(action.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("an action on the event loop failed or timed out", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    @Override
    public void close() {
        loop.close();
        controls.forEach(c -> c.loop.close());
    }
}
