package pepperdock.transport;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpParser;
import pepperdock.core.Clock;

/** Asks one server, one request at a time, on a connection kept between requests and opened as needed. */
public final class HttpClient implements Connection.Handler {

    /** Why no response came; {@link #NOT_SENT} proves that the server never had the whole request. */
    public enum Failure {
        NOT_SENT,
        CONNECTION_LOST,
        TIMED_OUT
    }

    /** What comes of a request: one of the two, once, at the earliest after {@link #send} returns. */
    public interface ResponseListener {
        /** The response has come, complete. */
        void onResponse(HttpMessage message);
        /** No response came, or none that could be read. */
        void onFailure(Failure failure);
    }

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final EventLoop.SocketScope kind;
    private final double connectTimeoutS;
    private final int maxBodyBytes;
    private Connection connection;
    private HttpParser parser;
    private ResponseListener listener;
    private long requestEndOffset;
    private long requestNumber;
    private Clock.Timer responseTimeout;
    /** A client of one server; the connection is opened with the first request. */
    public HttpClient(EventLoop loop, InetSocketAddress server, double connectTimeoutS, int maxBodyBytes) {
        this(loop, server, EventLoop.SocketScope.EXCLUSIVE, connectTimeoutS, maxBodyBytes);
    }

    /** One whose connection is {@link Loop.SocketScope#OUTSIDE_CAP} has it however many others stand. */
    public HttpClient(
            EventLoop loop,
            InetSocketAddress server,
            EventLoop.SocketScope kind,
            double connectTimeoutS,
            int maxBodyBytes) {
        this.loop = loop;
        this.server = server;
        this.kind = kind;
        this.connectTimeoutS = connectTimeoutS;
        this.maxBodyBytes = maxBodyBytes;
    }
    /** Whether a request awaits its response. */
    public boolean isBusy() {
        return listener != null;
    }
    /** Whether a connection is open. */
    public boolean isConnected() {
        return connection != null;
    }

    /** Whether its request waits for a connection that is still coming up: nothing of it has been written. */
    public boolean isConnecting() {
        return listener != null && connection == null;
    }

    /** {@code timeoutS} is for the answer, from when the request is written; connecting has its own limit, at most as long. */
    public void send(byte[] request, double timeoutS, ResponseListener listener) {
        send(request, timeoutS, () -> true, listener);
    }

    /**
     * The same for a request that may cease to be wanted while it waits for a connection: {@code wanted} is asked once that
     * is there, and a request that is not wanted any more fails unsent.
     */
    public void send(byte[] request, double timeoutS, BooleanSupplier stillWanted, ResponseListener listener) {
        this.listener = listener;
        long number = ++requestNumber;
        if (connection != null) {
            write(request, timeoutS);
            return;
        }
        loop.connect(server, kind, Math.min(connectTimeoutS, timeoutS), new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection c) {
                if (number != requestNumber || HttpClient.this.listener == null) {
                    c.close();
                    return;
                }
                if (!stillWanted.getAsBoolean()) {
                    c.close();
                    if (number == requestNumber) {
                        fail(Failure.NOT_SENT);
                    }
                    return;
                }
                connection = c;
                parser = HttpParser.ofResponses(maxBodyBytes);
                c.start(HttpClient.this);
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

    /** The time for an answer counts from here: a server that lets a call wait counts from when it has it. */
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

    /** Ends the request in hand, if any, without a word, and closes the connection. */
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
        try {
            while (source.readEnd() > source.readStart() && connection == source) {
                if (listener == null) {
                    // Bytes that nothing asked for: what follows could not be told apart from them.
                    close();
                    return;
                }
                source.consume(parser.feed(source.bytes(), source.readStart(), source.readEnd()));
                if (!parser.isComplete()) {
                    return;
                }
                HttpMessage message = parser.take();
                if (message.status() >= 200) {
                    complete(message);
                }
            }
        } catch (HttpException e) {
            fail(Failure.CONNECTION_LOST);
        }
    }

    private void complete(HttpMessage message) {
        responseTimeout.cancel();
        ResponseListener completed = listener;
        listener = null;
        requestNumber++;
        if (!message.keepAlive() && connection != null) {
            connection.close();
            connection = null;
        }
        completed.onResponse(message);
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
            // A reset ends nothing: taken for the end of an answer without a length, half of one would pass for the
            // whole.
            parser.onEndOfInput();
        }
        if (parser.isComplete()) {
            complete(parser.take());
        } else {
            fail(source.bytesWritten() < requestEndOffset ? Failure.NOT_SENT : Failure.CONNECTION_LOST);
        }
    }

    private void fail(Failure failure) {
        ResponseListener completed = listener;
        close();
        if (completed != null) {
            completed.onFailure(failure);
        }
    }
}
