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
    public static final double REQUEST_S = 2.5;
    /** For a client to read what it was sent, and to close after an error. */
    private static final double FLUSH_S = 2.5;

    private static final double LINGER_S = 1;
    /** A connection kept between requests may be closed after 2 s, and is when others need its room; else after this. */
    private static final double IDLE_S = 60;

    private static final double EVICT_S = 2;
    private static final double SWEEP_S = 0.1;
    /** Between the word to stop listening and its being done. */
    private static final double LAST_ACCEPT_S = 0.02;
    /** More than the longest line that the parser takes; bodies it takes as they come. */
    private static final int UNREAD_MOST = 16 << 10;

    /** A front. */
    public interface Service {

        /** Serves a request, now or later; what is returned runs if the client leaves before the reply. */
        Runnable serve(HttpMessage request, Reply reply) throws HttpException;

        /** Words a refusal of something malformed, at once. */
        void malformed(int status, String why, Reply reply);
    }

    /** Where the one reply to a request goes; a second is ignored. */
    public interface Reply {
        /** {@code extra} is whole header lines, or empty. */
        void send(int status, String type, String extra, byte[] body);

        /** Takes in what has come from the client by now; if it has left, what its service returned has run then. */
        default void poll() {}
    }

    private final Loop loop;
    private final Service service;
    private final int bodyMost;
    private final IntSupplier most;
    private final double requestS;
    private final Loop.Kind kind;
    private final Loop.Listening listening;
    /** In the order in which they came to the state they are in, so that the longest waiting is found first. */
    private final Set<Serving> all = new LinkedHashSet<>();

    private boolean draining;
    private boolean stopped;
    private final LogRateLimiter notes;

    /** {@code most} is how many connections clients may hold here, {@code bodyMost} what a request may bring. */
    public HttpServer(Loop loop, InetSocketAddress at, int bodyMost, IntSupplier most, Service service)
            throws IOException {
        this(loop, at, Loop.Kind.OWN, REQUEST_S, bodyMost, most, service);
    }

    /** {@code requestS} is how long a request may take to come; on an address apart each reply closes its connection. */
    public HttpServer(
            Loop loop,
            InetSocketAddress at,
            Loop.Kind kind,
            double requestS,
            int bodyMost,
            IntSupplier most,
            Service service)
            throws IOException {
        this.loop = loop;
        this.kind = kind;
        this.requestS = requestS;
        draining = kind == Loop.Kind.APART;
        notes = new LogRateLimiter(LOG, loop, "malformed or not taken");
        this.service = service;
        this.bodyMost = bodyMost;
        this.most = most;
        listening = loop.listen(at, kind, this::room, c -> {
            Serving s = new Serving(c);
            all.add(s);
            c.limitUnread(UNREAD_MOST);
            c.start(s);
            // Whoever waited in the system's queue has mostly asked by now, and perhaps left: not a turn of the loop
            // later.
            c.poll();
        });
        loop.after(SWEEP_S, this::sweep);
    }

    public InetSocketAddress address() {
        return listening.address();
    }

    /** From now on each reply closes its connection, so that clients turn elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Whether clients can still connect here. */
    public boolean listens() {
        return !stopped;
    }

    /** Takes in whoever waits and stops listening at once, where another process listens on the same address. */
    public void handOver() {
        stopped = true;
        listening.close();
    }

    /**
     * Closes what stands idle, as {@link #closeIfIdle} does, and stops listening some turns of the loop later: whoever
     * stands in the queue then was accepted by the machine, and closed with it its request would be lost.
     */
    public void stopListening() {
        stopped = true;
        List.copyOf(all).forEach(HttpServer::closeIfIdle);
        loop.after(LAST_ACCEPT_S, listening::close);
    }

    /**
     * Closes a connection that has nothing in hand once all that has come on it is read, and what was answered is written:
     * closed blindly, a request that came since the last look is taken and never answered.
     */
    private static void closeIfIdle(Serving s) {
        s.connection.poll();
        if ((s.at == At.IDLE || s.at == At.FRESH) && !s.connection.unwritten()) {
            s.connection.close();
        }
    }

    /** Takes what has come on all connections by now: for whoever is about to end, and must answer it first. */
    public void poll() {
        List.copyOf(all).forEach(s -> s.connection.poll());
    }

    /** Connections that stand, idle ones included. */
    public int connections() {
        all.removeIf(s -> s.connection.closed());
        return all.size();
    }

    /** Connections with a request in hand, or with a reply not wholly written. */
    public int busy() {
        return (int) all.stream()
                .filter(s -> !s.connection.closed())
                .filter(s -> s.at == At.SERVING || s.at == At.READING || s.connection.unwritten())
                .count();
    }

    /**
     * Guards against running out of descriptors. Whoever asked once and only keeps its connection gives way first, then
     * whoever never asked, the longest waiting first; those with a request in hand stay.
     */
    private boolean room() {
        if (connections() < most.getAsInt() && (kind == Loop.Kind.APART || loop.spare() > 0)) {
            return true;
        }
        double now = loop.now();
        return evict(s -> s.at == At.LEAVING)
                || evict(s -> s.at == At.IDLE && now - s.since > EVICT_S)
                || evict(s -> s.at == At.FRESH)
                || evict(s -> s.at == At.READING && s.asked == 0)
                || evict(s -> s.at == At.IDLE);
    }

    /** What has come on it is read first: whoever has just asked does not give way. */
    private boolean evict(Predicate<Serving> which) {
        for (Serving s : all.stream().filter(which).toList()) {
            s.connection.poll();
            if (which.test(s) || s.connection.closed()) {
                s.connection.close();
                all.remove(s);
                return true;
            }
        }
        return false;
    }

    private void sweep() {
        double now = loop.now();
        for (Serving s : List.copyOf(all)) {
            s.limit(now);
        }
        all.removeIf(s -> s.connection.closed());
        loop.after(SWEEP_S, this::sweep);
    }

    /** Nothing came yet; a part of a request did; it is being served; kept between requests; closing after an error. */
    private enum At {
        FRESH,
        READING,
        SERVING,
        IDLE,
        LEAVING
    }

    /** One client connection. */
    private final class Serving implements Connection.Handler {
        private final Connection connection;
        private final HttpParser parser = HttpParser.ofRequests(bodyMost);
        private Runnable inHand;
        private boolean head;
        private boolean feeding;
        private long asked;
        private At at = At.FRESH;
        private double since = loop.now();
        private long written;
        private double writtenAt;

        Serving(Connection connection) {
            this.connection = connection;
        }

        private void now(At next) {
            at = next;
            since = loop.now();
            if (all.remove(this)) {
                all.add(this);
            }
        }

        /** Ends what has stood in its state for too long; called now and then. */
        void limit(double now) {
            if (connection.closed()) {
                return;
            }
            if (connection.written() > written || !connection.unwritten()) {
                written = connection.written();
                writtenAt = now;
            }
            double stood = now - since;
            boolean unread = connection.unwritten() && now - writtenAt > FLUSH_S;
            if (unread
                    || at == At.LEAVING && !connection.unwritten() && stood > LINGER_S
                    || at == At.IDLE && stood > IDLE_S && connection.unwritten()) {
                connection.close();
                ended(connection);
            } else if (at == At.FRESH && stood > requestS || at == At.IDLE && stood > IDLE_S) {
                closeIfIdle(this);
            } else if (at == At.READING && stood > requestS) {
                malformed(new HttpException(408, "request not finished in time"));
            }
        }

        /**
         * Not called anew from within: hundreds of requests sent at once would otherwise pile up on the stack. Nothing is
         * taken behind an answer that waits to be read: with answers upon answers the connection's buffer fills up, reading
         * pauses, and the end of a client whose next request is in hand would not be seen.
         */
        @Override
        public void received(Connection c) {
            if (feeding) {
                return;
            }
            feeding = true;
            try {
                while (inHand == null && c.to() > c.from() && !c.closed() && !c.unwritten() && at != At.LEAVING) {
                    if (at == At.IDLE) {
                        now(At.READING);
                    } else if (at == At.FRESH) {
                        // The limit counts from connecting: a client that sends byte by byte gains nothing by it.
                        at = At.READING;
                    }
                    c.consume(parser.feed(c.bytes(), c.from(), c.to()));
                    if (!parser.done()) {
                        return;
                    }
                    serve(parser.take());
                }
            } catch (HttpException e) {
                malformed(e);
            } finally {
                feeding = false;
            }
        }

        /** The answer is with the kernel: what its client sent behind it is taken now. */
        @Override
        public void flushed(Connection c) {
            received(c);
        }

        /** What follows something malformed can't be told from it: answered, and not read on. */
        private void malformed(HttpException e) {
            long no = ++asked;
            inHand = () -> {};
            notes.log(System.Logger.Level.INFO, () -> "malformed request: " + e.getMessage());
            service.malformed(
                    e.status(),
                    e.getMessage(),
                    (status, type, extra, body) -> reply(no, false, status, type, extra, body));
        }

        private void serve(HttpMessage m) {
            long no = ++asked;
            inHand = () -> {};
            now(At.SERVING);
            head = m.method().equals("HEAD");
            Reply reply = replyTo(no, m.keepAlive());
            try {
                Runnable gone = service.serve(m, reply);
                if (no == asked && inHand != null) {
                    inHand = gone;
                }
            } catch (HttpException e) {
                notes.log(
                        System.Logger.Level.INFO,
                        () -> "request for " + m.path() + " not taken: " + e.status() + ' ' + e.getMessage());
                service.malformed(e.status(), e.getMessage(), reply);
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "request failed", e);
                service.malformed(500, "internal error", reply);
            }
        }

        private Reply replyTo(long no, boolean keepAlive) {
            return new Reply() {
                @Override
                public void send(int status, String type, String extra, byte[] body) {
                    reply(no, keepAlive, status, type, extra, body);
                }

                @Override
                public void poll() {
                    if (no == asked) {
                        connection.poll();
                    }
                }
            };
        }

        private void reply(long no, boolean keepAlive, int status, String type, String extra, byte[] body) {
            if (no != asked || inHand == null || connection.closed()) {
                return;
            }
            inHand = null;
            // Requests that were thrown away can't be answered: their client sees that this was the last.
            boolean keep = keepAlive && !draining && !connection.overrun();
            byte[] whole = HttpWriter.response(status, type, extra, body, keep);
            // A HEAD is answered without the body: its bytes would be taken for the next response.
            connection.write(head ? Arrays.copyOf(whole, whole.length - body.length) : whole);
            if (!keep) {
                now(At.LEAVING);
                connection.lingerAfterWrites();
                return;
            }
            now(At.IDLE);
            if (connection.to() > connection.from()) {
                received(connection);
            }
        }

        /** Whoever sends on and on behind a request that is in hand does not wait for its answer. */
        @Override
        public void flooded(Connection c) {
            leave();
            malformed(new HttpException(413, "too much sent behind a request in hand"));
        }

        @Override
        public void ended(Connection c) {
            all.remove(this);
            leave();
        }

        private void leave() {
            if (inHand != null) {
                Runnable gone = inHand;
                inHand = null;
                gone.run();
            }
        }
    }
}
