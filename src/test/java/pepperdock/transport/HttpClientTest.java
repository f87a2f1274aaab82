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

/** How an answer ends, by what its server does to the connection. */
@Timeout(60)
class HttpClientTest {

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final HttpClient.ResponseListener then = new HttpClient.ResponseListener() {
        @Override
        public void onResponse(HttpMessage m) {
            told.add(new String(m.body(), StandardCharsets.US_ASCII));
        }

        @Override
        public void onFailure(HttpClient.Failure why) {
            told.add(why.toString());
        }
    };

    /** Found by reading: half a list without a length passed for the whole one where its connection was reset. */
    @ParameterizedTest
    @CsvSource({"false,half", "true,CONNECTION_LOST"})
    void anAnswerWithoutALengthEndsWithItsServersEndAndNotWithAReset(boolean reset, String expected) throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            loop.execute(() -> client.send(HttpWriter.request("GET", "/", "h", "", new byte[0]), 30, then));
            try (Socket s = server.accept()) {
                s.getInputStream().read();
                s.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
                // Seen to have come: a reset throws away what was not read.
                boolean[] read = {false};
                while (!read[0]) {
                    BlockingQueue<Boolean> is = new LinkedBlockingQueue<>();
                    loop.execute(() -> is.add(client.isConnected() && taken(client)));
                    read[0] = is.take();
                }
                s.setSoLinger(reset, 0);
            }
            assertEquals(expected, told.poll(30, TimeUnit.SECONDS));
        }
    }

    /** Whether the parser has been given the answer's body. */
    private static boolean taken(HttpClient client) {
        try {
            java.lang.reflect.Field parser = HttpClient.class.getDeclaredField("parser");
            parser.setAccessible(true);
            return !((pepperdock.codec.http.HttpParser) parser.get(client)).isBeforeMessage();
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    /** A connection that comes up once nobody waits for it any more is closed, and nothing is written on it. */
    @Test
    void aRequestGivenUpWhileItsConnectionComesUpIsNeverWritten() throws Exception {
        try (EventLoop loop = new EventLoop(10, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpClient client = new HttpClient(loop, (InetSocketAddress) server.getLocalSocketAddress(), 30, 1 << 16);
            loop.execute(() -> {
                client.send(HttpWriter.request("GET", "/", "h", "", new byte[0]), 30, then);
                client.close();
            });
            server.setSoTimeout(30_000);
            try (Socket s = server.accept()) {
                assertEquals(-1, s.getInputStream().read());
            }
            assertEquals(0, told.size());
        }
    }
}
