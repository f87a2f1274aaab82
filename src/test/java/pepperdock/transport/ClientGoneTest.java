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

/**
 * Checks that the server notices clients that disconnect while their request is in progress, in each way of
 * disconnecting, and also when more input follows the request than the server keeps.
 */
@Timeout(60)
class ClientGoneTest {

    private static final String REQUEST = "POST /hold HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";

    /** The events of the handler, in order: each request taken, and each client gone. */
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private final BlockingQueue<HttpResponseSender> pendingReplies = new LinkedBlockingQueue<>();
    private final HttpRequestHandler handler = new HttpRequestHandler() {
        private int taken;

        @Override
        public Runnable serve(HttpMessage request, HttpResponseSender reply) {
            int number = ++taken;
            events.add("taken " + number);
            pendingReplies.add(reply);
            return () -> events.add("gone " + number);
        }

        @Override
        public void respondWithError(int status, String why, HttpResponseSender reply) {
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

    private HttpServer server(EventLoop eventLoop) throws IOException {
        return new HttpServer(
                eventLoop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024, () -> 10, handler);
    }

    private Socket ask(String text) throws IOException {
        return ask(server, text);
    }

    private static Socket ask(HttpServer server, String text) throws IOException {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(30_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(30, TimeUnit.SECONDS);
    }

    private enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET;

        void apply(Socket client) throws IOException {
            switch (this) {
                case CLOSE -> client.close();
                case HALF_CLOSE -> client.shutdownOutput();
                default -> {
                    client.setSoLinger(true, 0);
                    client.close();
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectDuringARequestIsNoticed(Disconnect disconnect) throws Exception {
        Socket client = ask(REQUEST);
        assertEquals("taken 1", nextEvent());
        disconnect.apply(client);
        assertEquals("gone 1", nextEvent());
        client.close();
    }

    /**
     * Guards against reading that stops at 16 KiB behind a request in progress: a disconnect behind that went
     * unnoticed.
     */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void disconnectBehindDiscardedInputIsNoticedAndDiscardedRequestsAreNotServed(Disconnect disconnect)
            throws Exception {
        Socket client = ask(REQUEST);
        assertEquals("taken 1", nextEvent());
        client.getOutputStream().write(REQUEST.repeat(2000).getBytes(StandardCharsets.US_ASCII));
        disconnect.apply(client);
        assertEquals("gone 1", nextEvent());
        client.close();
        // Another client is served only after everything that the first could have caused.
        Socket second = ask(REQUEST);
        assertEquals("taken 2", nextEvent());
        second.close();
        assertEquals("gone 2", nextEvent());
        assertTrue(events.isEmpty(), events::toString);
    }

    /**
     * A second request and the disconnect arrive together, and are read in one go: the second request must not be
     * taken.
     */
    @Test
    void requestThatArrivesWithTheDisconnectIsNotTaken() throws Exception {
        Socket client = ask(REQUEST + REQUEST);
        client.shutdownOutput();
        assertEquals("taken 1", nextEvent());
        assertEquals("gone 1", nextEvent());
        client.close();
        assertTrue(events.isEmpty(), events::toString);
    }

    /** Reads the head of a response; returns its status, and whether it says that its connection closes. */
    private static String readStatusAndClose(Socket client) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = client.getInputStream().read();
            assertTrue(next >= 0, head.toString());
            head.append((char) next);
        }
        return head.substring(9, 12) + (head.toString().contains("Connection: close") ? " close" : "");
    }

    /**
     * Reads the input behind the request, then answers the request. Discarded requests can't be answered, so the client
     * must see that this response is the last.
     */
    @ParameterizedTest
    @ValueSource(ints = {100, 1500})
    void responseClosesTheConnectionIfRequestsBehindItWereDiscarded(int more) throws Exception {
        try (Socket client = ask(REQUEST)) {
            assertEquals("taken 1", nextEvent());
            client.getOutputStream().write(REQUEST.repeat(more).getBytes(StandardCharsets.US_ASCII));
            HttpResponseSender first = pendingReplies.take();
            loop.execute(() -> {
                server.readAllNow();
                first.send(200, "text/plain", "", new byte[0]);
            });
            assertEquals(more > 1000 ? "200 close" : "200", readStatusAndClose(client));
            if (more > 1000) {
                assertEquals(-1, client.getInputStream().read());
                assertTrue(events.isEmpty(), events::toString);
            } else {
                assertEquals("taken 2", nextEvent());
            }
        }
    }

    /** The client gets an error, and its request in progress ends, as the client does not wait for the response. */
    @Test
    void clientThatKeepsSendingBehindARequestGets413AndItsRequestEnds() throws Exception {
        try (Socket client = ask(REQUEST)) {
            assertEquals("taken 1", nextEvent());
            client.getOutputStream()
                    .write(REQUEST.repeat((5 << 18) / REQUEST.length()).getBytes(StandardCharsets.US_ASCII));
            assertEquals("gone 1", nextEvent());
            assertEquals("413 close", readStatusAndClose(client));
            assertTrue(events.isEmpty(), events::toString);
        }
    }

    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BODY_BYTES = 24 << 20;

    /**
     * Guards against taking a request behind responses that fill the connection's buffer: reading paused while it was
     * in progress, and its client's half-close went unnoticed.
     */
    @Test
    void requestBehindAnUnreadResponseIsTakenOnceTheResponseIsRead() throws Exception {
        try (EventLoop roomy = new EventLoop(100, 1 << 25)) {
            HttpServer second = server(roomy);
            try (Socket client = ask(second, REQUEST + REQUEST)) {
                assertEquals("taken 1", nextEvent());
                HttpResponseSender first = pendingReplies.take();
                BlockingQueue<Integer> takenMeanwhile = new LinkedBlockingQueue<>();
                roomy.execute(() -> {
                    // Both requests are received before the response to the first.
                    second.readAllNow();
                    first.send(200, "text/plain", "", new byte[LARGE_BODY_BYTES]);
                    takenMeanwhile.add(events.size());
                });
                assertEquals(0, takenMeanwhile.poll(30, TimeUnit.SECONDS));
                assertEquals("200", readStatusAndClose(client));
                client.getInputStream().readNBytes(LARGE_BODY_BYTES);
                assertEquals("taken 2", nextEvent());
                client.shutdownOutput();
                assertEquals("gone 2", nextEvent());
            }
        }
    }

    private static boolean noDelay(Connection connection) {
        try {
            java.lang.reflect.Field channel = Connection.class.getDeclaredField("channel");
            channel.setAccessible(true);
            return ((org.xnio.StreamConnection) channel.get(connection)).getOption(org.xnio.Options.TCP_NODELAY);
        } catch (ReflectiveOperationException | IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Small writes that the kernel holds back are lost with a reset. */
    @Test
    void acceptedAndOpenedConnectionsWriteWithoutDelay() throws Exception {
        BlockingQueue<Boolean> noDelay = new LinkedBlockingQueue<>();
        ConnectionHandler none = new ConnectionHandler() {
            @Override
            public void onBytes(Connection connection) {}

            @Override
            public void onClosed(Connection connection) {}
        };
        EventLoop.ServerSocketHandle listening =
                loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> true, connection -> {
                    connection.start(none);
                    noDelay.add(noDelay(connection));
                });
        loop.execute(() -> loop.connect(listening.address(), 10, new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection connection) {
                noDelay.add(noDelay(connection));
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
