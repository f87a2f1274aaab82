package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpWriter;

/**
 * Checks how a response ends, depending on what the server does to the connection, and that an abandoned request is not
 * sent.
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
