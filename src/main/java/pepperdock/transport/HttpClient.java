package pepperdock.transport;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpParser;
import pepperdock.core.Clock;

/** Asks one server, one request at a time, on a connection kept between requests and opened as needed. */
public final class HttpClient implements Connection.Handler {

    /** Why no response came; {@link #UNSENT} proves that the server never had the whole request. */
    public enum Failure {
        UNSENT,
        BROKEN,
        TIMED_OUT
    }

    /** What comes of a request: one of the two, once, at the earliest after {@link #ask} returns. */
    public interface Then {
        void response(HttpMessage m);

        void failed(Failure why);
    }

    private final Loop loop;
    private final InetSocketAddress to;
    private final Loop.Kind kind;
    private final double dialS;
    private final int bodyMost;
    private Connection connection;
    private HttpParser parser;
    private Then then;
    private long wanted;
    private long asked;
    private Clock.Timer limit;

    public HttpClient(Loop loop, InetSocketAddress to, double dialS, int bodyMost) {
        this(loop, to, Loop.Kind.OWN, dialS, bodyMost);
    }

    /** One whose connection is {@link Loop.Kind#APART} has it however many others stand. */
    public HttpClient(Loop loop, InetSocketAddress to, Loop.Kind kind, double dialS, int bodyMost) {
        this.loop = loop;
        this.to = to;
        this.kind = kind;
        this.dialS = dialS;
        this.bodyMost = bodyMost;
    }

    public boolean busy() {
        return then != null;
    }

    public boolean connected() {
        return connection != null;
    }

    /** Whether its request waits for a connection that is still coming up: nothing of it has been written. */
    public boolean dialling() {
        return then != null && connection == null;
    }

    /** {@code timeoutS} is for the answer, from when the request is written; connecting has its own limit, at most as long. */
    public void ask(byte[] request, double timeoutS, Then then) {
        ask(request, timeoutS, () -> true, then);
    }

    /**
     * The same for a request that may cease to be wanted while it waits for a connection: {@code wanted} is asked once that
     * is there, and a request that is not wanted any more fails unsent.
     */
    public void ask(byte[] request, double timeoutS, BooleanSupplier wanted, Then then) {
        this.then = then;
        long no = ++asked;
        if (connection != null) {
            write(request, timeoutS);
            return;
        }
        loop.dial(to, kind, Math.min(dialS, timeoutS), new Loop.Dialled() {
            @Override
            public void up(Connection c) {
                if (no != asked || HttpClient.this.then == null) {
                    c.close();
                    return;
                }
                if (!wanted.getAsBoolean()) {
                    c.close();
                    if (no == asked) {
                        fail(Failure.UNSENT);
                    }
                    return;
                }
                connection = c;
                parser = HttpParser.ofResponses(bodyMost);
                c.start(HttpClient.this);
                write(request, timeoutS);
            }

            @Override
            public void failed() {
                if (no == asked) {
                    fail(Failure.UNSENT);
                }
            }
        });
    }

    /** The time for an answer counts from here: a server that lets a call wait counts from when it has it. */
    private void write(byte[] request, double timeoutS) {
        long no = asked;
        limit = loop.after(timeoutS, () -> {
            if (no == asked) {
                fail(Failure.TIMED_OUT);
            }
        });
        connection.write(request);
        wanted = connection.queued();
    }

    /** Ends the request in hand, if any, without a word, and closes the connection. */
    public void close() {
        asked++;
        then = null;
        if (limit != null) {
            limit.cancel();
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    @Override
    public void received(Connection c) {
        try {
            while (c.to() > c.from() && connection == c) {
                if (then == null) {
                    // Bytes that nothing asked for: what follows could not be told apart from them.
                    close();
                    return;
                }
                c.consume(parser.feed(c.bytes(), c.from(), c.to()));
                if (!parser.done()) {
                    return;
                }
                HttpMessage m = parser.take();
                if (m.status() >= 200) {
                    done(m);
                }
            }
        } catch (HttpException e) {
            fail(Failure.BROKEN);
        }
    }

    private void done(HttpMessage m) {
        limit.cancel();
        Then told = then;
        then = null;
        asked++;
        if (!m.keepAlive() && connection != null) {
            connection.close();
            connection = null;
        }
        told.response(m);
    }

    @Override
    public void ended(Connection c) {
        if (connection != c) {
            return;
        }
        connection = null;
        if (then == null) {
            return;
        }
        if (!c.broken()) {
            // A reset ends nothing: taken for the end of an answer without a length, half of one would pass for the
            // whole.
            parser.end();
        }
        if (parser.done()) {
            done(parser.take());
        } else {
            fail(c.written() < wanted ? Failure.UNSENT : Failure.BROKEN);
        }
    }

    private void fail(Failure why) {
        Then told = then;
        close();
        if (told != null) {
            told.failed(why);
        }
    }
}
