package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.codec.http.HttpMessage;

/** Clients that go while their request is in hand, by each way of going, also with more behind it than is kept unread. */
@Timeout(60)
class ClientGoneTest {

    private static final String REQUEST = "POST /hold HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";

    /** What the front was told, in order: each request taken, and each client gone. */
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    private final BlockingQueue<HttpResponseSender> held = new LinkedBlockingQueue<>();
    private final HttpRequestHandler service = new HttpRequestHandler() {
        private int taken;

        @Override
        public Runnable serve(HttpMessage request, HttpResponseSender reply) {
            int no = ++taken;
            told.add("taken " + no);
            held.add(reply);
            return () -> told.add("gone " + no);
        }

        @Override
        public void rejectMalformed(int status, String why, HttpResponseSender reply) {
            reply.send(status, "text/plain", "", new byte[0]);
        }
    };
    private final EventLoop loop = new EventLoop(100, 1 << 18);
    private final HttpServer server = server(loop);

    ClientGoneTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private HttpServer server(EventLoop by) throws IOException {
        return new HttpServer(by, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024, () -> 10, service);
    }

    private Socket ask(String text) throws IOException {
        return ask(server, text);
    }

    private static Socket ask(HttpServer server, String text) throws IOException {
        Socket s = new Socket(server.address().getAddress(), server.address().getPort());
        s.setSoTimeout(30_000);
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return s;
    }

    private String next() throws InterruptedException {
        return told.poll(30, TimeUnit.SECONDS);
    }

    private enum Way {
        CLOSE,
        HALF_CLOSE,
        RESET;

        void go(Socket s) throws IOException {
            switch (this) {
                case CLOSE -> s.close();
                case HALF_CLOSE -> s.shutdownOutput();
                default -> {
                    s.setSoLinger(true, 0);
                    s.close();
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void aClientThatGoesIsNoticed(Way way) throws Exception {
        Socket s = ask(REQUEST);
        assertEquals("taken 1", next());
        way.go(s);
        assertEquals("gone 1", next());
        s.close();
    }

    /** Found by reading: reading stopped at 16 KiB behind a request in hand, and an end behind that was never seen. */
    @ParameterizedTest
    @EnumSource(Way.class)
    void anEndBehindMoreThanIsKeptUnreadIsNoticedAndNothingBehindItServed(Way way) throws Exception {
        Socket s = ask(REQUEST);
        assertEquals("taken 1", next());
        s.getOutputStream().write(REQUEST.repeat(2000).getBytes(StandardCharsets.US_ASCII));
        way.go(s);
        assertEquals("gone 1", next());
        s.close();
        // Another client's turn is behind all that the first could have caused.
        Socket other = ask(REQUEST);
        assertEquals("taken 2", next());
        other.close();
        assertEquals("gone 2", next());
        assertTrue(told.isEmpty(), told::toString);
    }

    /** All that is behind the request in hand at once with its end: read in one go, the second must not be taken. */
    @Test
    void aRequestThatComesWithItsClientsEndIsNotLeftInHand() throws Exception {
        Socket s = ask(REQUEST + REQUEST);
        s.shutdownOutput();
        assertEquals("taken 1", next());
        assertEquals("gone 1", next());
        s.close();
        assertTrue(told.isEmpty(), told::toString);
    }

    /** The first line of an answer, and whether it says that its connection closes. */
    private static String head(Socket s) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = s.getInputStream().read();
            assertTrue(next >= 0, head.toString());
            head.append((char) next);
        }
        return head.substring(9, 12) + (head.toString().contains("Connection: close") ? " close" : "");
    }

    /** Read by order, then answered: what was thrown away behind it can't be, so its client must see that it was the last. */
    @ParameterizedTest
    @ValueSource(ints = {100, 1500})
    void theAnswerSaysItIsTheLastWhereWhatCameBehindItWasThrownAway(int more) throws Exception {
        try (Socket s = ask(REQUEST)) {
            assertEquals("taken 1", next());
            s.getOutputStream().write(REQUEST.repeat(more).getBytes(StandardCharsets.US_ASCII));
            HttpResponseSender first = held.take();
            loop.execute(() -> {
                server.readAllNow();
                first.send(200, "text/plain", "", new byte[0]);
            });
            assertEquals(more > 1000 ? "200 close" : "200", head(s));
            if (more > 1000) {
                assertEquals(-1, s.getInputStream().read());
                assertTrue(told.isEmpty(), told::toString);
            } else {
                assertEquals("taken 2", next());
            }
        }
    }

    /** Owed an error; and its request in hand is over, as it does not wait for an answer. */
    @Test
    void whoSendsOnAndOnBehindARequestInHandIsToldSoAndItsRequestEnds() throws Exception {
        try (Socket s = ask(REQUEST)) {
            assertEquals("taken 1", next());
            s.getOutputStream()
                    .write(REQUEST.repeat((5 << 18) / REQUEST.length()).getBytes(StandardCharsets.US_ASCII));
            assertEquals("gone 1", next());
            assertEquals("413 close", head(s));
            assertTrue(told.isEmpty(), told::toString);
        }
    }

    /** More than both sockets' buffers take. */
    private static final int BIG = 24 << 20;

    /**
     * Found by reading: taken at once, a request behind answers that fill the connection's buffer was in hand while reading
     * paused, and its client's half-close not seen.
     */
    @Test
    void aRequestBehindAnAnswerThatIsNotReadYetWaitsUntilItIs() throws Exception {
        try (EventLoop roomy = new EventLoop(100, 1 << 25)) {
            HttpServer other = server(roomy);
            try (Socket s = ask(other, REQUEST + REQUEST)) {
                assertEquals("taken 1", next());
                HttpResponseSender first = held.take();
                BlockingQueue<Integer> takenMeanwhile = new LinkedBlockingQueue<>();
                roomy.execute(() -> {
                    // Both requests are here before the answer to the first.
                    other.readAllNow();
                    first.send(200, "text/plain", "", new byte[BIG]);
                    takenMeanwhile.add(told.size());
                });
                assertEquals(0, takenMeanwhile.poll(30, TimeUnit.SECONDS));
                assertEquals("200", head(s));
                s.getInputStream().readNBytes(BIG);
                assertEquals("taken 2", next());
                s.shutdownOutput();
                assertEquals("gone 2", next());
            }
        }
    }

    private static boolean noDelay(Connection c) {
        try {
            java.lang.reflect.Field channel = Connection.class.getDeclaredField("channel");
            channel.setAccessible(true);
            return ((org.xnio.StreamConnection) channel.get(c)).getOption(org.xnio.Options.TCP_NODELAY);
        } catch (ReflectiveOperationException | IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Small writes that the system holds back go with a reset. */
    @Test
    void bothKindsOfConnectionsWriteAtOnce() throws Exception {
        BlockingQueue<Boolean> noDelay = new LinkedBlockingQueue<>();
        Connection.Handler none = new Connection.Handler() {
            @Override
            public void onBytes(Connection c) {}

            @Override
            public void onClosed(Connection c) {}
        };
        EventLoop.ServerSocketHandle at =
                loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> true, c -> {
                    c.start(none);
                    noDelay.add(noDelay(c));
                });
        loop.execute(() -> loop.connect(at.address(), 10, new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection c) {
                noDelay.add(noDelay(c));
            }

            @Override
            public void onFailed() {
                noDelay.add(false);
            }
        }));
        assertEquals(Boolean.TRUE, noDelay.poll(30, TimeUnit.SECONDS));
        assertEquals(Boolean.TRUE, noDelay.poll(30, TimeUnit.SECONDS));
    }
}
