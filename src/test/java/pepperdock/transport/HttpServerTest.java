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
 * The end of serving, against clients that ask at that very moment. The loop is held up by a task of the test's while the
 * client writes: what it wrote stands in the kernel, unread, when the same task closes what is idle.
 */
@Timeout(60)
class HttpServerTest {

    private static final byte[] REQUEST = "GET /x HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** More than both sockets' buffers take, less than the connection's own cap. */
    private static final int BIG = 24 << 20;

    private final EventLoop loop = new EventLoop(100, 1 << 25);
    private final HttpServer server = new HttpServer(
            loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024, () -> 1, new HttpRequestHandler() {
                @Override
                public Runnable serve(HttpMessage request, HttpResponseSender reply) {
                    reply.send(200, "text/plain", "", new byte[request.path().equals("/big") ? BIG : 0]);
                    return () -> {};
                }

                @Override
                public void rejectMalformed(int status, String why, HttpResponseSender reply) {
                    reply.send(status, "text/plain", "", new byte[0]);
                }
            });

    HttpServerTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(server.address().getAddress(), server.address().getPort());
        s.setSoTimeout(30_000);
        return s;
    }

    /** The first line of an answer without a body, read to its end and no further. */
    private static String status(Socket client) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = client.getInputStream().read();
                b >= 0;
                b = client.getInputStream().read()) {
            head.append((char) b);
            if (head.toString().endsWith("\r\n\r\n")) {
                break;
            }
        }
        return head.toString().lines().findFirst().orElse("none");
    }

    /** Serving stops on the loop, after what the client does while the loop stands still. */
    private void stopAfter(Step whileHeldUp) throws Exception {
        whileHeldUp(whileHeldUp, server::stopListening);
    }

    /** The loop stands still while one thing is done, and goes on with the other. */
    private void whileHeldUp(Step step, Runnable then) throws Exception {
        CountDownLatch heldUp = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            heldUp.countDown();
            try {
                assertTrue(done.await(30, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            then.run();
        });
        assertTrue(heldUp.await(30, TimeUnit.SECONDS));
        step.run();
        done.countDown();
    }

    private interface Step {
        void run() throws IOException;
    }

    @Test
    void aRequestThatStandsUnreadOnAnIdleConnectionIsAnswered() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            assertEquals("HTTP/1.1 200 OK", status(client));
            stopAfter(() -> client.getOutputStream().write(REQUEST));
            assertEquals("HTTP/1.1 200 OK", status(client));
        }
    }

    @Test
    void aRequestOnAConnectionThatIsNotYetAcceptedIsAnswered() throws Exception {
        Socket[] client = new Socket[1];
        stopAfter(() -> {
            client[0] = connect();
            client[0].getOutputStream().write(REQUEST);
        });
        try (Socket c = client[0]) {
            assertEquals("HTTP/1.1 200 OK", status(c));
        }
    }

    /** What stands is kept, nothing is opened beyond the part; a cap that changes meanwhile does not undo it. */
    @Test
    void twoProcessesShareTheSocketsThatOneMayHave() {
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
            public void rejectMalformed(int status, String why, HttpResponseSender reply) {}
        };
    }

    /** Two processes of one gatherer: who waits at the one that stops is taken in, and whoever comes next is the other's. */
    @Test
    void anAddressIsSharedAndHandedOverWithAllWhoWait() throws Exception {
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
            whileHeldUp(
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
            for (Socket c : clients) {
                c.setSoTimeout(30_000);
                c.getOutputStream().write(REQUEST);
                assertEquals("HTTP/1.1 200 OK", status(c));
                c.close();
            }
            try (Socket next =
                    new Socket(old.address().getAddress(), old.address().getPort())) {
                next.getOutputStream().write(REQUEST);
                assertEquals("HTTP/1.1 200 OK", status(next));
            }
        }
    }

    /**
     * Found by counting a process's descriptors: accepted on a thread of XNIO's own, all who came at once were held beside the
     * cap, until the loop came to look at them.
     */
    @Test
    void whoComesWhileTheLoopIsHeldUpTakesNoDescriptorHere() throws Exception {
        List<Socket> clients = new ArrayList<>();
        List<Long> accepted = new ArrayList<>();
        whileHeldUp(
                () -> {
                    for (int i = 0; i < 100; i++) {
                        clients.add(connect());
                    }
                    accepted.add(TcpTable.accepted(server.address().getPort()));
                },
                () -> {});
        assertEquals(List.of(0L), accepted);
        for (Socket c : clients) {
            c.close();
        }
    }

    /** An answer that its client does not read must not hold the room that another could have. */
    @Test
    void whoDoesNotReadItsAnswerGivesWay() throws Exception {
        try (Socket deaf = connect()) {
            deaf.getOutputStream().write("GET /big HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals('H', deaf.getInputStream().read());
            try (Socket client = connect()) {
                client.getOutputStream().write(REQUEST);
                assertEquals("HTTP/1.1 200 OK", status(client));
            }
        }
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST);
            assertEquals("HTTP/1.1 200 OK", status(client));
            stopAfter(() -> {});
            client.getInputStream().readAllBytes();
        }
    }
}
