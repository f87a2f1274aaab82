package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.Sites;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

class FrontTest {

    private static final String QUERY =
            "POST /api HTTP/1.1~Request-Id: a~Request-Class: payout-report~Request-Timeout-Ms: 900";

    private interface Talk {
        void with(InetSocketAddress server) throws Exception;
    }

    /** A gatherer that lets eight clients in and knows the one worker given, or none. */
    private static void serve(List<WorkerEndpoint> workers, Talk talk) throws Exception {
        DeploymentSettings site = Sites.small();
        try (Loop loop = new Loop(100, 1 << 16)) {
            WorkerPool pool = new WorkerPool(loop, site);
            Gatherer core = new Gatherer(site.module(), 3, loop, pool, () -> {});
            pool.start(core);
            HttpServer server = new HttpServer(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1000,
                    () -> 8,
                    new Front(site, core, () -> true));
            loop.execute(() -> core.onEndpointList(EndpointListKind.CACHED, workers));
            talk.with(server.address());
        }
    }

    private static Socket client(InetSocketAddress server, String text) throws IOException {
        Socket s = new Socket(server.getAddress(), server.getPort());
        s.getOutputStream().write(text.replace("~", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return s;
    }

    /** All that it says until it closes. */
    private static String heard(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Sends raw bytes to a gatherer that knows no workers; returns all it says until it closes. */
    private static String say(String text) throws Exception {
        String[] said = new String[1];
        serve(List.of(), server -> {
            try (Socket s = client(server, text)) {
                said[0] = heard(s);
            }
        });
        return said[0];
    }

    private static String query(String id) {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        return QUERY.replace("Request-Id: a", "Request-Id: " + id) + "~Content-Length: " + body.length() + "~~" + body;
    }

    /** Its parts would bear the same ids at the workers, and one client be served what was made for the other. */
    @Test
    void anIdThatIsStillOpenIsRefusedAndFreeAgainAfterwards() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            WorkerEndpoint worker =
                    new WorkerEndpoint("w", "127.0.0.1:" + silent.getLocalPort(), 0, 0, 0, EndpointState.HEALTHY, 1, 0);
            serve(List.of(worker), server -> {
                try (Socket first = client(server, query("a"));
                        Socket taken = silent.accept()) {
                    taken.getInputStream().readNBytes(5);
                    String second = query("a").replace("payout-report", "history-search~Connection: close");
                    try (Socket s = client(server, second)) {
                        assertTrue(heard(s).startsWith("HTTP/1.1 409"));
                    }
                    assertTrue(new String(first.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
                            .matches("HTTP/1.1 50[34]"));
                    try (Socket s = client(server, second.replace("900", "90"))) {
                        assertTrue(heard(s).matches("(?s)HTTP/1.1 50[034].*"));
                    }
                }
            });
        }
    }

    /** Sent at once on one connection; answered one within the other, they would pile up on the loop's stack. */
    @Test
    void hundredsOfRequestsAtOnceAreAnsweredInTurn() throws Exception {
        String said = say("GET /-/ready HTTP/1.1~~".repeat(2000) + "GET /-/ready HTTP/1.1~Connection: close~~");
        assertEquals(2001, said.split("HTTP/1.1 200", -1).length - 1);
    }

    /** What follows an error may be the rest of it, or hide another request: it is read, not served, and no reset sent. */
    @Test
    void afterAnErrorTheRestIsThrownAwayAndTheErrorArrives() throws Exception {
        String said = say("POST /api HTTP/1.1~Content-Length: 60000000~~" + "x".repeat(400_000));
        assertTrue(said.startsWith("HTTP/1.1 413"), said);
        said = say("POST /api HTTP/1.1~Content-Length: 4~Transfer-Encoding: chunked~~0~~" + query("hidden"));
        assertEquals(1, said.split("HTTP/1.1", -1).length - 1, said);
        assertTrue(said.startsWith("HTTP/1.1 400"), said);
    }

    /** More than may be let in say nothing or half a request: one that asks is served, and those end by themselves. */
    @Test
    void clientsThatSayNothingOrNeverFinishEndAndKeepNobodyOut() throws Exception {
        serve(List.of(), server -> {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                silent.add(client(server, i % 2 == 0 ? "" : "POST /api HTTP/1.1~Content-Length: 9~~{"));
            }
            try (Socket s = client(server, "GET /-/ready HTTP/1.1~Connection: close~~")) {
                assertTrue(heard(s).startsWith("HTTP/1.1 200"));
            }
            for (Socket s : silent) {
                try (s) {
                    assertTrue(heard(s).matches("(?s)|HTTP/1.1 408.*"));
                } catch (java.net.SocketException e) {
                    assertTrue(e.getMessage().contains("reset"), "closed with its half request unread");
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
    void whatIsMalformedHasTheStatusThatFits(String text, int status) throws Exception {
        assertTrue(say(text).startsWith("HTTP/1.1 " + status), text);
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
    void aBodyThatIsNoQueryIsABadRequest(String body) throws Exception {
        String said = say(QUERY + "~Connection: close~Content-Length: " + body.length() + "~~" + body);
        assertTrue(said.startsWith("HTTP/1.1 400"), said);
    }

    /** A refusal is given at once, with the module's own pause; requests on one connection are answered in turn. */
    @Test
    void aRefusalSaysWhenToComeBackAndTheConnectionGoesOn() throws Exception {
        String body = "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":\"x\"}";
        String one = QUERY + "~Content-Length: " + body.length() + "~~" + body;
        String said = say(one + one.replace("Request-Id: a", "Request-Id: b~Connection: close"));
        assertEquals(2, said.split("HTTP/1.1 503", -1).length - 1, said);
        assertEquals(2, said.split("Retry-After: 1.000", -1).length - 1, said);
    }
}
