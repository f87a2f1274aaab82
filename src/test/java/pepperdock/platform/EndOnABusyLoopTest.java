package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.Sites;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.Connection;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;
import pepperdock.transport.TcpTable;

/**
 * A client's end that stands unread in the kernel while the loop is held up: an attempt that comes to its turn before the
 * loop asks the kernel again must not begin.
 */
@Timeout(60)
class EndOnABusyLoopTest {

    private enum Way {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    private final DeploymentSettings site =
            Sites.with(Sites.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":30"));
    private final Loop loop = new Loop(100, 1 << 18);
    private Gatherer core;
    private HttpServer server;

    EndOnABusyLoopTest() throws IOException {}

    @AfterEach
    void close() {
        loop.close();
    }

    private void serve(Backend backend) throws IOException {
        core = new Gatherer(site.module(), 3, loop, backend, () -> {});
        server = new HttpServer(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 16,
                () -> 10,
                new Front(site, core, () -> true));
    }

    private Socket ask() throws IOException {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        Socket s = new Socket(server.address().getAddress(), server.address().getPort());
        s.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nRequest-Id: q\r\nRequest-Class: payout-report\r\n"
                                + "Request-Timeout-Ms: 60000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
        return s;
    }

    /** The client goes, and its end is with the server's kernel when this returns. */
    private void go(Socket client, Way way) {
        try {
            int port = client.getLocalPort();
            if (way == Way.HALF_CLOSE) {
                client.shutdownOutput();
            } else {
                client.setSoLinger(way == Way.RESET, 0);
                client.close();
            }
            TcpTable.awaitEnd(server.address().getPort(), port);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static WorkerEndpoint host(String id, int cell, String dial) {
        return new WorkerEndpoint(id, dial, 0, 0, cell, EndpointState.HEALTHY, 1, 0);
    }

    /** A backend of which only the sends are of interest. */
    private static final class Sends implements Backend {
        final BlockingQueue<Attempt> sent = new LinkedBlockingQueue<>();

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            sent.addAll(call);
        }

        @Override
        public void cancel(Attempt attempt) {}

        @Override
        public void checkHealth(String worker) {}

        @Override
        public void closeIdleConnections(String worker) {}

        @Override
        public void updateEndpoints(Map<String, WorkerEndpoint> hosts) {}
    }

    /** The further attempt is decided in the very turn of the loop in which the end stands unread. */
    @ParameterizedTest
    @EnumSource(Way.class)
    void noFurtherAttemptBeginsOnceTheEndIsWithTheKernel(Way way) throws Exception {
        Sends backend = new Sends();
        serve(backend);
        loop.execute(() -> core.onEndpointList(
                EndpointListKind.CACHED,
                Stream.of(0, 1, 2, 3).map(i -> host("w" + i, i, "127.0.0.1:1")).toList()));
        try (Socket client = ask()) {
            Attempt first = backend.sent.poll(30, TimeUnit.SECONDS);
            BlockingQueue<Integer> inHand = new LinkedBlockingQueue<>();
            loop.execute(() -> {
                go(client, way);
                // The next batch falls due while the loop is held up here, so that it closes before the kernel is
                // asked.
                double due = loop.now() + 2 * site.module().tickS();
                while (loop.now() < due) {
                    Thread.onSpinWait();
                }
                core.onAttemptEnded(first, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null);
                loop.execute(() -> inHand.add(core.inFlightQueries()));
            });
            Integer left = inHand.poll(30, TimeUnit.SECONDS);
            assertTrue(backend.sent.isEmpty(), "a further attempt was passed on");
            assertEquals(0, left, "the end is noticed in that turn");
        }
    }

    /** Passes everything on, and runs something right after each send. */
    private record After(WorkerPool pool, Runnable then) implements Backend {
        @Override
        public void sendCall(String worker, List<Attempt> call) {
            pool.sendCall(worker, call);
            then.run();
        }

        @Override
        public void cancel(Attempt attempt) {
            pool.cancel(attempt);
        }

        @Override
        public void checkHealth(String worker) {
            pool.checkHealth(worker);
        }

        @Override
        public void closeIdleConnections(String worker) {
            pool.closeIdleConnections(worker);
        }

        @Override
        public void updateEndpoints(Map<String, WorkerEndpoint> hosts) {
            pool.updateEndpoints(hosts);
        }
    }

    /**
     * An attempt waits for its connection; in the turn in which that comes up the loop is first held up by another
     * connection's handler, and the client goes meanwhile.
     */
    @Test
    void whatWaitsForItsConnectionDoesNotBeginOnceTheEndIsWithTheKernel() throws Exception {
        BlockingQueue<Connection> opened = new LinkedBlockingQueue<>();
        Socket[] client = {null};
        Connection.Handler holdsUp = new Connection.Handler() {
            @Override
            public void received(Connection c) {
                c.consume(c.to() - c.from());
                go(client[0], Way.CLOSE);
            }

            @Override
            public void ended(Connection c) {}
        };
        try (ServerSocket worker = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                Loop.Listening other =
                        loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> true, c -> {
                            c.start(holdsUp);
                            opened.add(c);
                        });
                Socket beside =
                        new Socket(other.address().getAddress(), other.address().getPort())) {
            opened.take();
            WorkerPool pool = new WorkerPool(loop, site);
            serve(new After(pool, () -> {
                try {
                    beside.getOutputStream().write(1);
                    TcpTable.awaitUnread(other.address().getPort(), beside.getLocalPort());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }));
            pool.start(core);
            loop.execute(() -> core.onEndpointList(
                    EndpointListKind.CACHED, List.of(host("w", 0, "127.0.0.1:" + worker.getLocalPort()))));
            BlockingQueue<Boolean> held = new LinkedBlockingQueue<>();
            loop.execute(() -> {
                try {
                    client[0] = ask();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                held.add(true);
            });
            held.take();
            worker.setSoTimeout(30_000);
            try (Socket taken = worker.accept()) {
                BlockingQueue<Long> left = new LinkedBlockingQueue<>();
                do {
                    loop.execute(() -> left.add(core.metrics().ended("class-1", Metrics.QueryOutcome.CLIENT_GONE)));
                } while (left.take() < 1);
                // All that was written by then stands before this probe.
                loop.execute(() -> pool.checkHealth("w"));
                byte[] frame = taken.getInputStream().readNBytes(5);
                assertEquals('o', frame[4]);
            } finally {
                client[0].close();
            }
        }
    }
}
