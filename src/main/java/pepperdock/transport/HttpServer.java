package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import pepperdock.core.LogRateLimiter;

/**
 * Serves HTTP/1.1 on one address, one request at a time per connection, for any front. The states of a connection have
 * time limits, which guard against clients that connect and send nothing, never finish a request, or do not read.
 */
public final class HttpServer {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    /** Time limit for a request: from connecting, or from the first byte of a later request, to its last byte. */
    public static final double REQUEST_TIMEOUT_S = 2.5;
    /** Time after which a connection that is kept between requests may be closed to make room for others. */
    private static final double MIN_IDLE_BEFORE_EVICTION_S = 2;

    private static final double TIMEOUT_SWEEP_INTERVAL_S = 0.1;
    /** Delay between the call of {@link #stopListening} and the close of the listening socket. */
    private static final double STOP_LISTENING_DELAY_S = 0.02;
    /** Pause between two searches for requests that are not complete: each looks at all connections. */
    private static final double MEMORY_CHECK_INTERVAL_S = 0.005;
    /** More than the longest line that the parser accepts; bodies are consumed as they arrive. */
    private static final int MAX_UNCONSUMED_BYTES = 16 << 10;

    private final EventLoop loop;
    private final HttpRequestHandler handler;
    private final IntSupplier maxConnections;
    private final double requestTimeoutS;
    private final EventLoop.SocketScope scope;
    private final EventLoop.ServerSocketHandle listening;
    /** Ordered by the time at which they entered their state, so that the longest waiting is found first. */
    private final Set<ServerConnection> connections = new LinkedHashSet<>();

    private double nextMemoryCheckAt;
    private boolean draining;
    private boolean stopped;
    private final LogRateLimiter rejectedRequestLog;
    private final LogRateLimiter closedClientLog;

    /** Creates a server of at most {@code maxConnections} connections, for bodies of at most {@code maxBodyBytes}. */
    public HttpServer(
            EventLoop loop,
            InetSocketAddress address,
            int maxBodyBytes,
            IntSupplier maxConnections,
            HttpRequestHandler handler)
            throws IOException {
        this(loop, address, EventLoop.SocketScope.EXCLUSIVE, REQUEST_TIMEOUT_S, maxBodyBytes, maxConnections, handler);
    }

    /**
     * Creates a server on an address of the given scope; on one outside the cap each response closes its connection.
     *
     * @param requestTimeoutS seconds in which a request must arrive, from its first byte or from connecting
     */
    public HttpServer(
            EventLoop loop,
            InetSocketAddress address,
            EventLoop.SocketScope scope,
            double requestTimeoutS,
            int maxBodyBytes,
            IntSupplier maxConnections,
            HttpRequestHandler handler)
            throws IOException {
        this.loop = loop;
        this.scope = scope;
        this.requestTimeoutS = requestTimeoutS;
        draining = scope == EventLoop.SocketScope.OUTSIDE_CAP;
        closedClientLog = new LogRateLimiter(LOG, loop, "connections of clients closed");
        rejectedRequestLog = new LogRateLimiter(LOG, loop, "malformed or rejected requests");
        this.handler = handler;
        this.maxConnections = maxConnections;
        listening = loop.listen(address, scope, this::makeRoom, connection -> {
            loop.input().recordAccepted();
            ServerConnection client = new ServerConnection(this, connection, maxBodyBytes);
            connections.add(client);
            connection.limitUnconsumedBytes(MAX_UNCONSUMED_BYTES);
            connection.start(client);
        });
        loop.after(TIMEOUT_SWEEP_INTERVAL_S, this::enforceTimeouts);
        if (scope != EventLoop.SocketScope.OUTSIDE_CAP) {
            loop.detectStalls();
        }
    }
    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return listening.address();
    }

    /** Makes each response from now on close its connection, so that clients connect elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Returns whether clients can still connect here. */
    public boolean isListening() {
        return !stopped;
    }

    /** Accepts the waiting clients and stops listening at once; for an address on which another process listens too. */
    public void stopListeningAtOnce() {
        stopped = true;
        listening.close();
    }

    /**
     * Closes idle connections, as {@link ServerConnection#closeIfIdle} does, and stops listening some turns of the loop later. The
     * kernel has accepted the clients that are still in its queue, and their requests would be lost if the queue were
     * closed now.
     */
    public void stopListening() {
        stopped = true;
        List.copyOf(connections).forEach(ServerConnection::closeIfIdle);
        loop.after(STOP_LISTENING_DELAY_S, listening::close);
    }

    /** Reads what has arrived on all connections; for a process that is about to end and must answer it first. */
    public void readAllNow() {
        List.copyOf(connections).forEach(ServerConnection::readAndServeNow);
    }

    /** Returns the number of open connections, idle ones included. */
    public int connectionCount() {
        connections.removeIf(client -> client.connection().isClosed());
        return connections.size();
    }

    /** Returns the number of connections with a request in progress, or with a response that is not wholly written. */
    public int busyConnectionCount() {
        return (int) connections.stream()
                .filter(client -> !client.connection().isClosed())
                .filter(ServerConnection::isBusy)
                .count();
    }

    /**
     * Returns whether there is room for a connection, after closing another one if necessary; this guards against
     * running out of descriptors. Connections that are only kept after a request are closed first, then those that
     * never completed one, the longest waiting first; those with a request in progress stay.
     */
    private boolean makeRoom() {
        boolean socketFree = scope == EventLoop.SocketScope.OUTSIDE_CAP || loop.spareSockets() > 0;
        // Connections that have closed are counted out only when that makes a difference.
        if (socketFree
                && (connections.size() < maxConnections.getAsInt() || connectionCount() < maxConnections.getAsInt())) {
            return true;
        }
        double now = loop.now();
        return evictFirst(client -> client.state() == ConnectionState.CLOSING)
                || evictFirst(client -> client.state() == ConnectionState.IDLE
                        && now - client.stateSince() > MIN_IDLE_BEFORE_EVICTION_S)
                || evictFirst(client -> client.state() == ConnectionState.NEW)
                || evictFirst(client -> client.state() == ConnectionState.READING && !client.hasCompletedRequest())
                || evictFirst(client -> client.state() == ConnectionState.IDLE);
    }

    /** Closes the first evictable connection, once its input is read: a client that has just sent a request stays. */
    private boolean evictFirst(Predicate<ServerConnection> evictable) {
        Predicate<ServerConnection> idle = client -> !client.awaitsService() && evictable.test(client);
        for (ServerConnection client : connections.stream().filter(idle).toList()) {
            client.connection().readNow();
            if (idle.test(client) || client.connection().isClosed()) {
                client.evict();
                connections.remove(client);
                return true;
            }
        }
        return false;
    }

    /** Rejects unfinished requests, the oldest first, until the memory held for them is within its limit. */
    void freeInputMemory() {
        if (!loop.inputMemory().isExceeded() || loop.now() < nextMemoryCheckAt) {
            return;
        }
        nextMemoryCheckAt = loop.now() + MEMORY_CHECK_INTERVAL_S;
        long bytesToFree = loop.inputMemory().bytesToFree();
        List<ServerConnection> rejected = new ArrayList<>();
        for (ServerConnection client : connections) {
            if (client.isUnfinished()) {
                bytesToFree -= client.connection().heldBytes();
                rejected.add(client);
            }
            if (bytesToFree <= 0) {
                break;
            }
        }
        rejected.forEach(ServerConnection::rejectUnfinished);
    }

    private void enforceTimeouts() {
        // Set first: the time limits have to go on if something fails below.
        loop.after(TIMEOUT_SWEEP_INTERVAL_S, this::enforceTimeouts);
        double now = loop.now();
        for (ServerConnection client : List.copyOf(connections)) {
            client.enforceTimeout(now);
        }
        connections.removeIf(client -> client.connection().isClosed());
    }

    InputScheduler inputScheduler() {
        return loop.inputScheduler();
    }

    EventLoop loop() {
        return loop;
    }

    HttpRequestHandler handler() {
        return handler;
    }

    LogRateLimiter rejectedRequestLog() {
        return rejectedRequestLog;
    }

    LogRateLimiter closedClientLog() {
        return closedClientLog;
    }

    /** Returns the seconds in which a request must arrive, from its first byte or from connecting. */
    double requestTimeoutS() {
        return requestTimeoutS;
    }

    /** Returns whether each response closes its connection. */
    boolean isDraining() {
        return draining;
    }

    /** Called when a connection has entered another state, from which its waiting time counts anew. */
    void onStateEntered(ServerConnection client) {
        if (connections.remove(client)) {
            connections.add(client);
        }
    }

    /** Called when a connection has ended. */
    void onClosed(ServerConnection client) {
        connections.remove(client);
    }
}
