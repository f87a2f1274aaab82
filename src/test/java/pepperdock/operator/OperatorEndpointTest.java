package pepperdock.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/** The operators' calls on their own address, with no room left for anyone else. */
@Timeout(60)
class OperatorEndpointTest {

    private static final int CALLERS = 4;

    private final List<String> banned = new ArrayList<>();
    /** No socket counts as free: the operators' connections are beside the cap. */
    private final EventLoop loop = new EventLoop(0, 1 << 16);

    private final HttpServer server = new HttpServer(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            EventLoop.SocketScope.OUTSIDE_CAP,
            4,
            4096,
            () -> CALLERS,
            new OperatorEndpoint(new OperatorEndpoint.Operations() {
                @Override
                public boolean ready() {
                    return banned.isEmpty();
                }

                @Override
                public String metrics() {
                    return "svc.loads=0\n";
                }

                @Override
                public boolean knows(String worker) {
                    return worker.startsWith("s-");
                }

                @Override
                public void ban(String worker, boolean out, Consumer<String> then) {
                    banned.add(worker + out);
                    loop.execute(() -> then.accept(worker.equals("s-full") ? "disk full" : null));
                }
            }));

    OperatorEndpointTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(server.address().getAddress(), server.address().getPort());
        s.setSoTimeout(30_000);
        return s;
    }

    private String call(String request) throws IOException {
        try (Socket s = connect()) {
            s.getOutputStream().write((request + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            // To the end: one call a connection, whatever the caller would keep.
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET /-/ready HTTP/1.1|200|{\"ready\":true}",
                "GET /-/metrics HTTP/1.1|200|svc.loads=0",
                "POST /-/workers/s-1/disable HTTP/1.1|200|{\"disabled\":true}",
                "POST /-/workers/s%2D1/enable HTTP/1.1|200|{\"disabled\":false}",
                "POST /-/workers/s-full/disable HTTP/1.1|500|disk full",
                "POST /-/workers/x/disable HTTP/1.1|404|ever listed",
                "POST /-/workers//disable HTTP/1.1|400|worker id",
                "POST /-/workers/%zz/disable HTTP/1.1|400|worker id",
                "POST /-/workers/disable HTTP/1.1|400|worker id",
                "POST /-/workers/s-1/ban HTTP/1.1|404|no such path",
                "GET / HTTP/1.1|404|no such path",
                "GET /-/workers/s-1/disable HTTP/1.1|405|Allow: POST",
                "POST /-/ready HTTP/1.1|405|Allow: GET",
                "POST /-/workers/s-1/disable HTTP/1.1~Content-Length: 2~~{}|400|body",
                "POST /-/workers/s-1/disable HTTP/1.1~Content-Length: 9999|413|error",
                "nonsense|400|error"
            })
    void eachCallHasItsAnswerAndEachWrongOneItsOwn(String request, int status, String said) throws Exception {
        String answer = call(request.replace("~", "\r\n"));
        assertTrue(
                answer.startsWith("HTTP/1.1 " + status + ' ')
                        && answer.contains(said)
                        && answer.contains("Connection: close"),
                answer);
        assertEquals(status == 200 && request.contains("workers") || status == 500, !banned.isEmpty());
    }

    /** More than there is room for, each silent or in the middle of its call: the longest waiting give way. */
    @Test
    void callersThatCompleteNoCallDoNotHoldUpTheNext() throws Exception {
        List<Socket> stuck = new ArrayList<>();
        for (int i = 0; i < 3 * CALLERS; i++) {
            Socket s = connect();
            s.getOutputStream().write("GET /-/re".getBytes(StandardCharsets.US_ASCII), 0, i % 2 * 9);
            stuck.add(s);
            assertTrue(call("GET /-/ready HTTP/1.1").startsWith("HTTP/1.1 200"));
        }
        for (Socket s : stuck) {
            s.close();
        }
    }

    /** A slow caller is none that completes nothing: it may take its time between two bytes. */
    @Test
    void aCallThatComesInPiecesIsServed() throws Exception {
        try (Socket s = connect()) {
            for (byte b : "GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)) {
                s.getOutputStream().write(b);
                // Another's whole call is served between.
                assertTrue(call("GET /-/metrics HTTP/1.1").contains("svc.loads"));
            }
            assertTrue(new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                    .startsWith("HTTP/1.1 200"));
        }
    }
}
