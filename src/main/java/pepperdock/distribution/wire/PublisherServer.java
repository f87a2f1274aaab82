package pepperdock.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.TreeMap;
import pepperdock.core.Clock;
import pepperdock.distribution.DistributionMessage;
import pepperdock.distribution.Publisher;
import pepperdock.distribution.PublisherOutput;
import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.SubscriberState;
import pepperdock.distribution.VersionSource;
import pepperdock.transport.Connection;
import pepperdock.transport.ConnectionHandler;
import pepperdock.transport.EventLoop;

/** Serves a {@link Publisher} on a listening address. Not thread-safe: used only by the event loop's thread. */
public final class PublisherServer implements PublisherOutput, AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.distribution");
    private static final double TICK_SECONDS = 0.05;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final EventLoop loop;
    private final Publisher publisher;
    private final EventLoop.ServerSocketHandle serverSocket;
    private final TreeMap<Long, Connection> connections = new TreeMap<>();
    private Clock.Timer timer;
    private long lastNumber;
    private boolean closed;

    /** Starts to listen; serves at most {@code maxConnections} subscribers and closes further connections at once. */
    public PublisherServer(
            EventLoop loop,
            InetSocketAddress address,
            int maxConnections,
            PublisherSettings settings,
            VersionSource source,
            long seed)
            throws IOException {
        this.loop = loop;
        publisher = new Publisher(settings, source, this, seed, now());
        serverSocket = loop.listen(
                address, EventLoop.SocketScope.EXCLUSIVE, () -> connections.size() < maxConnections, this::accepted);
        timer = loop.after(TICK_SECONDS, this::tick);
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return serverSocket.address();
    }

    /** Tells the publisher that the source has a newer version. */
    public void onCommitted() {
        publisher.onCommitted(now());
    }

    /** Returns the state of each connected subscriber that has introduced itself. */
    public List<SubscriberState> subscribers() {
        return publisher.subscribers(now());
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        closed = true;
        timer.cancel();
        serverSocket.close();
        connections.values().forEach(Connection::close);
        connections.clear();
    }

    private void tick() {
        publisher.tick(now());
        if (!closed) {
            timer = loop.after(TICK_SECONDS, this::tick);
        }
    }

    private void accepted(Connection connection) {
        long number = ++lastNumber;
        connections.put(number, connection);
        connection.limitUnconsumedBytes(
                DistributionMessageCodec.LENGTH_BYTES + DistributionMessageCodec.MAX_FRAME_BYTES);
        publisher.connected(number, now());
        connection.start(new ConnectionHandler() {
            @Override
            public void onBytes(Connection from) {
                decode(number, from);
            }

            @Override
            public void onClosed(Connection from) {
                removeConnection(number);
            }
        });
    }

    private void decode(long number, Connection connection) {
        try {
            DistributionMessageDecoder.decodeAvailable(connection, message -> {
                if (!(message instanceof DistributionMessage.FromSubscriber received)) {
                    throw new MalformedMessageException("expected a message that a subscriber sends, received "
                            + message.getClass().getSimpleName());
                }
                publisher.received(number, received, now());
                return connections.containsKey(number);
            });
        } catch (IllegalArgumentException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    () -> "closing the connection to the subscriber at " + connection.peer() + ": " + e.getMessage());
            connection.close();
            removeConnection(number);
        }
    }

    private void removeConnection(long number) {
        connections.remove(number);
        publisher.disconnected(number);
    }

    @Override
    public void send(long number, DistributionMessage.FromPublisher message) {
        Connection connection = connections.get(number);
        if (connection != null) {
            connection.write(DistributionMessageCodec.frame(message));
        }
    }

    @Override
    public void close(long number) {
        Connection connection = connections.remove(number);
        if (connection != null) {
            connection.close();
        }
    }

    private long now() {
        return (long) (loop.now() * MILLIS_PER_SECOND);
    }
}
