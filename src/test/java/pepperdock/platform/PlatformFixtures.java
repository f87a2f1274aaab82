package pepperdock.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Supplier;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpServer;

/**
 * Fixtures for tests of the platform's protocols: servers on loopback, endpoints, and queries in the clients' format.
 */
public final class PlatformFixtures {

    /** The body of a query for shard 0 alone. */
    public static final String ONE_PART_BODY = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";

    private PlatformFixtures() {}

    /** Starts a server for a front on a free loopback port. */
    public static HttpServer listen(EventLoop loop, int maxBodyBytes, int maxClients, HttpRequestHandler front)
            throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new HttpServer(loop, anyPort, maxBodyBytes, () -> maxClients, front);
    }

    /** Opens a client connection to a server. */
    public static Socket connect(HttpServer server) throws IOException {
        return new Socket(server.address().getAddress(), server.address().getPort());
    }

    /** Returns a healthy worker that holds the shards of a cell. */
    public static WorkerEndpoint endpoint(String id, int cell, String address) {
        return new WorkerEndpoint(id, address, 0, 0, cell, EndpointState.HEALTHY, 1, 0);
    }

    /** Returns a query of the idempotent class payout-report for shard 0 alone, as a client sends it. */
    public static byte[] onePartQuery(String id, int timeoutMs) {
        String head = "POST /api HTTP/1.1\r\nRequest-Id: " + id
                + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: " + timeoutMs
                + "\r\nContent-Length: " + ONE_PART_BODY.length() + "\r\n\r\n";
        return (head + ONE_PART_BODY).getBytes(StandardCharsets.US_ASCII);
    }

    /** Runs a task on the loop's thread and returns its result, which may be null. */
    public static <T> T onLoop(EventLoop loop, Supplier<T> task) throws InterruptedException {
        BlockingQueue<Optional<T>> result = new LinkedBlockingQueue<>();
        loop.execute(() -> result.add(Optional.ofNullable(task.get())));
        return result.take().orElse(null);
    }
}
