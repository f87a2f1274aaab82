package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.codec.http.HttpMessage;

/** A client that sends more while it leaves its response unread must not keep the loop busy by input that is not read. */
@Timeout(60)
class UnreadResponseTest {

    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BODY_BYTES = 24 << 20;

    private static final long MEASURED_MS = 500;
    private static final String REQUEST = "GET /x HTTP/1.1\r\n\r\n";

    @Test
    void theLoopWaitsUntilTheResponseIsReadAndThenServesTheNextRequest() throws Exception {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        try (EventLoop loop = new EventLoop(100, 1 << 25)) {
            HttpServer server = new HttpServer(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1024,
                    () -> 9,
                    new HttpRequestHandler() {
                        @Override
                        public Runnable serve(HttpMessage request, HttpResponseSender reply) {
                            reply.send(200, "text/plain", "", new byte[LARGE_BODY_BYTES]);
                            return () -> {};
                        }

                        @Override
                        public void respondWithError(int status, String why, HttpResponseSender reply) {
                            reply.send(status, "text/plain", "", new byte[0]);
                        }
                    });
            CompletableFuture<Long> loopThread = new CompletableFuture<>();
            loop.execute(() -> loopThread.complete(Thread.currentThread().getId()));
            try (Socket client =
                    new Socket(server.address().getAddress(), server.address().getPort())) {
                client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(MEASURED_MS);
                client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(MEASURED_MS / 5);
                long beforeNanos = threads.getThreadCpuTime(loopThread.get());
                Thread.sleep(MEASURED_MS);
                long usedMs = (threads.getThreadCpuTime(loopThread.get()) - beforeNanos) / 1_000_000;
                assertTrue(usedMs < MEASURED_MS / 5, usedMs + " ms of " + MEASURED_MS);
                // Both responses are read: the second request was served once the first response had been read.
                client.getInputStream().readNBytes(2 * LARGE_BODY_BYTES);
            }
        }
    }
}
