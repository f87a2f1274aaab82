package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpWriter;

/**
 * Checks how a response ends, depending on what the server does to the connection, that an abandoned request is not sent,
 * and that input which no request asked for is never taken for a response.
 */
@Timeout(60)
class HttpClientTest {

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private final HttpClient.ResponseListener listener = new HttpClient.ResponseListener() {
        @Override
        public void onResponse(HttpMessage message) {
            results.add(new String(message.body(), StandardCharsets.US_ASCII));
        }

        @Override
        public void onFailure(HttpClient.Failure failure) {
            results.add(failure.toString());
        }
    };

    /** Guards against half a response without a length that passes for the whole one when its connection is reset. */
    @ParameterizedTest
    @CsvSource({"false,half", "true,CONNECTION_LOST"})
    void responseWithoutALengthEndsWithACloseButNotWithAReset(boolean reset, String expected) throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            loop.execute(() -> client.send(HttpWriter.request("GET", "/", "h", "", new byte[0]), 30, listener));
            try (Socket accepted = server.accept()) {
                accepted.getInputStream().read();
                accepted.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
                // Wait until the body is parsed: a reset discards what was not read.
                boolean[] parsed = {false};
                while (!parsed[0]) {
                    BlockingQueue<Boolean> answer = new LinkedBlockingQueue<>();
                    loop.execute(() -> answer.add(client.isConnected() && hasParsedBody(client)));
                    parsed[0] = answer.take();
                }
                accepted.setSoLinger(reset, 0);
            }
            assertEquals(expected, results.poll(30, TimeUnit.SECONDS));
        }
    }

    /** Returns whether the parser has been given the body of the response. */
    private static boolean hasParsedBody(HttpClient client) {
        try {
            java.lang.reflect.Field parser = HttpClient.class.getDeclaredField("parser");
            parser.setAccessible(true);
            return !((pepperdock.codec.http.HttpParser) parser.get(client)).isBeforeMessage();
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    /** What a server may send behind a good response, or later while the connection is idle. */
    private static final String[] UNSOLICITED = {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#1", "HTTP/1.1 200 OK\r\nContent-Le", "\r\n", "\u0000noise"
    };

    /**
     * Guards against a second copy of a response, or noise behind it, that is taken for the response to the next
     * request: the listener of the first one sends it at once, on the same connection.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void inputBehindAResponseIsNotTakenForTheNextResponse(int unsolicited) throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            loop.execute(() -> client.send(request(1), 30, new ForwardingListener(() -> send(client, 2))));
            respondTo(server, 1, UNSOLICITED[unsolicited]);
            respondTo(server, 2, "");
            assertEquals("#1", results.poll(30, TimeUnit.SECONDS));
            assertEquals("#2", results.poll(30, TimeUnit.SECONDS));
            assertEquals(1, loop.metrics().unsolicitedInputs());
        }
    }

    /**
     * Guards against the same where the input arrives later: it is unread in the kernel when the next request is sent,
     * because the loop was busy.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void unreadInputOnAnIdleConnectionIsNotTakenForTheNextResponse(int unsolicited) throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            send(loop, client, 1);
            try (Socket first = respondTo(server, 1, "")) {
                assertEquals("#1", results.poll(30, TimeUnit.SECONDS));
                CountDownLatch blocked = new CountDownLatch(1);
                CountDownLatch sent = new CountDownLatch(1);
                loop.execute(() -> {
                    blocked.countDown();
                    awaitUninterruptibly(sent);
                    send(client, 2);
                });
                assertTrue(blocked.await(30, TimeUnit.SECONDS));
                first.getOutputStream().write(UNSOLICITED[unsolicited].getBytes(StandardCharsets.US_ASCII));
                sent.countDown();
                respondTo(server, 2, "");
                assertEquals("#2", results.poll(30, TimeUnit.SECONDS));
                assertEquals(1, loop.metrics().unsolicitedInputs());
            }
        }
    }

    /** A connection with nothing but responses on it is kept. */
    @Test
    void connectionIsReusedAfterAResponseWithNothingBehindIt() throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            loop.execute(() -> client.send(request(1), 30, new ForwardingListener(() -> send(client, 2))));
            try (Socket only = respondTo(server, 1, "")) {
                readRequest(only, 2);
                only.getOutputStream().write(response(2).getBytes(StandardCharsets.US_ASCII));
                assertEquals("#1", results.poll(30, TimeUnit.SECONDS));
                assertEquals("#2", results.poll(30, TimeUnit.SECONDS));
                assertEquals(0, loop.metrics().unsolicitedInputs());
            }
        }
    }

    /** Passes responses to the test's listener, and then runs a task. */
    private final class ForwardingListener implements HttpClient.ResponseListener {
        private final Runnable then;

        ForwardingListener(Runnable then) {
            this.then = then;
        }

        @Override
        public void onResponse(HttpMessage message) {
            listener.onResponse(message);
            then.run();
        }

        @Override
        public void onFailure(HttpClient.Failure failure) {
            listener.onFailure(failure);
        }
    }

    private static byte[] request(int number) {
        return HttpWriter.request("GET", "/" + number, "h", "", new byte[0]);
    }

    private static String response(int number) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#" + number;
    }

    private void send(HttpClient client, int number) {
        client.send(request(number), 30, listener);
    }

    private void send(EventLoop loop, HttpClient client, int number) {
        loop.execute(() -> send(client, number));
    }

    /** Accepts a connection, reads a request on it and answers it, with {@code behind} in the same write. */
    private static Socket respondTo(ServerSocket server, int number, String behind) throws IOException {
        server.setSoTimeout(30_000);
        Socket accepted = server.accept();
        readRequest(accepted, number);
        accepted.getOutputStream().write((response(number) + behind).getBytes(StandardCharsets.ISO_8859_1));
        return accepted;
    }

    private static void readRequest(Socket socket, int number) throws IOException {
        socket.setSoTimeout(30_000);
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\n")) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "connection ended before request " + number);
            request.append((char) next);
        }
        assertTrue(request.toString().startsWith("GET /" + number + " "), request.toString());
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A connection that is established after its request was abandoned is closed, and nothing is written on it. */
    @Test
    void requestAbandonedWhileConnectingIsNeverWritten() throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            loop.execute(() -> {
                client.send(HttpWriter.request("GET", "/", "h", "", new byte[0]), 30, listener);
                client.close();
            });
            server.setSoTimeout(30_000);
            try (Socket accepted = server.accept()) {
                assertEquals(-1, accepted.getInputStream().read());
            }
            assertEquals(0, results.size());
        }
    }
}
