package pepperdock.distribution.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pepperdock.distribution.Change;
import pepperdock.distribution.ConfigurationItem;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.ControlMachine;
import pepperdock.distribution.DistributionMessage;
import pepperdock.distribution.Durability;
import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.SubscriberId;
import pepperdock.distribution.SubscriberIdentity;
import pepperdock.distribution.SubscriberSettings;
import pepperdock.distribution.VersionSource;
import pepperdock.distribution.VersionStore;
import pepperdock.transport.EventLoop;

/**
 * Tests a subscriber and control machines over loopback, with peers that hold back bytes or close their connections.
 */
class WireTest {

    /** The timeout that ends a hanging test; no result depends on its value. */
    private static final int TIMEOUT_SECONDS = 30;

    private static final ControlMachine NEAR = new ControlMachine("c1", "r1");
    private static final ControlMachine FAR = new ControlMachine("c2", "r2");
    /** Settings with a silence timeout of 300 ms, so that the tests are fast. */
    private static final SubscriberSettings SETTINGS =
            new SubscriberSettings(1, 1000, 300, 10_000, 30_000, 5000, 5000, 10_000, 20, 100);

    private final List<ConfigurationSnapshot> settled = new ArrayList<>();
    private final BlockingQueue<ConfigurationSnapshot> inForce = new LinkedBlockingQueue<>();
    private EventLoop loop;

    @BeforeEach
    void begin() throws Exception {
        loop = new EventLoop(50, 512 << 10);
        settled.add(ConfigurationSnapshot.of(
                new ConfigurationVersion(1, 1), 1, List.of(new ConfigurationItem("a", new byte[5000]))));
    }

    @AfterEach
    void end() {
        loop.close();
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> action) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(action.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private PublisherServer server() throws Exception {
        VersionSource source = new VersionSource() {
            @Override
            public List<ConfigurationSnapshot> after(ConfigurationVersion version) {
                return settled.stream()
                        .filter(c -> c.version().newerThan(version))
                        .toList();
            }

            @Override
            public long confirmedAtMillis() {
                return (long) (loop.now() * 1e3);
            }
        };
        PublisherSettings frequentHeartbeats = new PublisherSettings(
                50, 15_000, 4000, 100_000, 50_000, 2_000_000, 64 << 10, 192, 1024, 50, 1000, 1 << 20);
        return onLoop(() -> new PublisherServer(loop, anyPort(), 10, frequentHeartbeats, source, 1));
    }

    private SubscriberClient client(InetSocketAddress near, InetSocketAddress far) throws Exception {
        VersionStore store = new VersionStore() {
            @Override
            public Saved load() {
                return Saved.NOTHING;
            }

            @Override
            public boolean save(ConfigurationSnapshot configuration) {
                return true;
            }

            @Override
            public boolean saveFloor(ConfigurationVersion floor) {
                return true;
            }
        };
        List<SubscriberClient.ControlMachineAddress> addresses = List.of(
                new SubscriberClient.ControlMachineAddress(NEAR, near),
                new SubscriberClient.ControlMachineAddress(FAR, far));
        return onLoop(() -> new SubscriberClient(
                loop,
                new SubscriberIdentity(new SubscriberId("g1"), "r1"),
                addresses,
                SETTINGS,
                store,
                c -> Optional.empty(),
                inForce::add,
                1));
    }

    private ConfigurationSnapshot nextInForce() throws Exception {
        ConfigurationSnapshot next = inForce.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(next != null, "no configuration was put in force in time");
        return next;
    }

    private static void assertReceivesHello(InputStream from) throws Exception {
        int length = java.nio.ByteBuffer.wrap(from.readNBytes(4)).getInt();
        DistributionMessage message = DistributionMessageCodec.read(from.readNBytes(length), 0, length);
        assertEquals("g1", ((DistributionMessage.Hello) message).from().name());
    }

    @Test
    void snapshotAndThenADeltaArePutInForce() throws Exception {
        PublisherServer server = server();
        client(server.address(), server.address());
        assertEquals(settled.get(0).digest(), nextInForce().digest());
        ConfigurationSnapshot second = onLoop(() -> {
            ConfigurationSnapshot two = settled.get(0)
                    .with(
                            new ConfigurationVersion(1, 2),
                            1,
                            List.of(new Change.Put(new ConfigurationItem("b", new byte[10]))));
            settled.add(two);
            server.onCommitted();
            return two;
        });
        assertEquals(second.digest(), nextInForce().digest());
    }

    /**
     * A control machine accepts the connection and all bytes, and never sends. The subscriber switches to the other
     * one.
     */
    @Test
    void controlMachineThatNeverSendsIsReplacedByAnother() throws Exception {
        PublisherServer server = server();
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            client((InetSocketAddress) silent.getLocalSocketAddress(), server.address());
            try (Socket accepted = silent.accept()) {
                assertReceivesHello(accepted.getInputStream());
                assertEquals(
                        settled.get(0).digest(), nextInForce().digest(), "the snapshot comes from the other machine");
                assertEquals(-1, accepted.getInputStream().read(), "the connection to the silent machine is closed");
            }
        }
    }

    /** A control machine ends in the middle of a snapshot. It must not be put in force; the other machine is used. */
    @Test
    void snapshotWithoutItsLastByteIsNotPutInForceAndTheOtherMachineIsUsed() throws Exception {
        ConfigurationSnapshot other = ConfigurationSnapshot.of(
                new ConfigurationVersion(1, 5), 1, List.of(new ConfigurationItem("x", new byte[10])));
        byte[] whole = other.encoded();
        byte[] frame = DistributionMessageCodec.frame(
                new DistributionMessage.SnapshotChunk(other.version(), other.digest(), 1, whole.length, 0, whole));
        PublisherServer server = server();
        try (ServerSocket partial = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            client((InetSocketAddress) partial.getLocalSocketAddress(), server.address());
            try (Socket accepted = partial.accept()) {
                assertReceivesHello(accepted.getInputStream());
                accepted.getOutputStream().write(frame, 0, frame.length - 1);
            }
        }
        assertEquals(
                new ConfigurationVersion(1, 1),
                nextInForce().version(),
                "the first configuration in force comes from the other machine");
    }

    /**
     * Either side receives bytes that are not a valid message. It closes this connection, and others are not affected.
     */
    @Test
    void malformedBytesCloseTheConnectionOnEitherSide() throws Exception {
        PublisherServer server = server();
        try (Socket raw =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            raw.getOutputStream().write(new byte[] {0, 0, 0, 1, 99});
            assertEquals(-1, raw.getInputStream().read());
        }
        try (ServerSocket wrong = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            client((InetSocketAddress) wrong.getLocalSocketAddress(), server.address());
            try (Socket accepted = wrong.accept()) {
                assertReceivesHello(accepted.getInputStream());
                accepted.getOutputStream().write(new byte[] {0x7f, 0, 0, 0});
                assertEquals(-1, accepted.getInputStream().read());
            }
        }
        assertEquals(settled.get(0).digest(), nextInForce().digest());
        assertNull(inForce.peek());
    }

    @Test
    void controlMachineKnowsTheVersionInForceAtItsSubscriber() throws Exception {
        PublisherServer server = server();
        SubscriberClient client = client(server.address(), server.address());
        nextInForce();
        onLoop(() -> {
            client.send(new DistributionMessage.InForce(
                    new ConfigurationVersion(1, 1), settled.get(0).digest(), Durability.SAVED));
            return null;
        });
        BlockingQueue<ConfigurationVersion> seen = new LinkedBlockingQueue<>();
        onLoop(() -> {
            awaitVersion(server, seen);
            return null;
        });
        assertEquals(new ConfigurationVersion(1, 1), seen.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Polls on the event loop until the server knows the subscriber's version in force. */
    private void awaitVersion(PublisherServer server, BlockingQueue<ConfigurationVersion> seen) {
        server.subscribers().stream()
                .filter(s -> s.inForce().newerThan(ConfigurationVersion.NONE))
                .findFirst()
                .ifPresentOrElse(s -> seen.add(s.inForce()), () -> loop.after(0.001, () -> awaitVersion(server, seen)));
    }
}
