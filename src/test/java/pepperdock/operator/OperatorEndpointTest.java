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

/** Tests the operators' calls on their own address while no other sockets are available. */
@Timeout(60)
class OperatorEndpointTest {

    private static final int MAX_CALLERS = 4;

    private final List<String> banned = new ArrayList<>();
    /** The loop has a cap of 0 sockets: the operators' connections do not count towards it. */
    private final EventLoop loop = new EventLoop(0, 1 << 16);

    private final HttpServer server = new HttpServer(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            EventLoop.SocketScope.OUTSIDE_CAP,
            4,
            4096,
            () -> MAX_CALLERS,
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
                public void setBanned(String worker, boolean ban, Consumer<String> then) {
                    banned.add(worker + ban);
                    loop.execute(() -> then.accept(worker.equals("s-full") ? "disk full" : null));
                }
            }));

    OperatorEndpointTest() throws IOException {}

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

    private String call(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write((request + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            // Reads to the end: a connection serves one call, even if the caller asks to keep it open.
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
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
    void respondsToValidCallsAndRejectsInvalidOnes(String request, int status, String expected) throws Exception {
        String response = call(request.replace("~", "\r\n"));
        assertTrue(
                response.startsWith("HTTP/1.1 " + status + ' ')
                        && response.contains(expected)
                        && response.contains("Connection: close"),
                response);
        assertEquals(status == 200 && request.contains("workers") || status == 500, !banned.isEmpty());
    }

    /**
     * More callers connect than the limit, and each sends nothing or half a request. The oldest connections are closed
     * for new ones.
     */
    @Test
    void incompleteCallsDoNotBlockTheNextCall() throws Exception {
        List<Socket> incompleteCallers = new ArrayList<>();
        for (int i = 0; i < 3 * MAX_CALLERS; i++) {
            Socket socket = connect();
            socket.getOutputStream().write("GET /-/re".getBytes(StandardCharsets.US_ASCII), 0, i % 2 * 9);
            incompleteCallers.add(socket);
            assertTrue(call("GET /-/ready HTTP/1.1").startsWith("HTTP/1.1 200"));
        }
        for (Socket socket : incompleteCallers) {
            socket.close();
        }
    }

    /** A slow caller whose bytes keep arriving is served, unlike one that never completes its call. */
    @Test
    void callThatArrivesInPiecesIsServed() throws Exception {
        try (Socket socket = connect()) {
            for (byte b : "GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)) {
                socket.getOutputStream().write(b);
                // A whole call of another caller is served in between.
                assertTrue(call("GET /-/metrics HTTP/1.1").contains("svc.loads"));
            }
            assertTrue(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                    .startsWith("HTTP/1.1 200"));
        }
    }
}
