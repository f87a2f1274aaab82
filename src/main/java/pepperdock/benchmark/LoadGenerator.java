package pepperdock.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Iterator;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpParser;
import pepperdock.codec.http.HttpWriter;
import pepperdock.core.QueryRequest;

/**
 * An open-loop load generator for the platform's HTTP front. Queries are due at random times that don't depend on
 * earlier answers, and latency counts from when a query was due. So a gatherer that falls behind can't slow down its
 * own load.
 */
final class LoadGenerator implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 2000;
    private static final int MAX_BODY_BYTES = 1 << 22;
    private static final long SLEEP_STEP_NANOS = 100_000;
    private static final long MAX_WAIT_MS = 20;
    /** How long to wait for outstanding answers beyond the deadline of the last query, in seconds. */
    private static final double DRAIN_S = 1.5;

    private static final long MAX_LATENCY_US = 60_000_000;
    /** Number of request bodies built in advance and used in turn, so that queries start at different shards. */
    private static final int BODIES = 64;

    private static final byte[] PART_MARKER = "\"range\":".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] WHOLE_MARKER = "\"total\":true".getBytes(StandardCharsets.US_ASCII);

    /**
     * The outcomes of the queries that were due in the measured time.
     *
     * @param latencyUs time from when each query was due to its complete answer
     * @param generatorLateUs time from when each query was due to when it was sent: the generator's own share of the
     *     latency
     * @param withinAim complete answers within {@link Deployment#AIM_S}, regardless of the deployment's own aim
     */
    record Outcome(
            long asked,
            long whole,
            long partial,
            long refused,
            long failed,
            long unanswered,
            long withinAim,
            Histogram latencyUs,
            Histogram generatorLateUs) {}

    /** A query that waits to be sent, or is outstanding. */
    private record ScheduledQuery(String id, long dueNanos, boolean measured, int body) {}

    /** A connection to the gatherer that carries one query at a time. */
    private static final class Client {
        private final SocketChannel channel;
        private final HttpParser parser = HttpParser.ofResponses(MAX_BODY_BYTES);
        private SelectionKey key;
        private ByteBuffer pendingWrite;
        private byte[] unparsed = {};
        private ScheduledQuery query;

        private Client(SocketChannel channel) {
            this.channel = channel;
        }
    }

    private final InetSocketAddress gathererAddress;
    private final Deployment deployment;
    private final int fanOut;
    private final String prefix;
    private final DeliveryChecker deliveryChecker;
    private final SplittableRandom random;
    private final byte[][] bodies = new byte[BODIES][];
    private final Selector selector = Selector.open();
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private final ArrayDeque<ScheduledQuery> waiting = new ArrayDeque<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(1 << 16);
    private final Histogram latency = new Histogram(MAX_LATENCY_US, 3);
    private final Histogram lateness = new Histogram(MAX_LATENCY_US, 3);
    private int connections;
    private long nextNumber;
    private long outstanding;
    private long asked;
    private long whole;
    private long partial;
    private long refused;
    private long failed;
    private long withinAim;

    /** Query ids begin with {@code prefix} and must be unique at one gatherer; {@code deliveryChecker} may be null. */
    LoadGenerator(
            InetSocketAddress gathererAddress,
            Deployment deployment,
            int fanOut,
            String prefix,
            DeliveryChecker deliveryChecker,
            long seed)
            throws IOException {
        this.gathererAddress = gathererAddress;
        this.deployment = deployment;
        this.fanOut = fanOut;
        this.prefix = prefix;
        this.deliveryChecker = deliveryChecker;
        random = new SplittableRandom(seed);
        for (int i = 0; i < BODIES; i++) {
            bodies[i] = body(deployment, fanOut, random.nextInt(deployment.workers()));
        }
    }

    private static byte[] body(Deployment deployment, int fanOut, int first) {
        StringBuilder ranges = new StringBuilder();
        for (QueryRequest.RequestedPart requestedPart : deployment.requestedParts(fanOut, first)) {
            ranges.append(ranges.length() == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(requestedPart.shard())
                    .append(",\"portion\":")
                    .append(requestedPart.weight())
                    .append('}');
        }
        return ("{\"ranges\":[" + ranges + "],\"predicate\":\"amount > 100\"}").getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Sends queries by a Poisson process of the given rate from {@code startNanos} until {@code endNanos}, and measures
     * those that are due from {@code measureNanos} on. The times are those of {@link System#nanoTime}. Returns when all
     * queries are answered or past their deadlines.
     */
    Outcome run(double queriesPerSecond, long startNanos, long measureNanos, long endNanos) throws IOException {
        long drainNanos = endNanos + (long) ((deployment.deadlineS() + DRAIN_S) * 1e9);
        double nextNanos = startNanos + nextGapNanos(queriesPerSecond);
        while (true) {
            long now = System.nanoTime();
            while (nextNanos <= now && nextNanos < endNanos) {
                enqueue((long) nextNanos, measureNanos);
                nextNanos += nextGapNanos(queriesPerSecond);
            }
            boolean over = nextNanos >= endNanos;
            if (over && outstanding == 0 && waiting.isEmpty() || now > drainNanos) {
                break;
            }
            send();
            await(over ? now + MAX_WAIT_MS * 1_000_000 : (long) nextNanos);
        }
        long answeredQueries = whole + partial + refused + failed;
        return new Outcome(
                asked,
                whole,
                partial,
                refused,
                failed,
                asked - answeredQueries,
                withinAim,
                latency.copy(),
                lateness.copy());
    }

    private double nextGapNanos(double queriesPerSecond) {
        return -Math.log(1 - random.nextDouble()) / queriesPerSecond * 1e9;
    }

    private void enqueue(long dueNanos, long measureNanos) {
        boolean measured = dueNanos >= measureNanos;
        asked += measured ? 1 : 0;
        waiting.add(new ScheduledQuery(prefix + nextNumber, dueNanos, measured, (int) (nextNumber % BODIES)));
        nextNumber++;
    }

    private void send() throws IOException {
        while (!waiting.isEmpty() && (!idle.isEmpty() || connections < MAX_CONNECTIONS)) {
            ScheduledQuery query = waiting.remove();
            Client client = idle.isEmpty() ? connect() : idle.pop();
            client.query = query;
            outstanding++;
            if (deliveryChecker != null) {
                deliveryChecker.recordQuery(query.id(), fanOut);
            }
            client.pendingWrite = ByteBuffer.wrap(HttpWriter.request(
                    "POST",
                    "/api",
                    "gatherer",
                    "Request-Id: " + query.id() + "\r\nRequest-Class: " + Deployment.CLASS + "\r\nRequest-Timeout-Ms: "
                            + Math.round(deployment.deadlineS() * 1e3) + "\r\n",
                    bodies[query.body()]));
            if (query.measured()) {
                lateness.recordValue(microsSinceDue(query));
            }
            write(client);
        }
    }

    private static long microsSinceDue(ScheduledQuery query) {
        return Math.min(MAX_LATENCY_US, Math.max(0, (System.nanoTime() - query.dueNanos()) / 1000));
    }

    private Client connect() throws IOException {
        SocketChannel channel = SocketChannel.open(gathererAddress);
        channel.configureBlocking(false);
        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
        Client client = new Client(channel);
        client.key = channel.register(selector, SelectionKey.OP_READ, client);
        connections++;
        return client;
    }

    private void write(Client client) throws IOException {
        client.channel.write(client.pendingWrite);
        client.key.interestOps(SelectionKey.OP_READ | (client.pendingWrite.hasRemaining() ? SelectionKey.OP_WRITE : 0));
    }

    private void await(long untilNanos) throws IOException {
        long leftNanos = untilNanos - System.nanoTime();
        if (leftNanos >= 1_000_000) {
            selector.select(Math.min(MAX_WAIT_MS, leftNanos / 1_000_000));
        } else if (selector.selectNow() == 0 && leftNanos > 0) {
            LockSupport.parkNanos(Math.min(leftNanos, SLEEP_STEP_NANOS));
        }
        Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
        while (ready.hasNext()) {
            SelectionKey key = ready.next();
            ready.remove();
            Client client = (Client) key.attachment();
            try {
                if (key.isValid() && key.isWritable()) {
                    write(client);
                }
                if (key.isValid() && key.isReadable()) {
                    read(client);
                }
            } catch (IOException | HttpException e) {
                closeConnection(client);
            }
        }
    }

    private void read(Client client) throws IOException, HttpException {
        readBuffer.clear();
        int count = client.channel.read(readBuffer);
        if (count < 0) {
            closeConnection(client);
            return;
        }
        byte[] bytes = Arrays.copyOf(client.unparsed, client.unparsed.length + count);
        readBuffer.flip().get(bytes, client.unparsed.length, count);
        int at = 0;
        int used = 1;
        while (at < bytes.length && used > 0) {
            used = client.parser.feed(bytes, at, bytes.length);
            at += used;
            if (client.parser.isComplete()) {
                handleAnswer(client, client.parser.take());
            }
        }
        client.unparsed = Arrays.copyOfRange(bytes, at, bytes.length);
    }

    private void handleAnswer(Client client, HttpMessage answer) throws IOException {
        ScheduledQuery query = client.query;
        client.query = null;
        if (query == null) {
            throw new IOException("received an HTTP response on a connection without a pending query");
        }
        outstanding--;
        if (deliveryChecker != null) {
            deliveryChecker.recordAnswer(query.id(), answer.status() == 200 ? count(answer.body(), PART_MARKER) : 0);
        }
        if (query.measured()) {
            recordOutcome(query, answer);
        }
        if (answer.keepAlive()) {
            idle.push(client);
        } else {
            client.channel.close();
            connections--;
        }
    }

    private void recordOutcome(ScheduledQuery query, HttpMessage answer) {
        if (answer.status() == 200 && count(answer.body(), WHOLE_MARKER) == 1) {
            whole++;
            long elapsedUs = microsSinceDue(query);
            latency.recordValue(elapsedUs);
            withinAim += elapsedUs <= Deployment.AIM_S * 1e6 ? 1 : 0;
        } else if (answer.status() == 200) {
            partial++;
        } else if (answer.status() == 503) {
            refused++;
        } else {
            failed++;
        }
    }

    private static int count(byte[] in, byte[] what) {
        int found = 0;
        for (int i = 0; i + what.length <= in.length; i++) {
            if (in[i] == what[0] && Arrays.equals(in, i, i + what.length, what, 0, what.length)) {
                found++;
                i += what.length - 1;
            }
        }
        return found;
    }

    /** Closes a connection; its pending query counts as unanswered. */
    private void closeConnection(Client client) throws IOException {
        if (client.channel.isOpen()) {
            client.channel.close();
            connections--;
            outstanding -= client.query == null ? 0 : 1;
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
