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
 * Serves HTTP/1.1 on one address: one request at a time on a connection, whatever the front behind it. Each state of a
 * connection has its time limit: guards against clients that connect and say nothing, never finish, or do not read.
 */
public final class HttpServer {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    /** From connecting, or from the first byte of a later request, to its last byte. */
    public static final double REQUEST_TIMEOUT_S = 2.5;
    /** For a client to read what it was sent, and to close after an error. */
    private static final double RESPONSE_READ_TIMEOUT_S = 2.5;

    private static final double LINGER_TIMEOUT_S = 1;
    /** A connection kept between requests may be closed after 2 s, and is when others need its room; else after this. */
    private static final double IDLE_TIMEOUT_S = 60;

    private static final double MIN_IDLE_BEFORE_EVICTION_S = 2;
    private static final double TIMEOUT_SWEEP_INTERVAL_S = 0.1;
    /** Between the word to stop listening and its being done. */
    private static final double STOP_LISTENING_DELAY_S = 0.02;
    /** More than the longest line that the parser takes; bodies it takes as they come. */
    private static final int MAX_UNCONSUMED_BYTES = 16 << 10;

    private final EventLoop loop;
    private final HttpRequestHandler service;
    private final int maxBodyBytes;
    private final IntSupplier maxConnections;
    private final double requestTimeoutS;
    private final EventLoop.SocketScope scope;
    private final EventLoop.ServerSocketHandle listening;
    /** In the order in which they came to the state they are in, so that the longest waiting is found first. */
    private final Set<ServerConnection> connections = new LinkedHashSet<>();

    private boolean draining;
    private boolean stopped;
    private final LogRateLimiter rejectedRequestLog;

    /** A server of at most {@code maxConnections} connections, for requests with bodies of at most {@code maxBodyBytes}. */
    public HttpServer(
            EventLoop loop,
            InetSocketAddress address,
            int maxBodyBytes,
            IntSupplier maxConnections,
            HttpRequestHandler service)
            throws IOException {
        this(loop, address, EventLoop.SocketScope.EXCLUSIVE, REQUEST_TIMEOUT_S, maxBodyBytes, maxConnections, service);
    }

    /**
     * The same for an address of the given scope; on one outside the cap each response closes its connection.
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
            HttpRequestHandler service)
            throws IOException {
        this.loop = loop;
        this.scope = scope;
        this.requestTimeoutS = requestTimeoutS;
        draining = scope == EventLoop.SocketScope.OUTSIDE_CAP;
        rejectedRequestLog = new LogRateLimiter(LOG, loop, "malformed or not taken");
        this.service = service;
        this.maxBodyBytes = maxBodyBytes;
        this.maxConnections = maxConnections;
        listening = loop.listen(address, scope, this::makeRoom, connection -> {
            ServerConnection clientConnection = new ServerConnection(connection);
            connections.add(clientConnection);
            connection.limitUnconsumedBytes(MAX_UNCONSUMED_BYTES);
            connection.start(clientConnection);
            // Whoever waited in the system's queue has mostly asked by now, and perhaps left: not a turn of the loop
            // later.
            connection.readNow();
        });
        loop.after(TIMEOUT_SWEEP_INTERVAL_S, this::enforceTimeouts);
    }
    /** The address that is listened on. */
    public InetSocketAddress address() {
        return listening.address();
    }

    /** From now on each reply closes its connection, so that clients turn elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Whether clients can still connect here. */
    public boolean isListening() {
        return !stopped;
    }

    /** Takes in whoever waits and stops listening at once, where another process listens on the same address. */
    public void stopListeningAtOnce() {
        stopped = true;
        listening.close();
    }

    /**
     * Closes what stands idle, as {@link #closeIfIdle} does, and stops listening some turns of the loop later: whoever
     * stands in the queue then was accepted by the machine, and closed with it its request would be lost.
     */
    public void stopListening() {
        stopped = true;
        List.copyOf(connections).forEach(HttpServer::closeIfIdle);
        loop.after(STOP_LISTENING_DELAY_S, listening::close);
    }

    /**
     * Closes a connection that has nothing in hand once all that has come on it is read, and what was answered is written:
     * closed blindly, a request that came since the last look is taken and never answered.
     */
    private static void closeIfIdle(ServerConnection clientConnection) {
        clientConnection.connection.readNow();
        if ((clientConnection.state == ConnectionState.IDLE || clientConnection.state == ConnectionState.NEW)
                && !clientConnection.connection.hasUnwrittenBytes()) {
            clientConnection.connection.close();
        }
    }

    /** Takes what has come on all connections by now: for whoever is about to end, and must answer it first. */
    public void readAllNow() {
        List.copyOf(connections).forEach(clientConnection -> clientConnection.connection.readNow());
    }

    /** Connections that stand, idle ones included. */
    public int connectionCount() {
        connections.removeIf(clientConnection -> clientConnection.connection.isClosed());
        return connections.size();
    }

    /** Connections with a request in hand, or with a reply not wholly written. */
    public int busyConnectionCount() {
        return (int) connections.stream()
                .filter(clientConnection -> !clientConnection.connection.isClosed())
                .filter(clientConnection -> clientConnection.state == ConnectionState.SERVING
                        || clientConnection.state == ConnectionState.READING
                        || clientConnection.connection.hasUnwrittenBytes())
                .count();
    }

    /**
     * Guards against running out of descriptors. Whoever asked once and only keeps its connection gives way first, then
     * whoever never asked, the longest waiting first; those with a request in hand stay.
     */
    private boolean makeRoom() {
        if (connectionCount() < maxConnections.getAsInt()
                && (scope == EventLoop.SocketScope.OUTSIDE_CAP || loop.spareSockets() > 0)) {
            return true;
        }
        double now = loop.now();
        return evictFirst(clientConnection -> clientConnection.state == ConnectionState.CLOSING)
                || evictFirst(clientConnection -> clientConnection.state == ConnectionState.IDLE
                        && now - clientConnection.stateSince > MIN_IDLE_BEFORE_EVICTION_S)
                || evictFirst(clientConnection -> clientConnection.state == ConnectionState.NEW)
                || evictFirst(clientConnection ->
                        clientConnection.state == ConnectionState.READING && clientConnection.requestNumber == 0)
                || evictFirst(clientConnection -> clientConnection.state == ConnectionState.IDLE);
    }

    /** What has come on it is read first: whoever has just asked does not give way. */
    private boolean evictFirst(Predicate<ServerConnection> which) {
        for (ServerConnection clientConnection :
                connections.stream().filter(which).toList()) {
            clientConnection.connection.readNow();
            if (which.test(clientConnection) || clientConnection.connection.isClosed()) {
                clientConnection.connection.close();
                connections.remove(clientConnection);
                return true;
            }
        }
        return false;
    }

    private void enforceTimeouts() {
        double now = loop.now();
        for (ServerConnection clientConnection : List.copyOf(connections)) {
            clientConnection.enforceTimeout(now);
        }
        connections.removeIf(clientConnection -> clientConnection.connection.isClosed());
        loop.after(TIMEOUT_SWEEP_INTERVAL_S, this::enforceTimeouts);
    }

    /** One client connection. */
    private final class ServerConnection implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = HttpParser.ofRequests(maxBodyBytes);
        private Runnable disconnectHandler;
        private boolean isHeadRequest;
        private boolean feeding;
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

        /** Closes the connection, or answers 408, where it has been in its state for too long; called periodically. */
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
                rejectMalformed(new HttpException(408, "request not finished in time"));
            }
        }

        private boolean isTimedOut(ConnectionState inState, double timeoutS, double now) {
            return state == inState && now - stateSince > timeoutS;
        }

        /** Whether the client does not read, or has been given enough time to close after its last response. */
        private boolean mustCloseAtOnce(double now) {
            if (connection.hasUnwrittenBytes()) {
                return now - lastWriteAt > RESPONSE_READ_TIMEOUT_S
                        || isTimedOut(ConnectionState.IDLE, IDLE_TIMEOUT_S, now);
            }
            return isTimedOut(ConnectionState.CLOSING, LINGER_TIMEOUT_S, now);
        }

        /**
         * Not called anew from within: hundreds of requests sent at once would otherwise pile up on the stack. Nothing is
         * taken behind an answer that waits to be read: with answers upon answers the connection's buffer fills up, reading
         * pauses, and the end of a client whose next request is in hand would not be seen.
         */
        @Override
        public void onBytes(Connection connection) {
            if (feeding) {
                return;
            }
            feeding = true;
            try {
                while (disconnectHandler == null
                        && connection.readEnd() > connection.readStart()
                        && !connection.isClosed()
                        && !connection.hasUnwrittenBytes()
                        && state != ConnectionState.CLOSING) {
                    if (state == ConnectionState.IDLE) {
                        enter(ConnectionState.READING);
                    } else if (state == ConnectionState.NEW) {
                        // The limit counts from connecting: a client that sends byte by byte gains nothing by it.
                        state = ConnectionState.READING;
                    }
                    connection.consume(parser.feed(connection.bytes(), connection.readStart(), connection.readEnd()));
                    if (!parser.isComplete()) {
                        return;
                    }
                    serve(parser.take());
                }
            } catch (HttpException e) {
                rejectMalformed(e);
            } finally {
                feeding = false;
            }
        }

        /** The answer is with the kernel: what its client sent behind it is taken now. */
        @Override
        public void onFlushed(Connection connection) {
            onBytes(connection);
        }

        /** What follows something malformed can't be told from it: answered, and not read on. */
        private void rejectMalformed(HttpException e) {
            long number = ++requestNumber;
            disconnectHandler = () -> {};
            rejectedRequestLog.log(System.Logger.Level.INFO, () -> "malformed request: " + e.getMessage());
            service.rejectMalformed(
                    e.status(),
                    e.getMessage(),
                    (status, type, extra, body) -> respond(number, false, status, type, extra, body));
        }

        private void serve(HttpMessage message) {
            long number = ++requestNumber;
            disconnectHandler = () -> {};
            enter(ConnectionState.SERVING);
            isHeadRequest = message.method().equals("HEAD");
            HttpResponseSender reply = responseSender(number, message.keepAlive());
            try {
                Runnable onDisconnect = service.serve(message, reply);
                if (number == requestNumber && disconnectHandler != null) {
                    disconnectHandler = onDisconnect;
                }
            } catch (HttpException e) {
                rejectedRequestLog.log(
                        System.Logger.Level.INFO,
                        () -> "request for " + message.path() + " not taken: " + e.status() + ' ' + e.getMessage());
                service.rejectMalformed(e.status(), e.getMessage(), reply);
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "request failed", e);
                service.rejectMalformed(500, "internal error", reply);
            }
        }

        private HttpResponseSender responseSender(long number, boolean keepAlive) {
            return new HttpResponseSender() {
                @Override
                public void send(int status, String type, String extra, byte[] body) {
                    respond(number, keepAlive, status, type, extra, body);
                }

                @Override
                public void pollForDisconnect() {
                    if (number == requestNumber) {
                        connection.readNow();
                    }
                }
            };
        }

        private void respond(long number, boolean keepAlive, int status, String type, String extra, byte[] body) {
            if (number != requestNumber || disconnectHandler == null || connection.isClosed()) {
                return;
            }
            disconnectHandler = null;
            // Requests that were thrown away can't be answered: their client sees that this was the last.
            boolean keep = keepAlive && !draining && !connection.hasDiscardedInput();
            byte[] whole = HttpWriter.response(status, type, extra, body, keep);
            // A HEAD is answered without the body: its bytes would be taken for the next response.
            connection.write(isHeadRequest ? Arrays.copyOf(whole, whole.length - body.length) : whole);
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

        /** Whoever sends on and on behind a request that is in hand does not wait for its answer. */
        @Override
        public void onFlooded(Connection connection) {
            notifyDisconnect();
            rejectMalformed(new HttpException(413, "too much sent behind a request in hand"));
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
