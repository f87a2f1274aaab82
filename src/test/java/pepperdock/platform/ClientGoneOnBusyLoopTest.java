package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.NoOpBackend;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.Connection;
import pepperdock.transport.ConnectionHandler;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;
import pepperdock.transport.TcpTable;

/**
 * A client closes its connection while the loop is busy, so that the kernel knows of the close and the loop does not:
 * an attempt that is due before the loop polls the kernel again must not start.
 */
@Timeout(60)
class ClientGoneOnBusyLoopTest {

    private enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    private final DeploymentSettings settings = TestDeploymentSettings.with(
            TestDeploymentSettings.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":30"));
    private final EventLoop loop = new EventLoop(100, 1 << 18);
    private Gatherer core;
    private HttpServer server;

    ClientGoneOnBusyLoopTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private void serve(Backend backend) throws IOException {
        core = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
        server = PlatformFixtures.listen(loop, 1 << 16, 10, new PlatformFront(settings, core, () -> true));
    }

    private Socket sendQuery() throws IOException {
        Socket client = PlatformFixtures.connect(server);
        client.getOutputStream().write(PlatformFixtures.onePartQuery("q", 60_000));
        return client;
    }

    /** Disconnects the client; when this method returns, the server's kernel has seen the disconnect. */
    private void disconnect(Socket client, Disconnect how) {
        try {
            int port = client.getLocalPort();
            if (how == Disconnect.HALF_CLOSE) {
                client.shutdownOutput();
            } else {
                client.setSoLinger(how == Disconnect.RESET, 0);
                client.close();
            }
            TcpTable.awaitEnd(server.address().getPort(), port);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A client that leaves with more unread behind its request than one turn of the loop reads was sent on. */
    @ParameterizedTest
    @ValueSource(ints = {10_000, 300_000, 900_000, 3_000_000})
    void noRetryStartsForAClientThatHasLeftBehindUnreadInput(int unreadBytes) throws Exception {
        RecordingBackend backend = new RecordingBackend();
        serve(backend);
        loop.execute(() -> core.onEndpointList(
                EndpointListKind.CACHED,
                Stream.of(0, 1, 2, 3)
                        .map(cell -> PlatformFixtures.endpoint("w" + cell, cell, "127.0.0.1:1"))
                        .toList()));
        Socket client = sendQuery();
        Attempt first = backend.sent.poll(30, TimeUnit.SECONDS);
        BlockingQueue<Integer> inFlight = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            try {
                client.setSendBufferSize(2 * unreadBytes);
                client.getOutputStream().write(new byte[unreadBytes]);
                client.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            double due = loop.now() + 2 * settings.scheduler().tickS();
            while (loop.now() < due) {
                Thread.onSpinWait();
            }
            core.onAttemptEnded(first, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null);
            loop.execute(() -> inFlight.add(core.inFlightQueries()));
        });
        assertEquals(0, inFlight.poll(30, TimeUnit.SECONDS), "the close was not noticed in that turn");
        assertTrue(backend.sent.isEmpty(), "a retry was sent");
    }

    /** A backend that records the attempts sent and does nothing else. */
    private static final class RecordingBackend extends NoOpBackend {
        final BlockingQueue<Attempt> sent = new LinkedBlockingQueue<>();

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            sent.addAll(call);
        }
    }

    /**
     * A retry becomes due in the same turn of the loop in which the client's close is still unread in the kernel. It
     * must not be sent.
     */
    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void noRetryStartsAfterTheKernelHasSeenTheDisconnect(Disconnect how) throws Exception {
        RecordingBackend backend = new RecordingBackend();
        serve(backend);
        loop.execute(() -> core.onEndpointList(
                EndpointListKind.CACHED,
                Stream.of(0, 1, 2, 3)
                        .map(cell -> PlatformFixtures.endpoint("w" + cell, cell, "127.0.0.1:1"))
                        .toList()));
        try (Socket client = sendQuery()) {
            Attempt first = backend.sent.poll(30, TimeUnit.SECONDS);
            BlockingQueue<Integer> inFlight = new LinkedBlockingQueue<>();
            loop.execute(() -> {
                disconnect(client, how);
                // The next batch becomes due while the loop is busy here, so that it closes before the kernel is
                // polled.
                double due = loop.now() + 2 * settings.scheduler().tickS();
                while (loop.now() < due) {
                    Thread.onSpinWait();
                }
                core.onAttemptEnded(first, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null);
                loop.execute(() -> inFlight.add(core.inFlightQueries()));
            });
            Integer inFlightQueries = inFlight.poll(30, TimeUnit.SECONDS);
            assertTrue(backend.sent.isEmpty(), "a retry was sent");
            assertEquals(0, inFlightQueries, "the close was not noticed in that turn");
        }
    }

    /** Runs a task right after each call. */
    private static final class TaskAfterCall extends ForwardingBackend {
        private final Runnable task;

        private TaskAfterCall(Backend delegate, Runnable task) {
            super(delegate);
            this.task = task;
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            super.sendCall(worker, call);
            task.run();
        }
    }

    /**
     * An attempt waits for its connection. In the turn of the loop in which the connection is established, the handler
     * of another connection runs first and keeps the loop busy, and the client closes meanwhile. The attempt must not
     * start.
     */
    @Test
    void noAttemptStartsOnANewConnectionAfterTheKernelHasSeenTheDisconnect() throws Exception {
        BlockingQueue<Connection> opened = new LinkedBlockingQueue<>();
        Socket[] client = {null};
        ConnectionHandler busyHandler = new ConnectionHandler() {
            @Override
            public void onBytes(Connection connection) {
                connection.consume(connection.readEnd() - connection.readStart());
                disconnect(client[0], Disconnect.CLOSE);
            }

            @Override
            public void onClosed(Connection connection) {}
        };
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (ServerSocket worker = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                EventLoop.ServerSocketHandle other = loop.listen(anyPort, () -> true, connection -> {
                    connection.start(busyHandler);
                    opened.add(connection);
                });
                Socket trigger =
                        new Socket(other.address().getAddress(), other.address().getPort())) {
            opened.take();
            FrameBackend backend = new FrameBackend(loop, settings);
            serve(new TaskAfterCall(backend, () -> {
                try {
                    trigger.getOutputStream().write(1);
                    TcpTable.awaitUnread(other.address().getPort(), trigger.getLocalPort());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }));
            backend.start(core);
            loop.execute(() -> core.onEndpointList(
                    EndpointListKind.CACHED,
                    List.of(PlatformFixtures.endpoint("w", 0, "127.0.0.1:" + worker.getLocalPort()))));
            // On the loop, because the handler above must not run before the client is known.
            PlatformFixtures.onLoop(loop, () -> {
                try {
                    client[0] = sendQuery();
                    return true;
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            Socket sender = client[0];
            try (sender) {
                assertNothingSent(worker, backend);
            }
        }
    }

    /**
     * Accepts the connection and waits until the client's disconnect is noticed. Anything written by then would precede
     * the health check.
     */
    private void assertNothingSent(ServerSocket worker, FrameBackend backend) throws Exception {
        worker.setSoTimeout(30_000);
        try (Socket connection = worker.accept()) {
            long clientsGone;
            do {
                clientsGone = PlatformFixtures.onLoop(
                        loop, () -> core.metrics().ended("class-1", Metrics.QueryOutcome.CLIENT_GONE));
            } while (clientsGone < 1);
            loop.execute(() -> backend.checkHealth("w"));
            assertEquals('o', OneWorkerFixture.readFrame(connection)[0]);
        }
    }
}
