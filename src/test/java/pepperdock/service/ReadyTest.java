package pepperdock.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.events.Events;
import pepperdock.store.Store;
import pepperdock.transport.EventLoop;

/** Tests when a gatherer reports that it is ready, depending on the behaviour of discovery. */
@Timeout(120)
class ReadyTest {

    private static final String PUSHED_LISTS =
            TestDeploymentSettings.SETTINGS.replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"automatic\"");
    private static final String LIST = "{\"seq\":1,\"whole\":true,\"hosts\":[]}";

    private final EventLoop loop = new EventLoop(100, 1 << 18);
    private final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private double startedAt;

    ReadyTest() throws IOException {}

    @BeforeEach
    void setAcceptTimeout() throws IOException {
        discovery.setSoTimeout(60_000);
    }

    @AfterEach
    void close() throws IOException {
        loop.close();
        discovery.close();
    }

    private InetSocketAddress start(String settings) throws IOException {
        return start(settings, "", LIST, Map.of());
    }

    private InetSocketAddress start(String settings, String extraKeys, String known, Map<String, String> env)
            throws IOException {
        String file = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.getLocalPort()
                + "\"," + extraKeys + "\"known\":" + known + ",\"settings\":" + settings + "}";
        ConfigReader keys = ConfigReader.of("", Config.parse(file, "test"));
        startedAt = loop.now();
        return GathererService.start(
                        keys,
                        false,
                        new Startup.ProcessContext(env, loop, new Store(null, loop), Events.of(false), null))
                .get(0)
                .address();
    }

    private static void skipHead(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (!line.isEmpty()) {
            line = in.readLine();
        }
    }

    private static void respond(Socket agent, String list) throws IOException {
        agent.getOutputStream()
                .write(("HTTP/1.1 200 X\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static int readiness(InetSocketAddress address) throws IOException {
        try (Socket s = new Socket(address.getAddress(), address.getPort())) {
            s.getOutputStream().write("GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String first =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static void awaitReady(InetSocketAddress address) throws IOException {
        while (readiness(address) != 200) {
            Thread.onSpinWait();
        }
    }

    /**
     * Guards against a gatherer that is ready, and sends queries according to the file's list, before the list that the
     * agent pushes is received.
     */
    @Test
    void isReadyOnceThePushedListIsReceived() throws Exception {
        InetSocketAddress address = start(PUSHED_LISTS);
        try (Socket agent = discovery.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(agent.getInputStream(), StandardCharsets.US_ASCII));
            skipHead(in);
            boolean early = readiness(address) == 200;
            assertTrue(
                    !early || loop.now() - startedAt >= GathererService.PUSHED_LIST_TIMEOUT_S,
                    "ready before the list was received");
            respond(agent, LIST);
            // The watch sends its next request once it has applied the response.
            skipHead(in);
            awaitReady(address);
        }
    }

    /** The agent that should push the endpoint list never sends one. The gatherer is still ready after the timeout. */
    @Test
    void isReadyAfterTheTimeoutIfTheAgentIsSilent() throws Exception {
        InetSocketAddress address = start(PUSHED_LISTS);
        try (Socket agent = discovery.accept()) {
            skipHead(new BufferedReader(new InputStreamReader(agent.getInputStream(), StandardCharsets.US_ASCII)));
            awaitReady(address);
        }
    }

    @Test
    void isReadyRegardlessOfDiscoveryIfListsArePolled() throws Exception {
        InetSocketAddress silent = start(TestDeploymentSettings.SETTINGS);
        awaitReady(silent);
        discovery.close();
        awaitReady(start(TestDeploymentSettings.SETTINGS));
    }

    private static String listForAllCells(ServerSocket worker, String health) {
        return "{\"seq\":1,\"whole\":true,\"hosts\":["
                + IntStream.range(0, 4)
                        .mapToObj(cell -> "{\"host\":\"w" + cell + "\",\"dial\":\"127.0.0.1:" + worker.getLocalPort()
                                + "\",\"block\":" + cell + ",\"health\":\"" + health + "\"}")
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /**
     * The list of the file must not replace the agent's. The test delays the start, after the watch is opened, until
     * the agent's list has arrived. Guards against applying the file's list after it, since the agent does not send its
     * list again.
     */
    @Test
    void listOfTheFileDoesNotReplaceTheListOfTheAgent() throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> listSent = CompletableFuture.runAsync(() -> {
                try {
                    Socket agent = discovery.accept();
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(agent.getInputStream(), StandardCharsets.US_ASCII));
                    skipHead(in);
                    respond(agent, listForAllCells(worker, "terminating"));
                    skipHead(in);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            Map<String, String> env = new HashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                public String get(Object name) {
                    if (name.equals("TMPDIR")) {
                        listSent.join();
                    }
                    return null;
                }
            };
            InetSocketAddress address =
                    start(PUSHED_LISTS, "\"operator\":\"127.0.0.1:0\",", listForAllCells(worker, "in_service"), env);
            listSent.get(60, TimeUnit.SECONDS);
            awaitReady(address);
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"b\"}";
                client.getOutputStream()
                        .write(("POST /api HTTP/1.1\r\nHost: b\r\nRequest-Id: b1\r\nRequest-Class: history-search\r\n"
                                        + "Request-Timeout-Ms: 1000\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
                assertTrue(client.getInputStream().read() >= 0, "no response");
            }
            // The backlog is in order: a connection that the query had opened would be accepted before this one.
            try (Socket last = new Socket(worker.getInetAddress(), worker.getLocalPort());
                    Socket next = worker.accept()) {
                assertEquals(
                        last.getLocalPort(),
                        next.getPort(),
                        "query sent to a worker that is terminating according to the agent's list");
            }
        }
    }
}
