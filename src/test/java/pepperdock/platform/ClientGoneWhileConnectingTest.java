package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Clients that disconnect while their first attempt waits for a connection to its worker, tested from socket to socket.
 */
@Timeout(90)
class ClientGoneWhileConnectingTest {

    private static final int DISCONNECTING_CLIENTS = 50;
    private static final int TIMEOUT_MS = 60_000;

    private static final DeploymentSettings LONG_TIMEOUTS = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
            .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":60")
            .replace("\"MostHeld\":40", "\"MostHeld\":400")
            .replace("\"GoalTimeS\":2.5,\"DeadlineS\":6", "\"GoalTimeS\":60,\"DeadlineS\":60"));

    private static long clientsGone(EventLoop loop, Gatherer core) throws InterruptedException {
        return PlatformFixtures.onLoop(loop, () -> core.metrics().ended("class-1", Metrics.QueryOutcome.CLIENT_GONE));
    }

    private static Socket sendQuery(HttpServer server, String id) throws IOException {
        Socket client = PlatformFixtures.connect(server);
        client.getOutputStream().write(PlatformFixtures.onePartQuery(id, TIMEOUT_MS));
        return client;
    }

    /** Disconnects the clients: every other one resets its connection, the rest close it. */
    private static void disconnect(List<Socket> clients) throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i).setSoLinger(i % 2 == 0, 0);
            clients.get(i).close();
        }
    }

    /**
     * The worker's accept queue is full, so that no connection is established. Of 51 clients 50 disconnect. Once the
     * worker accepts connections, only the remaining query must be sent.
     */
    @Test
    void noQueryIsSentAfterItsClientHasDisconnected() throws Exception {
        // The queue holds two connections: a third one waits until one of them is accepted.
        try (ServerSocket worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop(500, 1 << 18)) {
            List<Socket> queueFillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queueFillers.add(new Socket(worker.getInetAddress(), worker.getLocalPort()));
            }
            FrameBackend backend = new FrameBackend(loop, LONG_TIMEOUTS);
            Gatherer core = new Gatherer(LONG_TIMEOUTS.scheduler(), 3, loop, backend, () -> {});
            backend.start(core);
            HttpServer server =
                    PlatformFixtures.listen(loop, 1 << 16, 100, new PlatformFront(LONG_TIMEOUTS, core, () -> true));
            loop.execute(() -> core.onEndpointList(
                    EndpointListKind.CACHED,
                    List.of(PlatformFixtures.endpoint("w", 0, "127.0.0.1:" + worker.getLocalPort()))));
            List<Socket> disconnecting = new ArrayList<>();
            for (int i = 0; i < DISCONNECTING_CLIENTS; i++) {
                disconnecting.add(sendQuery(server, "left" + i));
            }
            Socket remaining = sendQuery(server, "stays");
            try (remaining) {
                while (PlatformFixtures.onLoop(loop, core::inFlightQueries) < DISCONNECTING_CLIENTS + 1) {
                    Thread.onSpinWait();
                }
                disconnect(disconnecting);
                while (clientsGone(loop, core) < DISCONNECTING_CLIENTS) {
                    Thread.onSpinWait();
                }
                for (Socket filler : queueFillers) {
                    worker.accept().close();
                    filler.close();
                }
                try (Socket connection = worker.accept()) {
                    connection.setSoTimeout(60_000);
                    String call = new String(OneWorkerFixture.readFrame(connection), StandardCharsets.US_ASCII);
                    assertEquals("mstays.0 0", call.substring(0, 10));
                    assertEquals(-1, call.indexOf("left"));
                    // Anything written by now would precede this health check.
                    loop.execute(() -> backend.checkHealth("w"));
                    assertEquals('o', OneWorkerFixture.readFrame(connection)[0]);
                }
            }
        }
    }
}
