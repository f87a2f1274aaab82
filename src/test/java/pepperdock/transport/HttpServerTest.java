package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.codec.http.HttpMessage;

/**
 * Checks how a server stops listening while clients send requests, and how it shares and frees sockets. A task of the
 * test blocks the loop while the client writes: the client's bytes are still unread in the kernel when the same task
 * closes idle connections.
 */
@Timeout(60)
class HttpServerTest {

    private static final byte[] REQUEST = "GET /x HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** More than the buffers of both sockets hold, less than the cap of the connection's own buffer. */
    private static final int LARGE_BODY_BYTES = 24 << 20;

    private final EventLoop loop = new EventLoop(100, 1 << 25);
    private final HttpServer server = new HttpServer(
            loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024, () -> 1, new HttpRequestHandler() {
                @Override
                public Runnable serve(HttpMessage request, HttpResponseSender reply) {
                    byte[] body = new byte[request.path().equals("/big") ? LARGE_BODY_BYTES : 0];
                    reply.send(200, "text/plain", "", request.path().equals("/broken") ? null : body);
                    return () -> {};
                }

                @Override
                public void respondWithError(int status, String why, HttpResponseSender reply) {
                    reply.send(status, "text/plain", "", new byte[0]);
                }
            });

    HttpServerTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(30_000);
        return socket;
    }

    /** Reads the head of a response without a body, and no further; returns its first line. */
    private static String readStatusLine(Socket client) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = client.getInputStream().read();
                next >= 0;
                next = client.getInputStream().read()) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                break;
            }
        }
        return head.toString().lines().findFirst().orElse("none");
    }

    /** Stops listening on the loop, after {@code clientStep} has run while the loop was blocked. */
    private void stopListeningAfter(IoTask clientStep) throws Exception {
        whileBlocked(clientStep, server::stopListening);
    }

    /** Blocks the loop while {@code step} runs, and then runs {@code then} on the loop. */
    private void whileBlocked(IoTask step, Runnable then) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            try {
                assertTrue(done.await(30, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            then.run();
        });
        assertTrue(blocked.await(30, TimeUnit.SECONDS));
        step.run();
        done.countDown();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    /** Guards against a request that counts as answered, and never is, because its response could not be built. */
    @Test
    void requestWhoseResponseCannotBeBuiltIsAnsweredWithAnError() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write("GET /broken HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 500 Internal Server Error", readStatusLine(client));
        }
    }

    @Test
    void unreadRequestOnAnIdleConnectionIsAnswered() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            assertEquals("HTTP/1.1 200 OK", readStatusLine(client));
            stopListeningAfter(() -> client.getOutputStream().write(REQUEST));
            assertEquals("HTTP/1.1 200 OK", readStatusLine(client));
        }
    }

    @Test
    void requestOnAConnectionNotYetAcceptedIsAnswered() throws Exception {
        Socket[] client = new Socket[1];
        stopListeningAfter(() -> {
            client[0] = connect();
            client[0].getOutputStream().write(REQUEST);
        });
        try (Socket accepted = client[0]) {
            assertEquals("HTTP/1.1 200 OK", readStatusLine(accepted));
        }
    }

    /** Open sockets are kept, and none is opened beyond this process's part; a change of the cap does not undo this. */
    @Test
    void socketCapIsSharedWithAnUpgradePeer() {
        loop.shareSocketsWithUpgradePeer(true, 30);
        assertEquals(30, loop.socketCap());
        loop.setSocketCap(200);
        assertEquals(30, loop.socketCap());
        loop.setSocketCap(20);
        assertEquals(20, loop.socketCap());
        loop.setSocketCap(200);
        loop.shareSocketsWithUpgradePeer(false, 30);
        assertEquals(200, loop.socketCap());
    }

    private static HttpRequestHandler emptyAnswers() {
        return new HttpRequestHandler() {
            @Override
            public Runnable serve(HttpMessage request, HttpResponseSender reply) {
                reply.send(200, "text/plain", "", new byte[0]);
                return () -> {};
            }

            @Override
            public void respondWithError(int status, String why, HttpResponseSender reply) {}
        };
    }

    /**
     * Two processes of one gatherer listen on one address: clients that wait at the one that stops are accepted, and
     * later ones go to the other.
     */
    @Test
    void sharedAddressIsHandedOverWithoutLosingWaitingClients() throws Exception {
        HttpRequestHandler service = emptyAnswers();
        HttpServer old = new HttpServer(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                EventLoop.SocketScope.SHARED_WITH_UPGRADE_PEER,
                2.5,
                1024,
                () -> 50,
                service);
        try (EventLoop second = new EventLoop(100, 1 << 16)) {
            List<Socket> clients = new ArrayList<>();
            HttpServer[] other = new HttpServer[1];
            whileBlocked(
                    () -> {
                        for (int i = 0; i < 40; i++) {
                            if (i == 20) {
                                other[0] = new HttpServer(
                                        second,
                                        old.address(),
                                        EventLoop.SocketScope.SHARED_WITH_UPGRADE_PEER,
                                        2.5,
                                        1024,
                                        () -> 50,
                                        service);
                            }
                            clients.add(new Socket(
                                    old.address().getAddress(), old.address().getPort()));
                        }
                    },
                    old::stopListeningAtOnce);
            assertEquals(old.address(), other[0].address());
            for (Socket client : clients) {
                client.setSoTimeout(30_000);
                client.getOutputStream().write(REQUEST);
                assertEquals("HTTP/1.1 200 OK", readStatusLine(client));
                client.close();
            }
            try (Socket next =
                    new Socket(old.address().getAddress(), old.address().getPort())) {
                next.getOutputStream().write(REQUEST);
                assertEquals("HTTP/1.1 200 OK", readStatusLine(next));
            }
        }
    }

    /**
     * Guards against accepting on a thread of XNIO's own: clients that connected at once were all held outside the cap
     * until the loop handled them.
     */
    @Test
    void clientsThatConnectWhileTheLoopIsBlockedTakeNoDescriptors() throws Exception {
        List<Socket> clients = new ArrayList<>();
        List<Long> accepted = new ArrayList<>();
        whileBlocked(
                () -> {
                    for (int i = 0; i < 100; i++) {
                        clients.add(connect());
                    }
                    accepted.add(TcpTable.accepted(server.address().getPort()));
                },
                () -> {});
        assertEquals(List.of(0L), accepted);
        for (Socket client : clients) {
            client.close();
        }
    }

    /** A response that its client does not read must not keep another client from connecting. */
    @Test
    void clientThatDoesNotReadItsResponseIsEvicted() throws Exception {
        try (Socket nonReader = connect()) {
            nonReader.getOutputStream().write("GET /big HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals('H', nonReader.getInputStream().read());
            try (Socket client = connect()) {
                client.getOutputStream().write(REQUEST);
                assertEquals("HTTP/1.1 200 OK", readStatusLine(client));
            }
        }
    }

    @Test
    void stopListeningClosesAnIdleConnection() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            assertEquals("HTTP/1.1 200 OK", readStatusLine(client));
            stopListeningAfter(() -> {});
            client.getInputStream().readAllBytes();
        }
    }
}
