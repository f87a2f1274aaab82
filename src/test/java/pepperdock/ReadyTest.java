package pepperdock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.Config;
import pepperdock.config.Keys;
import pepperdock.config.Sites;
import pepperdock.events.Events;
import pepperdock.net.Loop;
import pepperdock.store.Store;

/** When a gatherer says that it is ready, against what discovery does meanwhile. */
@Timeout(120)
class ReadyTest {

    private static final String UNASKED =
            Sites.SETTINGS.replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"automatic\"");
    private static final String LIST = "{\"seq\":1,\"whole\":true,\"hosts\":[]}";

    private final Loop loop = new Loop(100, 1 << 18);
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
        String file = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.getLocalPort()
                + "\",\"known\":" + LIST + ",\"settings\":" + settings + "}";
        Keys keys = Keys.of("", Config.parse(file, "test"));
        startedAt = loop.now();
        return Main.serve(keys, false, new Main.Base(Map.of(), loop, new Store(null, loop), Events.of(false), null))
                .get(0)
                .address();
    }

    private static void passHead(BufferedReader in) throws IOException {
        while (!in.readLine().isEmpty()) {
            continue;
        }
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
            assertTrue(!early || loop.now() - startedAt >= Main.UNASKED_LIST_S, "ready before the list was told");
            agent.getOutputStream()
                    .write(("HTTP/1.1 200 X\r\nContent-Length: " + LIST.length() + "\r\n\r\n" + LIST)
                            .getBytes(StandardCharsets.US_ASCII));
            // The next call is armed once the answer has been taken.
            passHead(in);
            awaitReady(at);
        }
    }

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
        InetSocketAddress silent = start(Sites.SETTINGS);
        awaitReady(silent);
        discovery.close();
        awaitReady(start(Sites.SETTINGS));
    }
}
