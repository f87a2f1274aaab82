package pepperdock.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import pepperdock.lab.fleet.Links.Effect;
import pepperdock.lab.fleet.Links.Pair;

/**
 * The sockets between members: for each ordered pair an address of its own, where what comes is handed on to the receiver's
 * own address, or not, as {@link Links} says. One thread with one selector owns all of it; {@link #execute} hands it work.
 *
 * <p>Member number k is at 127.B.0.k, and what it sends to member m goes to 127.B.k.m at the same port. A stream belongs to
 * the pair that opened it one way, and to the pair the other way round for the way back. Where a stream stands, its bytes
 * wait in the kernel; a stream opened meanwhile is accepted, since the kernel does so, and led on afterwards.
 */
final class Relay implements AutoCloseable {

    private static final int DATAGRAM_MOST = 65_507;
    private static final int CHUNK = 1 << 16;
    private static final int HELD_BY_STREAM = 1 << 18;
    private static final long HELD_MOST = 64L << 20;
    private static final int STREAMS_MOST = 5000;

    /** What a member sent through here, and what became of it. */
    static final class Traffic {
        long datagrams;
        long bytes;
        long lost;
        long streams;
        long streamBytes;
    }

    /** A port to lay links to, for streams or for datagrams. */
    record Laid(int number, boolean stream) {}

    private record Delayed(double due, long no, Runnable then) {}

    private interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private final int block;
    private final Links links = new Links();
    private final Random chance;
    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingDouble(Delayed::due).thenComparingLong(Delayed::no));
    private final Map<String, List<SelectableChannel>> into = new HashMap<>();
    private final Map<String, List<Laid>> laid = new HashMap<>();
    private final Set<Stream> streams = new LinkedHashSet<>();
    private final Map<String, Traffic> traffic = new HashMap<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(DATAGRAM_MOST);
    private long held;
    private long count;
    private volatile boolean closed;
    private volatile Exception failed;

    /** {@code block} is the second number of all addresses. */
    Relay(int block, long seed) throws IOException {
        this.block = block;
        chance = new Random(seed);
        selector = Selector.open();
        thread = new Thread(this::run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    static String host(int block, int member) {
        return "127." + block + ".0." + member;
    }

    static String host(int block, int from, int to) {
        return "127." + block + '.' + from + '.' + to;
    }

    static int number(String member) {
        return Integer.parseInt(member.substring(1));
    }

    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    void on(int number, Links.Fault fault) {
        execute(() -> {
            links.on(number, fault);
            List.copyOf(streams).forEach(Stream::look);
        });
    }

    void off(int number) {
        execute(() -> {
            links.off(number);
            List.copyOf(streams).forEach(Stream::look);
        });
    }

    void reset(Set<Pair> pairs) {
        execute(() -> List.copyOf(streams).stream()
                .filter(s -> pairs.contains(s.there.pair))
                .forEach(Stream::reset));
    }

    /** Each member's traffic since the last call, given on the relay's thread. */
    void taken(java.util.function.Consumer<Map<String, Traffic>> to) {
        execute(() -> {
            to.accept(Map.copyOf(traffic));
            traffic.clear();
        });
    }

    /**
     * Lays links into one member from all others, at these ports; those that lay there at other ports are taken up. Called by
     * one thread only.
     */
    void lay(String to, List<String> members, List<Laid> ports) throws IOException {
        if (ports.equals(laid.put(to, List.copyOf(ports)))) {
            return;
        }
        List<SelectableChannel> opened = new ArrayList<>();
        for (String from : members) {
            if (from.equals(to)) {
                continue;
            }
            Pair pair = new Pair(from, to);
            for (Laid port : ports) {
                InetSocketAddress here = new InetSocketAddress(host(block, number(from), number(to)), port.number());
                InetSocketAddress there = new InetSocketAddress(host(block, number(to)), port.number());
                SelectableChannel channel;
                Ready ready;
                if (port.stream()) {
                    ServerSocketChannel server = ServerSocketChannel.open();
                    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                    server.bind(here, 512);
                    channel = server;
                    ready = key -> accept(server, pair, there);
                } else {
                    DatagramChannel socket = DatagramChannel.open();
                    socket.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 19);
                    socket.bind(here);
                    channel = socket;
                    ready = key -> receive(socket, pair, there);
                }
                opened.add(channel);
                channel.configureBlocking(false);
                execute(() -> {
                    try {
                        channel.register(
                                selector,
                                channel instanceof DatagramChannel ? SelectionKey.OP_READ : SelectionKey.OP_ACCEPT,
                                ready);
                    } catch (IOException e) {
                        close(channel);
                    }
                });
            }
        }
        execute(() -> {
            List<SelectableChannel> before = into.put(to, opened);
            if (before != null) {
                before.forEach(Relay::close);
            }
        });
    }

    private Traffic of(String member) {
        return traffic.computeIfAbsent(member, m -> new Traffic());
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private void later(double seconds, Runnable then) {
        if (seconds <= 0) {
            then.run();
        } else {
            delayed.add(new Delayed(now() + seconds, count++, then));
        }
    }

    private void run() {
        while (!closed) {
            try {
                double wait = delayed.isEmpty() ? 1 : delayed.peek().due() - now();
                if (wait > 0.0005) {
                    selector.select((long) Math.ceil(wait * 1e3));
                } else {
                    selector.selectNow();
                }
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid()) {
                        ((Ready) key.attachment()).ready(key);
                    }
                }
                selector.selectedKeys().clear();
                while (!delayed.isEmpty() && delayed.peek().due() <= now()) {
                    delayed.poll().then().run();
                }
            } catch (IOException | RuntimeException e) {
                failed = e;
                return;
            }
        }
    }

    /** Fails where the relay's thread has: nothing gets through any more, and a run that goes on would judge that. */
    void check() throws IOException {
        if (failed != null) {
            throw new IOException("the relay can't go on", failed);
        }
    }

    // ---- Datagrams ------------------------------------------------------------

    private void receive(DatagramChannel socket, Pair pair, InetSocketAddress to) throws IOException {
        scratch.clear();
        while (socket.receive(scratch) != null) {
            scratch.flip();
            Traffic sent = of(pair.from());
            sent.datagrams++;
            sent.bytes += scratch.remaining();
            double[] copies = links.on(pair).fate(chance);
            if (copies.length == 0 || held > HELD_MOST) {
                sent.lost++;
            } else if (copies.length == 1 && copies[0] == 0) {
                send(socket, scratch, to);
            } else {
                byte[] bytes = new byte[scratch.remaining()];
                scratch.get(bytes);
                for (double in : copies) {
                    held += bytes.length;
                    later(in, () -> {
                        held -= bytes.length;
                        send(socket, ByteBuffer.wrap(bytes), to);
                    });
                }
            }
            scratch.clear();
        }
    }

    private static void send(DatagramChannel socket, ByteBuffer bytes, InetSocketAddress to) {
        try {
            if (socket.isOpen()) {
                socket.send(bytes, to);
            }
        } catch (IOException e) {
            // As on any network: lost, and nobody told.
        }
    }

    // ---- Streams ------------------------------------------------------------

    private void accept(ServerSocketChannel server, Pair pair, InetSocketAddress to) throws IOException {
        for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
            if (streams.size() >= STREAMS_MOST) {
                close(c);
                continue;
            }
            c.configureBlocking(false);
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            of(pair.from()).streams++;
            Stream s = new Stream(pair, c, to);
            streams.add(s);
            s.look();
        }
    }

    /** One stream through here: two halves, each with the links of its way. */
    private final class Stream {
        private final InetSocketAddress to;
        private final Half there;
        private final Half back;
        private SocketChannel far;

        Stream(Pair pair, SocketChannel near, InetSocketAddress to) {
            this.to = to;
            there = new Half(this, pair, near);
            back = new Half(this, new Pair(pair.to(), pair.from()), null);
            back.into = near;
        }

        /** Looks anew at what the links let through. */
        void look() {
            try {
                if (far == null) {
                    if (links.on(there.pair).cut() || links.on(back.pair).cut()) {
                        return;
                    }
                    far = SocketChannel.open();
                    far.configureBlocking(false);
                    far.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    far.connect(to);
                    far.register(selector, SelectionKey.OP_CONNECT, (Ready) key -> connected());
                } else if (far.isConnected()) {
                    there.pump();
                    back.pump();
                }
            } catch (IOException e) {
                reset();
            }
        }

        private void connected() {
            try {
                far.finishConnect();
                there.into = far;
                back.from = far;
                far.register(selector, 0, (Ready) key -> moved(back, there, key));
                there.from.register(selector, 0, (Ready) key -> moved(there, back, key));
                look();
            } catch (IOException e) {
                reset();
            }
        }

        /** A channel that one half reads and the other writes is ready. */
        private void moved(Half reads, Half writes, SelectionKey key) {
            try {
                if (key.isReadable()) {
                    reads.read();
                }
                if (key.isValid() && key.isWritable()) {
                    writes.pump();
                }
            } catch (IOException e) {
                reset();
            }
        }

        /** Ends both ways as a broken connection does. */
        void reset() {
            streams.remove(this);
            for (SocketChannel c : new SocketChannel[] {there.from, far}) {
                if (c != null) {
                    try {
                        c.setOption(StandardSocketOptions.SO_LINGER, 0);
                    } catch (IOException e) {
                        // Closed already.
                    }
                    close(c);
                }
            }
        }

        void shut() {
            if (there.shut && back.shut) {
                streams.remove(this);
                close(there.from);
                close(far);
            }
        }
    }

    private record Chunk(double due, ByteBuffer bytes) {}

    /** One way of a stream. */
    private final class Half {
        private final Stream stream;
        private final Pair pair;
        private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
        private SocketChannel from;
        private SocketChannel into;
        private int waiting;
        private double free;
        private boolean ended;
        private boolean shut;

        Half(Stream stream, Pair pair, SocketChannel from) {
            this.stream = stream;
            this.pair = pair;
            this.from = from;
        }

        void read() throws IOException {
            Effect e = links.on(pair);
            if (e.streamStands() || ended || waiting >= HELD_BY_STREAM) {
                interests();
                return;
            }
            ByteBuffer b = ByteBuffer.allocate(CHUNK);
            int n = from.read(b);
            if (n < 0) {
                ended = true;
            } else if (n > 0) {
                of(pair.from()).streamBytes += n;
                free = Math.max(free, now()) + n / e.rate();
                double due = free + e.delay();
                chunks.add(new Chunk(due, b.flip()));
                waiting += n;
            }
            pump();
        }

        /** Writes what is due, unless the stream stands. */
        void pump() throws IOException {
            while (!chunks.isEmpty() && !links.on(pair).streamStands()) {
                Chunk first = chunks.peek();
                double wait = first.due() - now();
                if (wait > 0) {
                    later(wait, stream::look);
                    break;
                }
                waiting -= into.write(first.bytes());
                if (first.bytes().hasRemaining()) {
                    break;
                }
                chunks.poll();
            }
            if (ended && chunks.isEmpty() && !shut) {
                shut = true;
                into.shutdownOutput();
                stream.shut();
            }
            interests();
        }

        /** What to be woken for: both channels serve two halves, so each half sets only its own bits. */
        private void interests() {
            boolean stands = links.on(pair).streamStands();
            set(from, SelectionKey.OP_READ, !stands && !ended && waiting < HELD_BY_STREAM);
            set(
                    into,
                    SelectionKey.OP_WRITE,
                    !stands && !chunks.isEmpty() && chunks.peek().due() <= now());
        }

        private void set(SocketChannel c, int bit, boolean on) {
            SelectionKey key = c.keyFor(selector);
            if (key != null && key.isValid()) {
                key.interestOps(on ? key.interestOps() | bit : key.interestOps() & ~bit);
            }
        }
    }

    private static void close(SelectableChannel c) {
        try {
            c.close();
        } catch (IOException e) {
            // Nothing is to be done about it, and nothing depends on it.
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(5000);
            for (SelectionKey key : selector.keys()) {
                close(key.channel());
            }
            selector.close();
        } catch (IOException e) {
            // The program ends with it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
