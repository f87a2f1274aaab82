package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.Sites;
import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/** From the client's socket to the worker's: queries whose clients go while their first attempt waits for a connection. */
@Timeout(90)
class LeftQueriesTest {

    private static final int LEFT = 50;

    private static byte[] request(String id) {
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        return ("POST /api HTTP/1.1\r\nRequest-Id: " + id
                        + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: 60000\r\n" + "Content-Length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static long left(Loop loop, Gatherer core) throws InterruptedException {
        BlockingQueue<Long> seen = new LinkedBlockingQueue<>();
        loop.execute(() -> seen.add(core.metrics().ended("class-1", Metrics.QueryOutcome.CLIENT_GONE)));
        return seen.take();
    }

    /** Half of them close, half are reset; of all of them none is sent once the connection is there. */
    @Test
    void noneIsSentOnceItsClientHasGone() throws Exception {
        DeploymentSettings site = Sites.with(Sites.SETTINGS
                .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":60")
                .replace("\"MostHeld\":40", "\"MostHeld\":400")
                .replace("\"GoalTimeS\":2.5,\"DeadlineS\":6", "\"GoalTimeS\":60,\"DeadlineS\":60"));
        // Its queue holds two: whoever comes third waits for the connection until one of them is taken.
        try (ServerSocket worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Loop loop = new Loop(500, 1 << 18)) {
            List<Socket> before = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                before.add(new Socket(worker.getInetAddress(), worker.getLocalPort()));
            }
            WorkerPool pool = new WorkerPool(loop, site);
            Gatherer core = new Gatherer(site.module(), 3, loop, pool, () -> {});
            pool.start(core);
            HttpServer server = new HttpServer(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1 << 16,
                    () -> 100,
                    new Front(site, core, () -> true));
            loop.execute(() -> core.onEndpointList(
                    EndpointListKind.CACHED,
                    List.of(new WorkerEndpoint(
                            "w", "127.0.0.1:" + worker.getLocalPort(), 0, 0, 0, EndpointState.HEALTHY, 1, 0))));
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < LEFT; i++) {
                clients.add(new Socket(
                        server.address().getAddress(), server.address().getPort()));
                clients.get(i).getOutputStream().write(request("left" + i));
            }
            try (Socket stays =
                    new Socket(server.address().getAddress(), server.address().getPort())) {
                stays.getOutputStream().write(request("stays"));
                BlockingQueue<Integer> held = new LinkedBlockingQueue<>();
                do {
                    loop.execute(() -> held.add(core.inFlightQueries()));
                } while (held.take() < LEFT + 1);
                for (int i = 0; i < LEFT; i++) {
                    clients.get(i).setSoLinger(i % 2 == 0, 0);
                    clients.get(i).close();
                }
                while (left(loop, core) < LEFT) {
                    Thread.onSpinWait();
                }
                for (Socket s : before) {
                    worker.accept().close();
                    s.close();
                }
                try (Socket taken = worker.accept()) {
                    taken.setSoTimeout(60_000);
                    DataInputStream in = new DataInputStream(taken.getInputStream());
                    byte[] frame = in.readNBytes(in.readInt());
                    assertEquals("mstays.0 0", new String(frame, 0, 10, StandardCharsets.US_ASCII));
                    assertEquals(-1, new String(frame, StandardCharsets.US_ASCII).indexOf("left"));
                    // All that was written by now stands before the answer to this probe.
                    loop.execute(() -> pool.checkHealth("w"));
                    assertEquals('o', in.readNBytes(in.readInt())[0]);
                }
            }
        }
    }
}
