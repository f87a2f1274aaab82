package pepperdock.distribution.wire;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.core.Clock;
import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationValidator;
import pepperdock.distribution.ControlMachine;
import pepperdock.distribution.DistributionMessage;
import pepperdock.distribution.Subscriber;
import pepperdock.distribution.SubscriberIdentity;
import pepperdock.distribution.SubscriberOutput;
import pepperdock.distribution.SubscriberSettings;
import pepperdock.distribution.VersionStore;
import pepperdock.transport.Connection;
import pepperdock.transport.ConnectionHandler;
import pepperdock.transport.EventLoop;

/**
 * Connects a {@link Subscriber} to its control machines. Not thread-safe: created and used only on the event loop's
 * thread.
 */
public final class SubscriberClient implements SubscriberOutput, AutoCloseable {

    /** A control machine and its address. */
    public record ControlMachineAddress(ControlMachine machine, InetSocketAddress address) {}

    private static final System.Logger LOG = System.getLogger("pepperdock.distribution");
    private static final double TICK_SECONDS = 0.1;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final EventLoop loop;
    private final List<ControlMachineAddress> addresses;
    private final SubscriberSettings settings;
    private final Consumer<ConfigurationSnapshot> inForce;
    private final Subscriber subscriber;
    private Clock.Timer timer;
    /** The open connection; null if there is none. */
    private Connection connection;
    /** The number of the current attempt, by which the outcome of an abandoned attempt is recognized and ignored. */
    private long attempt;

    private long bytesIn;
    private long bytesOut;
    private boolean closed;

    /** Connects from the first tick on; {@code inForce} receives each configuration that is put in force. */
    public SubscriberClient(
            EventLoop loop,
            SubscriberIdentity self,
            List<ControlMachineAddress> addresses,
            SubscriberSettings settings,
            VersionStore store,
            ConfigurationValidator validator,
            Consumer<ConfigurationSnapshot> inForce,
            long seed) {
        this.loop = loop;
        this.addresses = List.copyOf(addresses);
        this.settings = settings;
        this.inForce = inForce;
        List<ControlMachine> machines =
                addresses.stream().map(ControlMachineAddress::machine).toList();
        subscriber = new Subscriber(self, machines, settings, store, validator, this, seed, now());
        timer = loop.after(TICK_SECONDS, this::tick);
    }

    /** Returns the subscriber, which reports its state. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Returns the bytes of the frames received and sent so far. */
    public long bytes() {
        return bytesIn + bytesOut;
    }

    @Override
    public void close() {
        closed = true;
        timer.cancel();
        closeConnection();
    }

    private void tick() {
        subscriber.tick(now());
        if (!closed) {
            timer = loop.after(TICK_SECONDS, this::tick);
        }
    }

    // ---- SubscriberOutput ------------------------------------------------------------

    @Override
    public void connect(ControlMachine to) {
        long number = ++attempt;
        InetSocketAddress address = addresses.stream()
                .filter(entry -> entry.machine().equals(to))
                .findFirst()
                .orElseThrow()
                .address();
        loop.connect(address, settings.connectMillis() / MILLIS_PER_SECOND, new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection opened) {
                if (number == attempt && !closed) {
                    onOpened(number, opened);
                } else {
                    opened.close();
                }
            }

            @Override
            public void onFailed() {
                if (number == attempt && !closed) {
                    subscriber.disconnected(now());
                }
            }
        });
    }

    @Override
    public void send(DistributionMessage.FromSubscriber message) {
        if (connection != null) {
            byte[] frame = DistributionMessageCodec.frame(message);
            bytesOut += frame.length;
            connection.write(frame);
        }
    }

    /** Closes the connection, or abandons the attempt. */
    private void closeConnection() {
        attempt++;
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    @Override
    public void disconnect() {
        closeConnection();
    }

    @Override
    public void inForce(ConfigurationSnapshot configuration) {
        inForce.accept(configuration);
    }

    // ---- The connection ------------------------------------------------------------

    private void onOpened(long number, Connection opened) {
        connection = opened;
        opened.limitUnconsumedBytes(DistributionMessageCodec.LENGTH_BYTES + DistributionMessageCodec.MAX_FRAME_BYTES);
        opened.start(new ConnectionHandler() {
            @Override
            public void onBytes(Connection from) {
                if (number == attempt) {
                    decode(number, from);
                }
            }

            @Override
            public void onClosed(Connection from) {
                if (number == attempt) {
                    connection = null;
                    subscriber.disconnected(now());
                }
            }
        });
        subscriber.connected(now());
    }

    private void decode(long number, Connection from) {
        try {
            DistributionMessageDecoder.decodeAvailable(from, message -> {
                if (!(message instanceof DistributionMessage.FromPublisher received)) {
                    throw new MalformedMessageException("expected a message that a publisher sends, received "
                            + message.getClass().getSimpleName());
                }
                bytesIn += DistributionMessageCodec.LENGTH_BYTES + 1 + received.content();
                subscriber.received(received, now());
                return number == attempt;
            });
        } catch (IllegalArgumentException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    () -> "closing the connection to the control machine at " + from.peer() + ": " + e.getMessage());
            closeConnection();
            subscriber.disconnected(now());
        }
    }

    private long now() {
        return (long) (loop.now() * MILLIS_PER_SECOND);
    }
}
