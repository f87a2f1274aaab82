package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

class PlatformFrontTest {

    private static final String QUERY =
            "POST /api HTTP/1.1~Request-Id: a~Request-Class: payout-report~Request-Timeout-Ms: 900";

    private interface ServerTask {
        void run(HttpServer server) throws Exception;
    }

    /** Serves at most eight clients, with these workers, until the task ends. */
    private static void serve(List<WorkerEndpoint> workers, ServerTask task) throws Exception {
        DeploymentSettings settings = TestDeploymentSettings.small();
        try (EventLoop loop = new EventLoop(100, 1 << 16)) {
            FrameBackend backend = new FrameBackend(loop, settings);
            Gatherer core = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
            backend.start(core);
            HttpServer server = PlatformFixtures.listen(loop, 1000, 8, new PlatformFront(settings, core, () -> true));
            loop.execute(() -> core.onEndpointList(EndpointListKind.CACHED, workers));
            task.run(server);
        }
    }

    /** Connects a client and sends a text, in which {@code ~} stands for a line end. */
    private static Socket client(HttpServer server, String text) throws IOException {
        Socket client = PlatformFixtures.connect(server);
        client.getOutputStream().write(text.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return client;
    }

    private static String readToEnd(Socket client) throws IOException {
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /**
     * Sends a text to a gatherer without workers and returns everything that it writes until it closes the connection.
     */
    private static String exchange(String text) throws Exception {
        String[] response = new String[1];
        serve(List.of(), server -> {
            try (Socket client = client(server, text)) {
                response[0] = readToEnd(client);
            }
        });
        return response[0];
    }

    private static String query(String id) {
        String body = PlatformFixtures.ONE_PART_BODY;
        return QUERY.replace("Request-Id: a", "Request-Id: " + id) + "~Content-Length: " + body.length() + "~~" + body;
    }

    /**
     * A client uses the id of a query that is still open. The parts of both queries would have the same ids at the
     * workers, and one client could receive the answer for the other. The second query must be rejected, also once the
     * first has ended, as each id runs once.
     */
    @Test
    void aRequestIdInUseIsRejectedAndSoIsOneThatHasRun() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            WorkerEndpoint worker = PlatformFixtures.endpoint("w", 0, "127.0.0.1:" + silent.getLocalPort());
            serve(List.of(worker), server -> {
                try (Socket first = client(server, query("a"));
                        Socket connection = silent.accept()) {
                    connection.getInputStream().readNBytes(5);
                    String second = query("a").replace("payout-report", "history-search~Connection: close");
                    try (Socket client = client(server, second)) {
                        assertTrue(readToEnd(client).startsWith("HTTP/1.1 409"));
                    }
                    String status = new String(first.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
                    assertTrue(status.matches("HTTP/1.1 50[34]"));
                    try (Socket client = client(server, second.replace("900", "90"))) {
                        assertTrue(readToEnd(client).startsWith("HTTP/1.1 409"));
                    }
                }
            });
        }
    }

    /** An id ran twice when it came again after its client had left. */
    @Test
    void aRequestIdWhoseClientHasLeftDoesNotRunAgain() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            WorkerEndpoint worker = PlatformFixtures.endpoint("w", 0, "127.0.0.1:" + silent.getLocalPort());
            serve(List.of(worker), server -> {
                try (Socket first = client(server, query("a"));
                        Socket connection = silent.accept()) {
                    connection.getInputStream().readNBytes(5);
                    first.shutdownOutput();
                    String again = query("a").replace("payout-report", "payout-report~Connection: close");
                    try (Socket client = client(server, again)) {
                        assertTrue(readToEnd(client).startsWith("HTTP/1.1 409"));
                    }
                }
            });
        }
    }

    @Test
    void theIdOfAQueryThatWasNeverSentIsFree() throws Exception {
        serve(List.of(), server -> {
            for (int i = 0; i < 2; i++) {
                String unsent = query("a").replace("payout-report", "payout-report~Connection: close");
                try (Socket client = client(server, unsent)) {
                    assertTrue(readToEnd(client).startsWith("HTTP/1.1 503"));
                }
            }
        });
    }

    /**
     * A client pipelines 2,001 requests. If each were answered within the call that answers the previous one, the stack
     * of the loop's thread would overflow.
     */
    @Test
    void pipelinedRequestsAreAnsweredInTurn() throws Exception {
        String response =
                exchange("GET /-/ready HTTP/1.1~~".repeat(2000) + "GET /-/ready HTTP/1.1~Connection: close~~");
        assertEquals(2001, response.split("HTTP/1.1 200", -1).length - 1);
    }

    /**
     * A request is malformed, and more bytes follow it, which may be the rest of it or hide another request. They must
     * be read and discarded, so that no reset is sent and the error arrives.
     */
    @Test
    void bytesAfterAMalformedRequestAreDiscarded() throws Exception {
        String response = exchange("POST /api HTTP/1.1~Content-Length: 60000000~~" + "x".repeat(400_000));
        assertTrue(response.startsWith("HTTP/1.1 413"), response);
        response = exchange("POST /api HTTP/1.1~Content-Length: 4~Transfer-Encoding: chunked~~0~~" + query("hidden"));
        assertEquals(1, response.split("HTTP/1.1", -1).length - 1, response);
        assertTrue(response.startsWith("HTTP/1.1 400"), response);
    }

    /**
     * More clients than are admitted connect and send nothing, or half a request. A client that sends a complete
     * request must still be served, and the others must be closed in time.
     */
    @Test
    void incompleteRequestsDoNotBlockOtherClients() throws Exception {
        serve(List.of(), server -> {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                silent.add(client(server, i % 2 == 0 ? "" : "POST /api HTTP/1.1~Content-Length: 9~~{"));
            }
            try (Socket client = client(server, "GET /-/ready HTTP/1.1~Connection: close~~")) {
                assertTrue(readToEnd(client).startsWith("HTTP/1.1 200"));
            }
            for (Socket client : silent) {
                try (client) {
                    assertTrue(readToEnd(client).matches("(?s)|HTTP/1.1 408.*"));
                } catch (SocketException e) {
                    assertTrue(e.getMessage().contains("reset"), "expected a reset, as half a request was unread");
                }
            }
        });
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET /-/ready HTTP/1.1~Connection: close~~|200", "HEAD /-/ready HTTP/1.1~Connection: close~~|405",
                "GET /nowhere HTTP/1.1~Connection: close~~|404", "GET /api HTTP/1.1~Connection: close~~|405",
                "POST /api HTTP/1.1~Connection: close~Content-Length: 2~~{}|400",
                        "POST /api HTTP/1.1~Content-Length: 1001~~|413",
                "what~~|400"
            })
    void aMalformedRequestIsAnsweredWithTheMatchingStatus(String text, int status) throws Exception {
        assertTrue(exchange(text).startsWith("HTTP/1.1 " + status), text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[]",
                "{\"ranges\":[],\"predicate\":\"x\"}",
                "{\"ranges\":[{\"range\":12,\"portion\":1}],\"predicate\":\"x\"}",
                "{\"ranges\":[{\"range\":1,\"portion\":1}]}",
                "{\"ranges\":[{\"range\":1,\"portion\":0.5},{\"range\":2,\"portion\":0.4}],\"predicate\":\"x\"}",
                "{\"ranges\":[{\"range\":1,\"portion\":1.5},{\"range\":2,\"portion\":-0.5}],\"predicate\":\"x\"}",
                "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":\"x\"} x",
                "{'ranges':[{'range':1,'portion':1}],'predicate':'x'}",
                "{\"ranges\":[{\"range\":1.5,\"portion\":1}],\"predicate\":\"x\"}",
                "{\"ranges\":[{\"range\":\"1\",\"portion\":1}],\"predicate\":\"x\"}",
                "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":7}",
                "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":\"\u00ff\"}",
                "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":\"x\",\"predicate\":\"y\"}",
                "{\"ranges\":[{\"range\":1,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"x\"}"
            })
    void aMalformedBodyIsAnsweredWithBadRequest(String body) throws Exception {
        String response = exchange(QUERY + "~Connection: close~Content-Length: " + body.length() + "~~" + body);
        assertTrue(response.startsWith("HTTP/1.1 400"), response);
    }

    /** A rejection carries the scheduler's Retry-After; requests on one connection are answered in order. */
    @Test
    void aRejectionHasRetryAfterAndTheConnectionStaysOpen() throws Exception {
        String body = "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":\"x\"}";
        String first = QUERY + "~Content-Length: " + body.length() + "~~" + body;
        String second = first.replace("Request-Id: a", "Request-Id: b~Connection: close");
        String response = exchange(first + second);
        assertEquals(2, response.split("HTTP/1.1 503", -1).length - 1, response);
        assertEquals(2, response.split("Retry-After: 1.000", -1).length - 1, response);
    }
}
