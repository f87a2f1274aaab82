package pepperdock.transport;

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
import pepperdock.codec.http.HttpMessage;

/** The time that a request has waited counts from its last byte, not from the client's pause before it. */
@Timeout(60)
class RequestWaitingTimeTest {

    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BODY_BYTES = 24 << 20;

    private static final int PAUSE_MS = 700;
    private static final double SHORT_S = 0.3;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nName: value\r\n\r\n";

    private final BlockingQueue<Double> waitedS = new LinkedBlockingQueue<>();
    private final EventLoop loop = new EventLoop(100, 1 << 25);
    private final HttpServer server = new HttpServer(
            loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024, () -> 9, new HttpRequestHandler() {
                @Override
                public Runnable serve(HttpMessage request, HttpResponseSender reply) {
                    waitedS.add(reply.waitedS());
                    reply.send(200, "text/plain", "", new byte[request.path().equals("/big") ? LARGE_BODY_BYTES : 0]);
                    return () -> {};
                }

                @Override
                public void respondWithError(int status, String why, HttpResponseSender reply) {
                    reply.send(status, "text/plain", "", new byte[0]);
                }
            });

    RequestWaitingTimeTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void assertNextRequestWaitedBriefly() throws InterruptedException {
        double waited = waitedS.poll(30, TimeUnit.SECONDS);
        assertTrue(waited < SHORT_S, waited + " s");
    }

    /** Pauses inside a line of the head, after a line, and between two requests on one connection. */
    @Test
    void pausesOfTheClientAreNotWaiting() throws Exception {
        try (Socket client =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            for (int cut : new int[] {4, REQUEST.indexOf("value"), REQUEST.indexOf("Name")}) {
                send(client, REQUEST.substring(0, cut));
                Thread.sleep(PAUSE_MS);
                send(client, REQUEST.substring(cut));
                assertNextRequestWaitedBriefly();
                Thread.sleep(PAUSE_MS);
            }
        }
    }

    /** The kernel takes the rest of a large response late; the client pauses before its next request. */
    @Test
    void pauseAfterAResponseThatWasReadSlowlyIsNotWaiting() throws Exception {
        try (Socket client =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            send(client, REQUEST.replace("/x", "/big"));
            assertNextRequestWaitedBriefly();
            Thread.sleep(PAUSE_MS);
            client.getInputStream().readNBytes(LARGE_BODY_BYTES);
            Thread.sleep(PAUSE_MS);
            send(client, REQUEST);
            assertNextRequestWaitedBriefly();
        }
    }
}
