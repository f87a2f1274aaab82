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
import pepperdock.transport.EventLoop;

/** A subscriber that dials its control machines. All state belongs to the loop's thread, also its construction. */
public final class SubscriberClient implements SubscriberOutput, AutoCloseable {

    /** Where a control machine is reached. */
    public record Reach(ControlMachine machine, InetSocketAddress address) {}

    private static final System.Logger LOG = System.getLogger("pepperdock.distribution");
    private static final double TICK_SECONDS = 0.1;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final EventLoop loop;
    private final List<Reach> reaches;
    private final SubscriberSettings settings;
    private final Consumer<ConfigurationSnapshot> inForce;
    private final Subscriber subscriber;
    private Clock.Timer timer;
    /** Null while there is none. */
    private Connection connection;
    /** Numbers the attempts, so that the outcome of one that was given up is ignored. */
    private long attempt;

    private long bytesIn;
    private long bytesOut;
    private boolean closed;

    /** Begins to dial with the first tick; {@code inForce} gets each configuration that is put in force. */
    public SubscriberClient(
            EventLoop loop,
            SubscriberIdentity self,
            List<Reach> reaches,
            SubscriberSettings settings,
            VersionStore store,
            ConfigurationValidator validator,
            Consumer<ConfigurationSnapshot> inForce,
            long seed) {
        this.loop = loop;
        this.reaches = List.copyOf(reaches);
        this.settings = settings;
        this.inForce = inForce;
        List<ControlMachine> machines = reaches.stream().map(Reach::machine).toList();
        subscriber = new Subscriber(self, machines, settings, store, validator, this, seed, now());
        timer = loop.after(TICK_SECONDS, this::tick);
    }

    /** The subscriber, for its state. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Bytes of frames received and sent so far. */
    public long bytes() {
        return bytesIn + bytesOut;
    }

    @Override
    public void close() {
        closed = true;
        timer.cancel();
        end();
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
        InetSocketAddress address = reaches.stream()
                .filter(reach -> reach.machine().equals(to))
                .findFirst()
                .orElseThrow()
                .address();
        loop.connect(address, settings.connectMillis() / MILLIS_PER_SECOND, new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection made) {
                if (number == attempt && !closed) {
                    opened(number, made);
                } else {
                    made.close();
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

    /** Ends the connection, or the attempt. */
    private void end() {
        attempt++;
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    @Override
    public void disconnect() {
        end();
    }

    @Override
    public void inForce(ConfigurationSnapshot configuration) {
        inForce.accept(configuration);
    }

    // ---- The connection ------------------------------------------------------------

    private void opened(long number, Connection made) {
        connection = made;
        made.limitUnconsumedBytes(DistributionMessageCodec.LENGTH_BYTES + DistributionMessageCodec.MAX_FRAME_BYTES);
        made.start(new Connection.Handler() {
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
            DistributionMessageDecoder.take(from, message -> {
                if (!(message instanceof DistributionMessage.FromPublisher received)) {
                    throw new MalformedMessageException(
                            "not a publisher's: " + message.getClass().getSimpleName());
                }
                bytesIn += DistributionMessageCodec.LENGTH_BYTES + 1 + received.content();
                subscriber.received(received, now());
                return number == attempt;
            });
        } catch (IllegalArgumentException e) {
            LOG.log(System.Logger.Level.WARNING, () -> "control machine at " + from.peer() + ": " + e.getMessage());
            end();
            subscriber.disconnected(now());
        }
    }

    private long now() {
        return (long) (loop.now() * MILLIS_PER_SECOND);
    }
}
