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
 * Many workers of the platform's frames on one thread, each with an address of its own. They take parts, answer each after the
 * time that {@link Behaviour} draws, drop what is given up, and answer probes. They do no work: what a worker's machine would
 * be busy with is only waited for.
 */
final class EmulatedWorkers implements AutoCloseable {

    private static final int FIRST_BLOCK = 192;
    private static final int LAST_BLOCK = 250;
    private static final int BACKLOG = 512;
    /** The longest wait for events; shorter ones are slept in steps, as a selector waits in whole milliseconds. */
    private static final long WAIT_MOST_MS = 50;

    private static final long STEP_NANOS = 100_000;
    private static final long MOST_LATENESS_US = 60_000_000;
    private static final byte[] VALUE = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] GOOD = "good".getBytes(StandardCharsets.US_ASCII);

    /** An answer that is due. */
    private static final class Answer implements Comparable<Answer> {
        private final long dueNanos;
        private final Link link;
        private final String id;
        private boolean givenUp;

        private Answer(long dueNanos, Link link, String id) {
            this.dueNanos = dueNanos;
            this.link = link;
            this.id = id;
        }

        @Override
        public int compareTo(Answer other) {
            return Long.compare(dueNanos, other.dueNanos);
        }
    }

    /** A connection from a gatherer to one worker. */
    private static final class Link {
        private final SocketChannel channel;
        private final int worker;
        private final Map<String, Answer> pending = new HashMap<>();
        private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        private SelectionKey key;
        private byte[] kept = new byte[0];

        private Link(SocketChannel channel, int worker) {
            this.channel = channel;
            this.worker = worker;
        }
    }

    private final int block;
    private final Behaviour behaviour;
    private final Consumer<String> received;
    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private final PriorityQueue<Answer> due = new PriorityQueue<>();
    private final ByteBuffer room = ByteBuffer.allocateDirect(1 << 16);
    private final AtomicLong parts = new AtomicLong();
    private final AtomicLong giveUps = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final Recorder lateness = new Recorder(MOST_LATENESS_US, 2);
    private final Thread thread = new Thread(this::run, "workers");
    private volatile boolean closed;
    private volatile Exception failure;

    private EmulatedWorkers(int block, int workers, Behaviour behaviour, Consumer<String> received) throws IOException {
        this.block = block;
        this.behaviour = behaviour;
        this.received = received;
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
     * Listens for so many workers in the first block of 127.0.0.0/8 whose first worker's address is free, which then is this
     * one's; {@code received} is told the id of each part, on the workers' thread.
     */
    static EmulatedWorkers open(int workers, Behaviour behaviour, Consumer<String> received) throws IOException {
        for (int block = FIRST_BLOCK; block <= LAST_BLOCK; block++) {
            try {
                return new EmulatedWorkers(block, workers, behaviour, received);
            } catch (BindException e) {
                // Another bench's: the next one.
            }
        }
        throw new IOException("no block of 127.0.0.0/8 is free");
    }

    /** All addresses are in 127.{@code block}.0.0/16. */
    int block() {
        return block;
    }

    /** Parts that came so far. */
    long parts() {
        return parts.get();
    }

    /** Parts that were given up so far. */
    long giveUps() {
        return giveUps.get();
    }

    /** Connections that stand. */
    long connections() {
        return connections.get();
    }

    /** By how many microseconds answers went out late since this was last asked: the emulation's own part of a latency. */
    Histogram lateness() {
        return lateness.getIntervalHistogram();
    }

    /** What ended its thread; null while it runs. */
    Exception failure() {
        return failure;
    }

    /** The thread that does all of it, for its processor time. */
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
        Answer next = due.peek();
        long leftNanos = next == null ? WAIT_MOST_MS * 1_000_000 : next.dueNanos - System.nanoTime();
        if (leftNanos >= 1_000_000) {
            selector.select(Math.min(WAIT_MOST_MS, leftNanos / 1_000_000));
        } else if (selector.selectNow() == 0 && leftNanos > 0) {
            LockSupport.parkNanos(Math.min(leftNanos, STEP_NANOS));
        }
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.isValid() && key.isAcceptable()) {
            accept((ServerSocketChannel) key.channel(), (Integer) key.attachment());
            return;
        }
        Link link = (Link) key.attachment();
        try {
            if (key.isValid() && key.isReadable()) {
                read(link);
            }
            if (key.isValid() && key.isWritable()) {
                flush(link);
            }
        } catch (IOException e) {
            end(link);
        }
    }

    private void accept(ServerSocketChannel server, int worker) throws IOException {
        SocketChannel channel = server.accept();
        if (channel != null) {
            channel.configureBlocking(false);
            channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
            Link link = new Link(channel, worker);
            link.key = channel.register(selector, SelectionKey.OP_READ, link);
            connections.incrementAndGet();
        }
    }

    private void end(Link link) throws IOException {
        if (link.channel.isOpen()) {
            link.channel.close();
            connections.decrementAndGet();
        }
    }

    private void read(Link link) throws IOException {
        room.clear();
        int count = link.channel.read(room);
        if (count < 0) {
            end(link);
            return;
        }
        byte[] bytes = new byte[link.kept.length + count];
        System.arraycopy(link.kept, 0, bytes, 0, link.kept.length);
        room.flip().get(bytes, link.kept.length, count);
        int at = 0;
        while (bytes.length - at >= 4) {
            int length = ByteBuffer.wrap(bytes, at, 4).getInt();
            if (bytes.length - at - 4 < length) {
                break;
            }
            frame(link, bytes, at + 4, at + 4 + length);
            at += 4 + length;
        }
        link.kept = java.util.Arrays.copyOfRange(bytes, at, bytes.length);
    }

    private void frame(Link link, byte[] bytes, int from, int to) throws IOException {
        switch (bytes[from]) {
            case WorkerProtocol.CALL -> call(link, bytes, from + 1, to);
            case WorkerProtocol.CANCEL -> {
                Answer answer = link.pending.remove(text(bytes, from + 1, to));
                if (answer != null) {
                    answer.givenUp = true;
                    giveUps.incrementAndGet();
                }
            }
            case WorkerProtocol.HEALTH_CHECK -> write(link, FrameEncoder.encode(WorkerProtocol.HEALTH_CHECK, GOOD));
            default -> throw new IOException("letter " + (char) bytes[from]);
        }
    }

    /** Parts follow each other: a line of id, shard, list and length, then so many bytes. */
    private void call(Link link, byte[] bytes, int from, int to) {
        long now = System.nanoTime();
        int at = from;
        while (at < to) {
            int end = at;
            while (bytes[end] != '\n') {
                end++;
            }
            String line = text(bytes, at, end);
            String id = line.substring(0, line.indexOf(' '));
            at = end + 1 + Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
            parts.incrementAndGet();
            received.accept(id);
            long takesNanos = (long) (behaviour.takesS(id, link.worker) * 1e9);
            Answer answer = new Answer(now + takesNanos, link, id);
            link.pending.put(id, answer);
            due.add(answer);
        }
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.US_ASCII);
    }

    private void answerDue() throws IOException {
        long now = System.nanoTime();
        while (!due.isEmpty() && due.peek().dueNanos <= now) {
            Answer answer = due.poll();
            if (!answer.givenUp && answer.link.channel.isOpen()) {
                answer.link.pending.remove(answer.id, answer);
                lateness.recordValue(Math.min(MOST_LATENESS_US, (now - answer.dueNanos) / 1000));
                try {
                    write(answer.link, result(answer.id));
                } catch (IOException e) {
                    end(answer.link);
                }
            }
        }
    }

    private static byte[] result(String id) {
        byte[] line = (id + " good 1 -\n").getBytes(StandardCharsets.US_ASCII);
        byte[] rest = java.util.Arrays.copyOf(line, line.length + VALUE.length);
        System.arraycopy(VALUE, 0, rest, line.length, VALUE.length);
        return FrameEncoder.encode(WorkerProtocol.RESULT, rest);
    }

    private void write(Link link, byte[] bytes) throws IOException {
        ByteBuffer all = ByteBuffer.wrap(bytes);
        if (link.out.isEmpty()) {
            link.channel.write(all);
        }
        if (all.hasRemaining()) {
            link.out.add(all);
            link.key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        }
    }

    private void flush(Link link) throws IOException {
        while (!link.out.isEmpty()) {
            link.channel.write(link.out.peek());
            if (link.out.peek().hasRemaining()) {
                return;
            }
            link.out.remove();
        }
        link.key.interestOps(SelectionKey.OP_READ);
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
