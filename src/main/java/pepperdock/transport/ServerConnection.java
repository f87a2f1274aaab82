package pepperdock.transport;

import java.util.Arrays;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpParser;
import pepperdock.codec.http.HttpWriter;
import pepperdock.transport.TransportMetrics.ClientCloseReason;

/**
 * One client's connection to an {@link HttpServer}. It serves one request at a time, and enforces the time limits of its
 * states. Owned by the I/O thread.
 */
final class ServerConnection implements ConnectionHandler, InputScheduler.Source {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    /** Time limit for a client to read more of what it was sent. */
    private static final double RESPONSE_READ_TIMEOUT_S = 2.5;

    /** Time limit for serving the input of one connection when the process is about to end. */
    private static final double MAX_SERVE_BEFORE_EXIT_S = 0.0005;
    /** Time limit for a client to close after its last response, such as an error. */
    private static final double LINGER_TIMEOUT_S = 1;
    /** Time after which a connection that is kept between requests is closed if others do not need its room earlier. */
    private static final double IDLE_TIMEOUT_S = 60;

    private final HttpServer server;
    private final Connection connection;
    private final int maxBodyBytes;
    private HttpParser parser;
    private Runnable disconnectHandler;
    private boolean isHeadRequest;
    private final InputShare share;
    /** Whether there is input that the parser has not seen. */
    private boolean hasNewInput;

    private long requestNumber;
    private ConnectionState state = ConnectionState.NEW;
    private double stateSince;
    private final WriteProgress writeProgress;
    /** When the first byte behind the last complete request may have arrived; NaN if none has, or not a whole request. */
    private double unparsedSinceS = Double.NaN;

    ServerConnection(HttpServer server, Connection connection, int maxBodyBytes) {
        this.server = server;
        this.connection = connection;
        writeProgress = new WriteProgress(connection);
        this.maxBodyBytes = maxBodyBytes;
        parser = HttpParser.ofRequests(maxBodyBytes);
        stateSince = server.loop().now();
        share = new InputShare(stateSince);
    }

    Connection connection() {
        return connection;
    }

    ConnectionState state() {
        return state;
    }

    /** Returns when the connection entered its state, in seconds on the loop's clock. */
    double stateSince() {
        return stateSince;
    }

    /** Returns whether a whole request has arrived on this connection. */
    boolean hasCompletedRequest() {
        return requestNumber > 0;
    }

    /**
     * Closes the connection if it has no request in progress after its input is read, and all responses are written.
     * Without that check, a request that has arrived since the last read would be accepted and never answered.
     */
    void closeIfIdle() {
        connection.readNow();
        if (isIdle()) {
            connection.close();
        }
    }

    private boolean isIdle() {
        return (state == ConnectionState.IDLE || state == ConnectionState.NEW)
                && !connection.hasUnwrittenBytes()
                && !awaitsService();
    }

    /** Returns whether input that has been read, or that a round of the scheduler will read, is to be served. */
    boolean awaitsService() {
        return canServe() && (hasNewInput || share.queued);
    }

    /** Reads what has arrived and serves it at once, for a short time at most: the process is about to end. */
    void readAndServeNow() {
        connection.readNow();
        serveInput(server.loop().now() + MAX_SERVE_BEFORE_EXIT_S);
    }

    /** Returns whether a request is in progress or read, or a response is not wholly written. */
    boolean isBusy() {
        return state == ConnectionState.SERVING
                || state == ConnectionState.READING
                || connection.hasUnwrittenBytes()
                || awaitsService();
    }

    /** Closes the connection to make room for another. */
    void evict() {
        recordClose(ClientCloseReason.EVICTED, "evicted to make room for another");
        connection.closeToMakeRoom();
    }

    private void recordClose(ClientCloseReason reason, String text) {
        server.loop().metrics().recordClientClose(reason);
        server.closedClientLog()
                .log(System.Logger.Level.INFO, () -> "closing the connection of client " + peer() + ": " + text);
    }

    private void enter(ConnectionState next) {
        state = next;
        stateSince = server.loop().now();
        server.onStateEntered(this);
    }

    /** Closes the connection, or answers 408, if it has been in its state for too long; called periodically. */
    void enforceTimeout(double now) {
        if (connection.isClosed()) {
            return;
        }
        writeProgress.update(now);
        if (mustCloseAtOnce(now)) {
            if (connection.hasUnwrittenBytes()) {
                recordClose(ClientCloseReason.NOT_READING, "it does not read its response");
            }
            connection.close();
            onClosed(connection);
        } else if (isTimedOut(ConnectionState.NEW, server.requestTimeoutS(), now)
                || isTimedOut(ConnectionState.IDLE, IDLE_TIMEOUT_S, now)) {
            closeIfIdle();
        } else if (isTimedOut(ConnectionState.READING, server.requestTimeoutS(), now)) {
            respondWithError(ClientCloseReason.REQUEST_TIMEOUT, new HttpException(408, "request not finished in time"));
        }
    }

    private boolean isTimedOut(ConnectionState inState, double timeoutS, double now) {
        return state == inState && now - stateSince > timeoutS;
    }

    /** Returns whether the client does not read, or has been given enough time to close after its last response. */
    private boolean mustCloseAtOnce(double now) {
        if (connection.hasUnwrittenBytes()) {
            return writeProgress.stalledS(now) > RESPONSE_READ_TIMEOUT_S
                    || isTimedOut(ConnectionState.IDLE, IDLE_TIMEOUT_S, now);
        }
        return isTimedOut(ConnectionState.CLOSING, LINGER_TIMEOUT_S, now);
    }

    @Override
    public void onBytes(Connection connection) {
        if (Double.isNaN(unparsedSinceS) && connection.readEnd() > connection.readStart()) {
            unparsedSinceS = connection.unread().arrivedAfterS();
        }
        hasNewInput = true;
        submitInput();
    }

    private void submitInput() {
        if (hasServableInput()) {
            server.inputScheduler().submit(this);
        }
    }

    /** While a request is in progress, its client's disconnect must be noticed. */
    @Override
    public boolean readsAtOnce() {
        return disconnectHandler != null;
    }

    @Override
    public void onReadable(Connection connection) {
        submitInput();
    }

    @Override
    public InputShare share() {
        return share;
    }

    @Override
    public String peer() {
        return String.valueOf(connection.peer());
    }

    /**
     * No request is taken while a response waits to be read: further responses would fill the connection's buffer,
     * reading would pause, and the disconnect of a client whose next request is in progress would go unnoticed.
     */
    private boolean canServe() {
        return disconnectHandler == null
                && !connection.isClosed()
                && !connection.hasUnwrittenBytes()
                && state != ConnectionState.CLOSING;
    }

    @Override
    public boolean hasServableInput() {
        return canServe() && (hasNewInput || connection.unread().isPossible());
    }

    @Override
    public boolean serveInput(double untilS) {
        connection.runGuarded(() -> serveUntil(untilS));
        updateHeldBytes();
        if (!hasServableInput()) {
            connection.resumeReading();
        }
        return disconnectHandler != null;
    }

    private void serveUntil(double untilS) {
        try {
            boolean timeLeft = true;
            while (timeLeft && canServe() && (hasNewInput || connection.readMore())) {
                if (parseNext()) {
                    double arrivedAtS = unparsedSinceS;
                    hasNewInput = connection.readEnd() > connection.readStart();
                    if (!hasNewInput) {
                        unparsedSinceS = Double.NaN;
                    }
                    serve(parser.take(), arrivedAtS);
                }
                timeLeft = server.loop().now() < untilS;
            }
        } catch (HttpException e) {
            respondWithError(ClientCloseReason.MALFORMED, e);
        }
    }

    /** Parses input; returns whether a request is complete. */
    private boolean parseNext() throws HttpException {
        if (state == ConnectionState.IDLE) {
            enter(ConnectionState.READING);
        } else if (state == ConnectionState.NEW) {
            // The time limit counts from connecting: a client gains nothing by sending byte by byte.
            state = ConnectionState.READING;
        }
        connection.consume(parser.feed(connection.bytes(), connection.readStart(), connection.readEnd()));
        if (!parser.isComplete()) {
            // The request counts from its last byte, which has not arrived.
            unparsedSinceS = Double.NaN;
            hasNewInput = false;
        }
        return parser.isComplete();
    }

    private void updateHeldBytes() {
        if (connection.isClosed() || state == ConnectionState.CLOSING) {
            connection.setHeldBytes(0);
            return;
        }
        connection.setHeldBytes(parser.heldBytes() + connection.grownBufferBytes());
        server.freeInputMemory();
    }

    /** Returns whether a request has begun that is not complete, for which memory can be freed by rejecting it. */
    boolean isUnfinished() {
        return state == ConnectionState.READING && disconnectHandler == null && !hasNewInput;
    }

    /** Rejects the unfinished request: too much memory is held for such requests. */
    void rejectUnfinished() {
        respondWithError(
                ClientCloseReason.INPUT_MEMORY,
                new HttpException(503, "too much is held for requests that are not complete"));
    }

    /** The kernel has taken the whole response: requests that the client sent behind it are served now. */
    @Override
    public void onFlushed(Connection connection) {
        submitInput();
    }

    /** Answers a malformed request and reads no further, as later input can't be told apart from it. */
    private void respondWithError(ClientCloseReason reason, HttpException e) {
        long number = ++requestNumber;
        disconnectHandler = () -> {};
        parser = HttpParser.ofRequests(maxBodyBytes);
        connection.discardInput();
        connection.setHeldBytes(0);
        server.loop().metrics().recordClientClose(reason);
        server.rejectedRequestLog()
                .log(System.Logger.Level.INFO, () -> "malformed request: " + e.getMessage() + ", from " + peer());
        server.handler()
                .respondWithError(
                        e.status(),
                        e.getMessage(),
                        (status, contentType, extraHeaders, body) ->
                                respond(number, false, status, contentType, extraHeaders, body));
    }

    private void serve(HttpMessage message, double arrivedAtS) {
        long number = ++requestNumber;
        disconnectHandler = () -> {};
        server.loop().input().recordRequest();
        enter(ConnectionState.SERVING);
        isHeadRequest = message.method().equals("HEAD");
        HttpResponseSender reply =
                responseSender(number, message.keepAlive(), server.loop().now() - arrivedAtS);
        try {
            Runnable onDisconnect = server.handler().serve(message, reply);
            if (number == requestNumber && disconnectHandler != null) {
                disconnectHandler = onDisconnect;
            }
        } catch (HttpException e) {
            server.rejectedRequestLog()
                    .log(
                            System.Logger.Level.INFO,
                            () -> "request for " + message.path() + " rejected: " + e.status() + ' ' + e.getMessage()
                                    + ", from " + peer());
            server.handler().respondWithError(e.status(), e.getMessage(), reply);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "request handler failed", e);
            server.handler().respondWithError(500, "internal error", reply);
        }
    }

    private HttpResponseSender responseSender(long number, boolean keepAlive, double waitedS) {
        return new HttpResponseSender() {
            @Override
            public double waitedS() {
                return waitedS;
            }

            @Override
            public void send(int status, String contentType, String extraHeaders, byte[] body) {
                respond(number, keepAlive, status, contentType, extraHeaders, body);
            }

            @Override
            public void pollForDisconnect() {
                if (number == requestNumber) {
                    connection.pollForDisconnect();
                }
            }
        };
    }

    private void respond(
            long number, boolean keepAlive, int status, String contentType, String extraHeaders, byte[] body) {
        if (number != requestNumber || disconnectHandler == null || connection.isClosed()) {
            return;
        }
        // Discarded requests can't be answered: closing shows the client that this response is the last.
        boolean keep = keepAlive && !server.isDraining() && !connection.hasDiscardedInput();
        byte[] response = HttpWriter.response(status, contentType, extraHeaders, body, keep);
        // From here on the request counts as answered.
        disconnectHandler = null;
        // A HEAD is answered without the body: the client would take its bytes for the next response.
        connection.write(isHeadRequest ? Arrays.copyOf(response, response.length - body.length) : response);
        if (!keep) {
            enter(ConnectionState.CLOSING);
            connection.closeAfterWrites();
            return;
        }
        enter(ConnectionState.IDLE);
        submitInput();
    }

    /** Ends the request in progress with 413: a client that keeps sending behind it does not await the response. */
    @Override
    public void onInputOverflow(Connection connection) {
        notifyDisconnect();
        respondWithError(
                ClientCloseReason.INPUT_OVERFLOW, new HttpException(413, "too much sent behind a request in hand"));
    }

    @Override
    public void releaseInput() {
        parser = HttpParser.ofRequests(maxBodyBytes);
    }

    @Override
    public void onClosed(Connection connection) {
        server.onClosed(this);
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
