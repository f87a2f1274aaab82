package pepperdock.transport;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpParser;
import pepperdock.core.Clock;

/**
 * Sends requests to one server, one at a time, over a connection that is opened as needed and kept between requests.
 *
 * <p>HTTP/1.1 matches responses to requests by their order alone. A connection is therefore kept only while that order
 * is certain: input beyond a response, or before a request is completely written, belongs to no request, and the
 * connection is closed before another request can be sent on it.
 */
public final class HttpClient implements ConnectionHandler {

    /** Why there is no response; {@link #NOT_SENT} proves that the server never received the whole request. */
    public enum Failure {
        NOT_SENT,
        CONNECTION_LOST,
        TIMED_OUT
    }

    /**
     * Receives the result of a request: exactly one of the methods is called, once, after {@link #send} has returned.
     */
    public interface ResponseListener {
        /** The complete response has arrived. */
        void onResponse(HttpMessage message);
        /** No response has arrived, or none that could be parsed. */
        void onFailure(Failure failure);
    }

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final EventLoop.SocketScope scope;
    private final double connectTimeoutS;
    private final int maxBodyBytes;
    private Connection connection;
    private HttpParser parser;
    private ResponseListener listener;
    private long requestEndOffset;
    private long requestNumber;
    private Clock.Timer responseTimeout;
    /** Creates a client of one server; the connection is opened with the first request. */
    public HttpClient(EventLoop loop, InetSocketAddress server, double connectTimeoutS, int maxBodyBytes) {
        this(loop, server, EventLoop.SocketScope.EXCLUSIVE, connectTimeoutS, maxBodyBytes);
    }

    /**
     * Creates a client whose connection has the given scope; one {@link EventLoop.SocketScope#OUTSIDE_CAP} is opened
     * however many others are open.
     */
    public HttpClient(
            EventLoop loop,
            InetSocketAddress server,
            EventLoop.SocketScope scope,
            double connectTimeoutS,
            int maxBodyBytes) {
        this.loop = loop;
        this.server = server;
        this.scope = scope;
        this.connectTimeoutS = connectTimeoutS;
        this.maxBodyBytes = maxBodyBytes;
    }
    /** Returns whether a request awaits its response. */
    public boolean isBusy() {
        return listener != null;
    }
    /** Returns whether a connection is open. */
    public boolean isConnected() {
        return connection != null;
    }

    /**
     * Returns whether a request waits for a connection that is still being established: nothing of it has been written.
     */
    public boolean isConnecting() {
        return listener != null && connection == null;
    }

    /**
     * Sends a request. {@code timeoutS} limits the wait for the response, from when the request is written; connecting
     * has its own limit, which is at most as long.
     */
    public void send(byte[] request, double timeoutS, ResponseListener listener) {
        send(request, timeoutS, () -> true, listener);
    }

    /**
     * Sends a request that may become unwanted while it waits for a connection: {@code stillWanted} is asked once the
     * connection is established, and a request that is no longer wanted fails unsent.
     */
    public void send(byte[] request, double timeoutS, BooleanSupplier stillWanted, ResponseListener listener) {
        if (connection != null) {
            // Input that has arrived unread would be taken for the response to this request.
            connection.readNow();
        }
        this.listener = listener;
        long number = ++requestNumber;
        if (connection != null) {
            write(request, timeoutS);
            return;
        }
        loop.connect(server, scope, Math.min(connectTimeoutS, timeoutS), new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection established) {
                if (number != requestNumber || HttpClient.this.listener == null) {
                    established.close();
                    return;
                }
                if (!stillWanted.getAsBoolean()) {
                    established.close();
                    if (number == requestNumber) {
                        fail(Failure.NOT_SENT);
                    }
                    return;
                }
                connection = established;
                parser = HttpParser.ofResponses(maxBodyBytes);
                established.start(HttpClient.this);
                write(request, timeoutS);
            }

            @Override
            public void onFailed() {
                if (number == requestNumber) {
                    fail(Failure.NOT_SENT);
                }
            }
        });
    }

    /**
     * Writes the request and starts its timeout, because a server that holds a request counts the time from its
     * receipt.
     */
    private void write(byte[] request, double timeoutS) {
        long number = requestNumber;
        responseTimeout = loop.after(timeoutS, () -> {
            if (number == requestNumber) {
                fail(Failure.TIMED_OUT);
            }
        });
        connection.write(request);
        requestEndOffset = connection.bytesQueued();
    }

    /** Abandons the request in progress, if any, without calling its listener, and closes the connection. */
    public void close() {
        requestNumber++;
        listener = null;
        if (responseTimeout != null) {
            responseTimeout.cancel();
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    @Override
    public void onBytes(Connection source) {
        if (listener == null || source.bytesWritten() < requestEndOffset) {
            loop.onUnsolicitedInput(server);
            fail(Failure.NOT_SENT);
            return;
        }
        try {
            while (source.readEnd() > source.readStart()) {
                source.consume(parser.feed(source.bytes(), source.readStart(), source.readEnd()));
                if (!parser.isComplete()) {
                    return;
                }
                HttpMessage message = parser.take();
                if (message.status() >= 200) {
                    complete(message);
                    return;
                }
            }
        } catch (HttpException e) {
            fail(Failure.CONNECTION_LOST);
        }
    }

    /** Ends the request in progress with its response; the listener may send the next request at once. */
    private void complete(HttpMessage message) {
        responseTimeout.cancel();
        ResponseListener completed = listener;
        listener = null;
        requestNumber++;
        if (connection != null && !isReusableAfter(message)) {
            connection.close();
            connection = null;
        }
        completed.onResponse(message);
    }

    private boolean isReusableAfter(HttpMessage message) {
        boolean inputLeft = connection.readEnd() > connection.readStart();
        if (inputLeft) {
            loop.onUnsolicitedInput(server);
        }
        return message.keepAlive() && !inputLeft;
    }

    @Override
    public void onClosed(Connection source) {
        if (connection != source) {
            return;
        }
        connection = null;
        if (listener == null) {
            return;
        }
        if (!source.endedByError()) {
            // A reset does not complete a response: half of a response without a length would otherwise be taken for
            // the whole.
            parser.onEndOfInput();
        }
        if (parser.isComplete()) {
            complete(parser.take());
        } else {
            fail(source.bytesWritten() < requestEndOffset ? Failure.NOT_SENT : Failure.CONNECTION_LOST);
        }
    }

    private void fail(Failure failure) {
        ResponseListener failed = listener;
        close();
        if (failed != null) {
            failed.onFailure(failure);
        }
    }
}
