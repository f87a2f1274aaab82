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

/** When a gatherer says that it is ready, against what discovery does meanwhile. */
@Timeout(120)
class ReadyTest {

    private static final String UNASKED =
            TestDeploymentSettings.SETTINGS.replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"automatic\"");
    private static final String LIST = "{\"seq\":1,\"whole\":true,\"hosts\":[]}";

    private final EventLoop loop = new EventLoop(100, 1 << 18);
    private final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private double startedAt;

    ReadyTest() throws IOException {}

    @BeforeEach
    void limit() throws IOException {
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

    private InetSocketAddress start(String settings, String also, String known, Map<String, String> env)
            throws IOException {
        String file = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.getLocalPort()
                + "\"," + also + "\"known\":" + known + ",\"settings\":" + settings + "}";
        ConfigReader keys = ConfigReader.of("", Config.parse(file, "test"));
        startedAt = loop.now();
        return GathererService.start(
                        keys,
                        false,
                        new Startup.ProcessContext(env, loop, new Store(null, loop), Events.of(false), null))
                .get(0)
                .address();
    }

    private static void passHead(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (!line.isEmpty()) {
            line = in.readLine();
        }
    }

    private static void answer(Socket agent, String list) throws IOException {
        agent.getOutputStream()
                .write(("HTTP/1.1 200 X\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static int readiness(InetSocketAddress at) throws IOException {
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.getOutputStream().write("GET /-/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String first =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static void awaitReady(InetSocketAddress at) throws IOException {
        while (readiness(at) != 200) {
            Thread.onSpinWait();
        }
    }

    /** What an agent has counts as told from the first moment. Was: ready, and sending by the file, before it had told. */
    @Test
    void whereListsComeUnaskedAGathererIsReadyOnceTheListIsHere() throws Exception {
        InetSocketAddress at = start(UNASKED);
        try (Socket agent = discovery.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(agent.getInputStream(), StandardCharsets.US_ASCII));
            passHead(in);
            boolean early = readiness(at) == 200;
            assertTrue(
                    !early || loop.now() - startedAt >= GathererService.PUSHED_LIST_TIMEOUT_S,
                    "ready before the list was told");
            answer(agent, LIST);
            // The next call is armed once the answer has been taken.
            passHead(in);
            awaitReady(at);
        }
    }

    /** The agent that pushes the endpoint list never sends. The gatherer is ready after the timeout all the same. */
    @Test
    void anAgentThatIsSilentDoesNotKeepAGathererFromBeingReady() throws Exception {
        InetSocketAddress at = start(UNASKED);
        try (Socket agent = discovery.accept()) {
            passHead(new BufferedReader(new InputStreamReader(agent.getInputStream(), StandardCharsets.US_ASCII)));
            awaitReady(at);
        }
    }

    @Test
    void whereTheListIsAskedForAGathererIsReadyWhateverDiscoveryDoes() throws Exception {
        InetSocketAddress silent = start(TestDeploymentSettings.SETTINGS);
        awaitReady(silent);
        discovery.close();
        awaitReady(start(TestDeploymentSettings.SETTINGS));
    }

    private static String everyCell(ServerSocket worker, String health) {
        return "{\"seq\":1,\"whole\":true,\"hosts\":["
                + IntStream.range(0, 4)
                        .mapToObj(cell -> "{\"host\":\"w" + cell + "\",\"dial\":\"127.0.0.1:" + worker.getLocalPort()
                                + "\",\"block\":" + cell + ",\"health\":\"" + health + "\"}")
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /**
     * The list of the file must not go over the agent's. The start is held up behind the opening of the watch until the
     * agent's list has come. Was: the file's list was taken in after it, and what the agent had told
     * was never told again.
     */
    @Test
    void theListOfTheFileDoesNotReplaceTheAgents() throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> listed = CompletableFuture.runAsync(() -> {
                try {
                    Socket agent = discovery.accept();
                    BufferedReader in = new BufferedReader(
                            new InputStreamReader(agent.getInputStream(), StandardCharsets.US_ASCII));
                    passHead(in);
                    answer(agent, everyCell(worker, "terminating"));
                    passHead(in);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            Map<String, String> env = new HashMap<>() {
                private static final long serialVersionUID = 1;

                @Override
                public String get(Object name) {
                    if (name.equals("TMPDIR")) {
                        listed.join();
                    }
                    return null;
                }
            };
            InetSocketAddress at =
                    start(UNASKED, "\"operator\":\"127.0.0.1:0\",", everyCell(worker, "in_service"), env);
            listed.get(60, TimeUnit.SECONDS);
            awaitReady(at);
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"b\"}";
                client.getOutputStream()
                        .write(("POST /api HTTP/1.1\r\nHost: b\r\nRequest-Id: b1\r\nRequest-Class: history-search\r\n"
                                        + "Request-Timeout-Ms: 1000\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
                assertTrue(client.getInputStream().read() >= 0, "an answer");
            }
            // Who connects now stands behind any connection that the query was given.
            try (Socket last = new Socket(worker.getInetAddress(), worker.getLocalPort());
                    Socket next = worker.accept()) {
                assertEquals(last.getLocalPort(), next.getPort(), "sent to a worker that drains by the agent's list");
            }
        }
    }
}
