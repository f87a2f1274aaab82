package pepperdock.benchmark;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.platform.WorkerProtocol;

/**
 * Emulates many workers that speak the platform's frame protocol, on one thread, each with its own address. They accept
 * parts, answer each after the time that {@link ServiceTimeModel} draws, drop cancelled parts, and answer health
 * checks. They do no work: they only wait for the time that a real worker would take.
 */
final class EmulatedWorkers implements AutoCloseable {

    private static final int FIRST_BLOCK = 192;
    private static final int LAST_BLOCK = 250;
    private static final int BACKLOG = 512;
    /** The longest wait for events. Waits below 1 ms are slept in steps, as a selector waits in whole milliseconds. */
    private static final long MAX_WAIT_MS = 50;

    private static final long SLEEP_STEP_NANOS = 100_000;
    private static final long MAX_LATENESS_US = 60_000_000;
    private static final byte[] VALUE = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] GOOD = "good".getBytes(StandardCharsets.US_ASCII);

    /** An answer that waits for its due time. */
    private static final class Answer implements Comparable<Answer> {
        private final long dueNanos;
        private final Connection connection;
        private final String id;
        private boolean cancelled;

        private Answer(long dueNanos, Connection connection, String id) {
            this.dueNanos = dueNanos;
            this.connection = connection;
            this.id = id;
        }

        @Override
        public int compareTo(Answer other) {
            return Long.compare(dueNanos, other.dueNanos);
        }
    }

    /** A connection from a gatherer to one worker. */
    private static final class Connection {
        private final SocketChannel channel;
        private final int worker;
        private final Map<String, Answer> pending = new HashMap<>();
        private final ArrayDeque<ByteBuffer> pendingWrites = new ArrayDeque<>();
        private SelectionKey key;
        private byte[] unparsed = new byte[0];

        private Connection(SocketChannel channel, int worker) {
            this.channel = channel;
            this.worker = worker;
        }
    }

    private final int block;
    private final ServiceTimeModel serviceTimes;
    private final Consumer<String> partListener;
    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private final PriorityQueue<Answer> answersByDueTime = new PriorityQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(1 << 16);
    private final AtomicLong parts = new AtomicLong();
    private final AtomicLong cancelledParts = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final Recorder lateness = new Recorder(MAX_LATENESS_US, 2);
    private final Thread thread = new Thread(this::run, "workers");
    private volatile boolean closed;
    private volatile Exception failure;

    private EmulatedWorkers(int block, int workers, ServiceTimeModel serviceTimes, Consumer<String> partListener)
            throws IOException {
        this.block = block;
        this.serviceTimes = serviceTimes;
        this.partListener = partListener;
        try {
            for (int i = 0; i < workers; i++) {
                ServerSocketChannel server = ServerSocketChannel.open();
                servers.add(server);
                server.configureBlocking(false);
                server.bind(
                        new InetSocketAddress(Deployment.workerAddress(block, i), Deployment.workerPort()), BACKLOG);
                server.register(selector, SelectionKey.OP_ACCEPT, i);
            }
        } catch (IOException e) {
            closeAll();
            throw e;
        }
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Opens {@code workers} listening sockets in the first block of 127.0.0.0/8 in which the first worker's address is
     * free; that reserves the block. Passes the id of each part to {@code partListener} on the workers' thread.
     */
    static EmulatedWorkers open(int workers, ServiceTimeModel serviceTimes, Consumer<String> partListener)
            throws IOException {
        for (int block = FIRST_BLOCK; block <= LAST_BLOCK; block++) {
            try {
                return new EmulatedWorkers(block, workers, serviceTimes, partListener);
            } catch (BindException e) {
                // Another benchmark uses this block; tries the next one.
            }
        }
        throw new IOException("no free address block in 127.0.0.0/8 for the emulated workers");
    }

    /** Returns the address block: all addresses are in 127.{@code block}.0.0/16. */
    int block() {
        return block;
    }

    /** Returns the number of parts received so far. */
    long parts() {
        return parts.get();
    }

    /** Returns the number of parts cancelled so far. */
    long cancelledParts() {
        return cancelledParts.get();
    }

    /** Returns the number of open connections. */
    long connections() {
        return connections.get();
    }

    /**
     * Returns by how many microseconds answers were sent late since the last call of this method: the emulation's own
     * share of the latency.
     */
    Histogram lateness() {
        return lateness.getIntervalHistogram();
    }

    /** Returns the exception that ended the thread, or null if there was none. */
    Exception failure() {
        return failure;
    }

    /** Returns the id of the workers' thread, for measuring its processor time. */
    long threadId() {
        return thread.getId();
    }

    private void run() {
        try {
            while (!closed) {
                await();
                Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
                while (ready.hasNext()) {
                    SelectionKey key = ready.next();
                    ready.remove();
                    handle(key);
                }
                answerDue();
            }
        } catch (IOException | RuntimeException e) {
            if (!closed) {
                failure = e;
            }
        }
    }

    private void await() throws IOException {
        Answer next = answersByDueTime.peek();
        long leftNanos = next == null ? MAX_WAIT_MS * 1_000_000 : next.dueNanos - System.nanoTime();
        if (leftNanos >= 1_000_000) {
            selector.select(Math.min(MAX_WAIT_MS, leftNanos / 1_000_000));
        } else if (selector.selectNow() == 0 && leftNanos > 0) {
            LockSupport.parkNanos(Math.min(leftNanos, SLEEP_STEP_NANOS));
        }
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.isValid() && key.isAcceptable()) {
            accept((ServerSocketChannel) key.channel(), (Integer) key.attachment());
            return;
        }
        Connection connection = (Connection) key.attachment();
        try {
            if (key.isValid() && key.isReadable()) {
                read(connection);
            }
            if (key.isValid() && key.isWritable()) {
                flush(connection);
            }
        } catch (IOException e) {
            closeConnection(connection);
        }
    }

    private void accept(ServerSocketChannel server, int worker) throws IOException {
        SocketChannel channel = server.accept();
        if (channel != null) {
            channel.configureBlocking(false);
            channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
            Connection connection = new Connection(channel, worker);
            connection.key = channel.register(selector, SelectionKey.OP_READ, connection);
            connections.incrementAndGet();
        }
    }

    private void closeConnection(Connection connection) throws IOException {
        if (connection.channel.isOpen()) {
            connection.channel.close();
            connections.decrementAndGet();
        }
    }

    private void read(Connection connection) throws IOException {
        readBuffer.clear();
        int byteCount = connection.channel.read(readBuffer);
        if (byteCount < 0) {
            closeConnection(connection);
            return;
        }
        byte[] bytes = new byte[connection.unparsed.length + byteCount];
        System.arraycopy(connection.unparsed, 0, bytes, 0, connection.unparsed.length);
        readBuffer.flip().get(bytes, connection.unparsed.length, byteCount);
        int at = 0;
        while (bytes.length - at >= 4) {
            int length = ByteBuffer.wrap(bytes, at, 4).getInt();
            if (bytes.length - at - 4 < length) {
                break;
            }
            handleFrame(connection, bytes, at + 4, at + 4 + length);
            at += 4 + length;
        }
        connection.unparsed = java.util.Arrays.copyOfRange(bytes, at, bytes.length);
    }

    private void handleFrame(Connection connection, byte[] bytes, int from, int to) throws IOException {
        switch (bytes[from]) {
            case WorkerProtocol.CALL -> handleCall(connection, bytes, from + 1, to);
            case WorkerProtocol.CANCEL -> {
                Answer answer = connection.pending.remove(asciiText(bytes, from + 1, to));
                if (answer != null) {
                    answer.cancelled = true;
                    cancelledParts.incrementAndGet();
                }
            }
            case WorkerProtocol.HEALTH_CHECK ->
                write(connection, FrameEncoder.encode(WorkerProtocol.HEALTH_CHECK, GOOD));
            default -> throw new IOException("unknown frame type " + (char) bytes[from]);
        }
    }

    /** Reads the parts of a call. Each part is a line of id, shard, list and length, followed by that many bytes. */
    private void handleCall(Connection connection, byte[] bytes, int from, int to) {
        long now = System.nanoTime();
        int at = from;
        while (at < to) {
            int lineEnd = at;
            while (bytes[lineEnd] != '\n') {
                lineEnd++;
            }
            String line = asciiText(bytes, at, lineEnd);
            String id = line.substring(0, line.indexOf(' '));
            at = lineEnd + 1 + Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
            parts.incrementAndGet();
            partListener.accept(id);
            long serviceNanos = (long) (serviceTimes.serviceTimeS(id, connection.worker) * 1e9);
            Answer answer = new Answer(now + serviceNanos, connection, id);
            connection.pending.put(id, answer);
            answersByDueTime.add(answer);
        }
    }

    private static String asciiText(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.US_ASCII);
    }

    private void answerDue() throws IOException {
        long now = System.nanoTime();
        while (!answersByDueTime.isEmpty() && answersByDueTime.peek().dueNanos <= now) {
            Answer answer = answersByDueTime.poll();
            if (!answer.cancelled && answer.connection.channel.isOpen()) {
                answer.connection.pending.remove(answer.id, answer);
                lateness.recordValue(Math.min(MAX_LATENESS_US, (now - answer.dueNanos) / 1000));
                try {
                    write(answer.connection, encodeResult(answer.id));
                } catch (IOException e) {
                    closeConnection(answer.connection);
                }
            }
        }
    }

    private static byte[] encodeResult(String id) {
        byte[] line = (id + " good 1 -\n").getBytes(StandardCharsets.US_ASCII);
        byte[] payload = java.util.Arrays.copyOf(line, line.length + VALUE.length);
        System.arraycopy(VALUE, 0, payload, line.length, VALUE.length);
        return FrameEncoder.encode(WorkerProtocol.RESULT, payload);
    }

    private void write(Connection connection, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (connection.pendingWrites.isEmpty()) {
            connection.channel.write(buffer);
        }
        if (buffer.hasRemaining()) {
            connection.pendingWrites.add(buffer);
            connection.key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        }
    }

    private void flush(Connection connection) throws IOException {
        while (!connection.pendingWrites.isEmpty()) {
            connection.channel.write(connection.pendingWrites.peek());
            if (connection.pendingWrites.peek().hasRemaining()) {
                return;
            }
            connection.pendingWrites.remove();
        }
        connection.key.interestOps(SelectionKey.OP_READ);
    }

    private void closeAll() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        for (ServerSocketChannel server : servers) {
            server.close();
        }
        selector.close();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeAll();
    }
}
