package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpParser;
import pepperdock.codec.http.HttpWriter;
import pepperdock.core.LogRateLimiter;

/**
 * Serves HTTP/1.1 on one address, one request at a time per connection, for any front. The states of a connection have
 * time limits, which guard against clients that connect and send nothing, never finish a request, or do not read.
 */
public final class HttpServer {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    /** Time limit for a request: from connecting, or from the first byte of a later request, to its last byte. */
    public static final double REQUEST_TIMEOUT_S = 2.5;
    /** Time limit for a client to read more of what it was sent. */
    private static final double RESPONSE_READ_TIMEOUT_S = 2.5;

    /** Time limit for a client to close after its last response, such as an error. */
    private static final double LINGER_TIMEOUT_S = 1;
    /** Time after which a connection that is kept between requests is closed if others do not need its room earlier. */
    private static final double IDLE_TIMEOUT_S = 60;
    /** Time after which a connection that is kept between requests may be closed to make room for others. */
    private static final double MIN_IDLE_BEFORE_EVICTION_S = 2;

    private static final double TIMEOUT_SWEEP_INTERVAL_S = 0.1;
    /** Delay between the call of {@link #stopListening} and the close of the listening socket. */
    private static final double STOP_LISTENING_DELAY_S = 0.02;
    /** More than the longest line that the parser accepts; bodies are consumed as they arrive. */
    private static final int MAX_UNCONSUMED_BYTES = 16 << 10;

    private final EventLoop loop;
    private final HttpRequestHandler handler;
    private final int maxBodyBytes;
    private final IntSupplier maxConnections;
    private final double requestTimeoutS;
    private final EventLoop.SocketScope scope;
    private final EventLoop.ServerSocketHandle listening;
    /** Ordered by the time at which they entered their state, so that the longest waiting is found first. */
    private final Set<ServerConnection> connections = new LinkedHashSet<>();

    private boolean draining;
    private boolean stopped;
    private final LogRateLimiter rejectedRequestLog;

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
        rejectedRequestLog = new LogRateLimiter(LOG, loop, "malformed or rejected requests");
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.maxConnections = maxConnections;
        listening = loop.listen(address, scope, this::makeRoom, connection -> {
            ServerConnection client = new ServerConnection(connection);
            connections.add(client);
            connection.limitUnconsumedBytes(MAX_UNCONSUMED_BYTES);
            connection.start(client);
            // Read at once, not a turn of the loop later: a client that waited in the system's queue has usually sent
            // its request by now, and may have disconnected.
            connection.readNow();
        });
        loop.after(TIMEOUT_SWEEP_INTERVAL_S, this::enforceTimeouts);
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
     * Closes idle connections, as {@link #closeIfIdle} does, and stops listening some turns of the loop later. The
     * kernel has accepted the clients that are still in its queue, and their requests would be lost if the queue were
     * closed now.
     */
    public void stopListening() {
        stopped = true;
        List.copyOf(connections).forEach(HttpServer::closeIfIdle);
        loop.after(STOP_LISTENING_DELAY_S, listening::close);
    }

    /**
     * Closes a connection if it has no request in progress after all its input is read, and all responses are written.
     * Without that check, a request that has arrived since the last read would be accepted and never answered.
     */
    private static void closeIfIdle(ServerConnection client) {
        client.connection.readNow();
        if ((client.state == ConnectionState.IDLE || client.state == ConnectionState.NEW)
                && !client.connection.hasUnwrittenBytes()) {
            client.connection.close();
        }
    }

    /** Reads what has arrived on all connections; for a process that is about to end and must answer it first. */
    public void readAllNow() {
        List.copyOf(connections).forEach(client -> client.connection.readNow());
    }

    /** Returns the number of open connections, idle ones included. */
    public int connectionCount() {
        connections.removeIf(client -> client.connection.isClosed());
        return connections.size();
    }

    /** Returns the number of connections with a request in progress, or with a response that is not wholly written. */
    public int busyConnectionCount() {
        return (int) connections.stream()
                .filter(client -> !client.connection.isClosed())
                .filter(client -> client.state == ConnectionState.SERVING
                        || client.state == ConnectionState.READING
                        || client.connection.hasUnwrittenBytes())
                .count();
    }

    /**
     * Returns whether there is room for a connection, after closing another one if necessary; this guards against
     * running out of descriptors. Connections that are only kept after a request are closed first, then those that
     * never completed one, the longest waiting first; those with a request in progress stay.
     */
    private boolean makeRoom() {
        if (connectionCount() < maxConnections.getAsInt()
                && (scope == EventLoop.SocketScope.OUTSIDE_CAP || loop.spareSockets() > 0)) {
            return true;
        }
        double now = loop.now();
        return evictFirst(client -> client.state == ConnectionState.CLOSING)
                || evictFirst(client ->
                        client.state == ConnectionState.IDLE && now - client.stateSince > MIN_IDLE_BEFORE_EVICTION_S)
                || evictFirst(client -> client.state == ConnectionState.NEW)
                || evictFirst(client -> client.state == ConnectionState.READING && client.requestNumber == 0)
                || evictFirst(client -> client.state == ConnectionState.IDLE);
    }

    /** Closes the first evictable connection, once its input is read: a client that has just sent a request stays. */
    private boolean evictFirst(Predicate<ServerConnection> evictable) {
        for (ServerConnection client : connections.stream().filter(evictable).toList()) {
            client.connection.readNow();
            if (evictable.test(client) || client.connection.isClosed()) {
                client.connection.close();
                connections.remove(client);
                return true;
            }
        }
        return false;
    }

    private void enforceTimeouts() {
        double now = loop.now();
        for (ServerConnection client : List.copyOf(connections)) {
            client.enforceTimeout(now);
        }
        connections.removeIf(client -> client.connection.isClosed());
        loop.after(TIMEOUT_SWEEP_INTERVAL_S, this::enforceTimeouts);
    }

    /** One client connection. */
    private final class ServerConnection implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = HttpParser.ofRequests(maxBodyBytes);
        private Runnable disconnectHandler;
        private boolean isHeadRequest;
        private boolean readingRequests;
        private long requestNumber;
        private ConnectionState state = ConnectionState.NEW;
        private double stateSince = loop.now();
        private long bytesWritten;
        private double lastWriteAt;

        ServerConnection(Connection connection) {
            this.connection = connection;
        }

        private void enter(ConnectionState next) {
            state = next;
            stateSince = loop.now();
            if (connections.remove(this)) {
                connections.add(this);
            }
        }

        /** Closes the connection, or answers 408, if it has been in its state for too long; called periodically. */
        void enforceTimeout(double now) {
            if (connection.isClosed()) {
                return;
            }
            if (connection.bytesWritten() > bytesWritten || !connection.hasUnwrittenBytes()) {
                bytesWritten = connection.bytesWritten();
                lastWriteAt = now;
            }
            if (mustCloseAtOnce(now)) {
                connection.close();
                onClosed(connection);
            } else if (isTimedOut(ConnectionState.NEW, requestTimeoutS, now)
                    || isTimedOut(ConnectionState.IDLE, IDLE_TIMEOUT_S, now)) {
                closeIfIdle(this);
            } else if (isTimedOut(ConnectionState.READING, requestTimeoutS, now)) {
                respondWithError(new HttpException(408, "request not finished in time"));
            }
        }

        private boolean isTimedOut(ConnectionState inState, double timeoutS, double now) {
            return state == inState && now - stateSince > timeoutS;
        }

        /** Returns whether the client does not read, or has been given enough time to close after its last response. */
        private boolean mustCloseAtOnce(double now) {
            if (connection.hasUnwrittenBytes()) {
                return now - lastWriteAt > RESPONSE_READ_TIMEOUT_S
                        || isTimedOut(ConnectionState.IDLE, IDLE_TIMEOUT_S, now);
            }
            return isTimedOut(ConnectionState.CLOSING, LINGER_TIMEOUT_S, now);
        }

        /**
         * Serves requests until one is in progress. Nested calls return at once: hundreds of requests sent at once
         * would otherwise overflow the stack. No request is taken while a response waits to be read: further responses
         * would fill the connection's buffer, reading would pause, and the disconnect of a client whose next request is
         * in progress would go unnoticed.
         */
        @Override
        public void onBytes(Connection connection) {
            if (readingRequests) {
                return;
            }
            readingRequests = true;
            try {
                while (disconnectHandler == null
                        && connection.readEnd() > connection.readStart()
                        && !connection.isClosed()
                        && !connection.hasUnwrittenBytes()
                        && state != ConnectionState.CLOSING) {
                    if (state == ConnectionState.IDLE) {
                        enter(ConnectionState.READING);
                    } else if (state == ConnectionState.NEW) {
                        // The time limit counts from connecting: a client gains nothing by sending byte by byte.
                        state = ConnectionState.READING;
                    }
                    connection.consume(parser.feed(connection.bytes(), connection.readStart(), connection.readEnd()));
                    if (!parser.isComplete()) {
                        return;
                    }
                    serve(parser.take());
                }
            } catch (HttpException e) {
                respondWithError(e);
            } finally {
                readingRequests = false;
            }
        }

        /** The kernel has taken the whole response: requests that the client sent behind it are served now. */
        @Override
        public void onFlushed(Connection connection) {
            onBytes(connection);
        }

        /** Answers a malformed request and reads no further, as later input can't be told apart from it. */
        private void respondWithError(HttpException e) {
            long number = ++requestNumber;
            disconnectHandler = () -> {};
            rejectedRequestLog.log(System.Logger.Level.INFO, () -> "malformed request: " + e.getMessage());
            handler.respondWithError(
                    e.status(),
                    e.getMessage(),
                    (status, contentType, extraHeaders, body) ->
                            respond(number, false, status, contentType, extraHeaders, body));
        }

        private void serve(HttpMessage message) {
            long number = ++requestNumber;
            disconnectHandler = () -> {};
            enter(ConnectionState.SERVING);
            isHeadRequest = message.method().equals("HEAD");
            HttpResponseSender reply = responseSender(number, message.keepAlive());
            try {
                Runnable onDisconnect = handler.serve(message, reply);
                if (number == requestNumber && disconnectHandler != null) {
                    disconnectHandler = onDisconnect;
                }
            } catch (HttpException e) {
                rejectedRequestLog.log(
                        System.Logger.Level.INFO,
                        () -> "request for " + message.path() + " rejected: " + e.status() + ' ' + e.getMessage());
                handler.respondWithError(e.status(), e.getMessage(), reply);
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "request handler failed", e);
                handler.respondWithError(500, "internal error", reply);
            }
        }

        private HttpResponseSender responseSender(long number, boolean keepAlive) {
            return new HttpResponseSender() {
                @Override
                public void send(int status, String contentType, String extraHeaders, byte[] body) {
                    respond(number, keepAlive, status, contentType, extraHeaders, body);
                }

                @Override
                public void pollForDisconnect() {
                    if (number == requestNumber) {
                        connection.readNow();
                    }
                }
            };
        }

        private void respond(
                long number, boolean keepAlive, int status, String contentType, String extraHeaders, byte[] body) {
            if (number != requestNumber || disconnectHandler == null || connection.isClosed()) {
                return;
            }
            disconnectHandler = null;
            // Discarded requests can't be answered: closing shows the client that this response is the last.
            boolean keep = keepAlive && !draining && !connection.hasDiscardedInput();
            byte[] response = HttpWriter.response(status, contentType, extraHeaders, body, keep);
            // A HEAD is answered without the body: the client would take its bytes for the next response.
            connection.write(isHeadRequest ? Arrays.copyOf(response, response.length - body.length) : response);
            if (!keep) {
                enter(ConnectionState.CLOSING);
                connection.closeAfterWrites();
                return;
            }
            enter(ConnectionState.IDLE);
            if (connection.readEnd() > connection.readStart()) {
                onBytes(connection);
            }
        }

        /** Ends the request in progress with 413: a client that keeps sending behind it does not await the response. */
        @Override
        public void onInputOverflow(Connection connection) {
            notifyDisconnect();
            respondWithError(new HttpException(413, "too much sent behind a request in hand"));
        }

        @Override
        public void onClosed(Connection connection) {
            connections.remove(this);
            notifyDisconnect();
        }

        private void notifyDisconnect() {
            if (disconnectHandler != null) {
                Runnable onDisconnect = disconnectHandler;
                disconnectHandler = null;
                onDisconnect.run();
            }
        }
    }
}
