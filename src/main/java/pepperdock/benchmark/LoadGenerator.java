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
 * An open-loop load generator over the platform's HTTP front: queries are due at times drawn beforehand, whatever became of
 * those before, and a latency counts from when its query was due. So a gatherer that falls behind can't slow its own load.
 */
final class LoadGenerator implements AutoCloseable {

    private static final int CONNECTIONS_MOST = 2000;
    private static final int BODY_MOST = 1 << 22;
    private static final long STEP_NANOS = 100_000;
    private static final long WAIT_MOST_MS = 20;
    /** After the last query, so long beyond the deadline for what is still out. */
    private static final double DRAIN_S = 1.5;

    private static final long MOST_US = 60_000_000;
    /** Bodies made ahead, taken by turns: queries start at different shards. */
    private static final int BODIES = 64;

    private static final byte[] PART = "\"range\":".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] WHOLE = "\"total\":true".getBytes(StandardCharsets.US_ASCII);

    /**
     * The ends of queries that were due in the measured time.
     *
     * @param latencyUs from when each was due to its whole answer
     * @param generatorLateUs from when each was due to when it was written: the generator's own part of the latency
     * @param within whole answers that came within {@link Deployment#AIM_S}, whatever the deployment's own aim
     */
    record Outcome(
            long asked,
            long whole,
            long partial,
            long refused,
            long failed,
            long unanswered,
            long within,
            Histogram latencyUs,
            Histogram generatorLateUs) {}

    /** A query that is due, or out. */
    private record Due(String id, long dueNanos, boolean measured, int body) {}

    /** A connection to the gatherer, with one query on it at a time. */
    private static final class Client {
        private final SocketChannel channel;
        private final HttpParser parser = HttpParser.ofResponses(BODY_MOST);
        private SelectionKey key;
        private ByteBuffer out;
        private byte[] kept = {};
        private Due query;

        private Client(SocketChannel channel) {
            this.channel = channel;
        }
    }

    private final InetSocketAddress to;
    private final Deployment deployment;
    private final int fanOut;
    private final String prefix;
    private final Tally tally;
    private final SplittableRandom random;
    private final byte[][] bodies = new byte[BODIES][];
    private final Selector selector = Selector.open();
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private final ArrayDeque<Due> waiting = new ArrayDeque<>();
    private final ByteBuffer room = ByteBuffer.allocate(1 << 16);
    private final Histogram latency = new Histogram(MOST_US, 3);
    private final Histogram lateness = new Histogram(MOST_US, 3);
    private int connections;
    private long number;
    private long out;
    private long asked;
    private long whole;
    private long partial;
    private long refused;
    private long failed;
    private long within;

    /** {@code prefix} begins the ids, which must not come twice at one gatherer; {@code tally} may be null. */
    LoadGenerator(InetSocketAddress to, Deployment deployment, int fanOut, String prefix, Tally tally, long seed)
            throws IOException {
        this.to = to;
        this.deployment = deployment;
        this.fanOut = fanOut;
        this.prefix = prefix;
        this.tally = tally;
        random = new SplittableRandom(seed);
        for (int i = 0; i < BODIES; i++) {
            bodies[i] = body(deployment, fanOut, random.nextInt(deployment.workers()));
        }
    }

    private static byte[] body(Deployment deployment, int fanOut, int first) {
        StringBuilder ranges = new StringBuilder();
        for (QueryRequest.RequestedPart piece : deployment.pieces(fanOut, first)) {
            ranges.append(ranges.length() == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(piece.shard())
                    .append(",\"portion\":")
                    .append(piece.weight())
                    .append('}');
        }
        return ("{\"ranges\":[" + ranges + "],\"predicate\":\"amount > 100\"}").getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Sends queries at a rate, at times of a Poisson process from {@code startNanos} until {@code endNanos}; those due from
     * {@code measureNanos} on are measured. The times are {@link System#nanoTime}'s. Returns when all are answered, or past
     * their deadlines.
     */
    Outcome run(double queriesPerSecond, long startNanos, long measureNanos, long endNanos) throws IOException {
        long drainNanos = endNanos + (long) ((deployment.deadlineS() + DRAIN_S) * 1e9);
        double nextNanos = startNanos + gap(queriesPerSecond);
        while (true) {
            long now = System.nanoTime();
            while (nextNanos <= now && nextNanos < endNanos) {
                enqueue((long) nextNanos, measureNanos);
                nextNanos += gap(queriesPerSecond);
            }
            boolean over = nextNanos >= endNanos;
            if (over && out == 0 && waiting.isEmpty() || now > drainNanos) {
                break;
            }
            send();
            await(over ? now + WAIT_MOST_MS * 1_000_000 : (long) nextNanos);
        }
        long answered = whole + partial + refused + failed;
        return new Outcome(
                asked, whole, partial, refused, failed, asked - answered, within, latency.copy(), lateness.copy());
    }

    private double gap(double queriesPerSecond) {
        return -Math.log(1 - random.nextDouble()) / queriesPerSecond * 1e9;
    }

    private void enqueue(long dueNanos, long measureNanos) {
        boolean measured = dueNanos >= measureNanos;
        asked += measured ? 1 : 0;
        waiting.add(new Due(prefix + number, dueNanos, measured, (int) (number % BODIES)));
        number++;
    }

    private void send() throws IOException {
        while (!waiting.isEmpty() && (!idle.isEmpty() || connections < CONNECTIONS_MOST)) {
            Due query = waiting.remove();
            Client client = idle.isEmpty() ? connect() : idle.pop();
            client.query = query;
            out++;
            if (tally != null) {
                tally.asked(query.id(), fanOut);
            }
            client.out = ByteBuffer.wrap(HttpWriter.request(
                    "POST",
                    "/api",
                    "gatherer",
                    "Request-Id: " + query.id() + "\r\nRequest-Class: " + Deployment.CLASS + "\r\nRequest-Timeout-Ms: "
                            + Math.round(deployment.deadlineS() * 1e3) + "\r\n",
                    bodies[query.body()]));
            if (query.measured()) {
                lateness.recordValue(sinceUs(query));
            }
            write(client);
        }
    }

    private static long sinceUs(Due query) {
        return Math.min(MOST_US, Math.max(0, (System.nanoTime() - query.dueNanos()) / 1000));
    }

    private Client connect() throws IOException {
        SocketChannel channel = SocketChannel.open(to);
        channel.configureBlocking(false);
        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
        Client client = new Client(channel);
        client.key = channel.register(selector, SelectionKey.OP_READ, client);
        connections++;
        return client;
    }

    private void write(Client client) throws IOException {
        client.channel.write(client.out);
        client.key.interestOps(SelectionKey.OP_READ | (client.out.hasRemaining() ? SelectionKey.OP_WRITE : 0));
    }

    private void await(long untilNanos) throws IOException {
        long leftNanos = untilNanos - System.nanoTime();
        if (leftNanos >= 1_000_000) {
            selector.select(Math.min(WAIT_MOST_MS, leftNanos / 1_000_000));
        } else if (selector.selectNow() == 0 && leftNanos > 0) {
            LockSupport.parkNanos(Math.min(leftNanos, STEP_NANOS));
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
                lost(client);
            }
        }
    }

    private void read(Client client) throws IOException, HttpException {
        room.clear();
        int count = client.channel.read(room);
        if (count < 0) {
            lost(client);
            return;
        }
        byte[] come = Arrays.copyOf(client.kept, client.kept.length + count);
        room.flip().get(come, client.kept.length, count);
        int at = 0;
        int used = 1;
        while (at < come.length && used > 0) {
            used = client.parser.feed(come, at, come.length);
            at += used;
            if (client.parser.isComplete()) {
                answered(client, client.parser.take());
            }
        }
        client.kept = Arrays.copyOfRange(come, at, come.length);
    }

    private void answered(Client client, HttpMessage answer) throws IOException {
        Due query = client.query;
        client.query = null;
        if (query == null) {
            throw new IOException("an answer to no query");
        }
        out--;
        if (tally != null) {
            tally.answered(query.id(), answer.status() == 200 ? count(answer.body(), PART) : 0);
        }
        if (query.measured()) {
            note(query, answer);
        }
        if (answer.keepAlive()) {
            idle.push(client);
        } else {
            client.channel.close();
            connections--;
        }
    }

    private void note(Due query, HttpMessage answer) {
        if (answer.status() == 200 && count(answer.body(), WHOLE) == 1) {
            whole++;
            long us = sinceUs(query);
            latency.recordValue(us);
            within += us <= Deployment.AIM_S * 1e6 ? 1 : 0;
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

    /** Its query stays unanswered. */
    private void lost(Client client) throws IOException {
        if (client.channel.isOpen()) {
            client.channel.close();
            connections--;
            out -= client.query == null ? 0 : 1;
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
