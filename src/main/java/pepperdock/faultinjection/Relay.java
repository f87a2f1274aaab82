package pepperdock.faultinjection;

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
import pepperdock.faultinjection.LinkFaults.Pair;

/**
 * The sockets between members: for each ordered pair an address of its own, where what comes is handed on to the receiver's
 * own address, or not, as {@link LinkFaults} says. One thread with one selector owns all of it; {@link #execute} hands it work.
 *
 * <p>Member number k is at 127.B.0.k, and what it sends to member m goes to 127.B.k.m at the same port. A stream belongs to
 * the pair that opened it one way, and to the pair the other way round for the way back. Where a stream stands, its bytes
 * wait in the kernel; a stream opened meanwhile is accepted, since the kernel does so, and led on afterwards.
 */
final class Relay implements AutoCloseable {

    private static final int DATAGRAM_MOST = 65_507;
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

    /** What a key has attached: called when it is ready. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private final int block;
    private final LinkFaults links = new LinkFaults();
    private final Random chance;
    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingDouble(Delayed::due).thenComparingLong(Delayed::no));
    private final Map<String, List<SelectableChannel>> into = new HashMap<>();
    private final Map<String, List<Laid>> laid = new HashMap<>();
    private final Set<RelayStream> streams = new LinkedHashSet<>();
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

    void on(int number, LinkFaults.Fault fault) {
        execute(() -> {
            links.on(number, fault);
            List.copyOf(streams).forEach(RelayStream::look);
        });
    }

    void off(int number) {
        execute(() -> {
            links.off(number);
            List.copyOf(streams).forEach(RelayStream::look);
        });
    }

    void reset(Set<Pair> pairs) {
        execute(() -> List.copyOf(streams).stream().filter(s -> s.of(pairs)).forEach(RelayStream::reset));
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

    Traffic traffic(String member) {
        return traffic.computeIfAbsent(member, m -> new Traffic());
    }

    static double now() {
        return System.nanoTime() / 1e9;
    }

    void later(double seconds, Runnable then) {
        if (seconds <= 0) {
            then.run();
        } else {
            delayed.add(new Delayed(now() + seconds, count++, then));
        }
    }

    LinkFaults links() {
        return links;
    }

    Selector selector() {
        return selector;
    }

    void ended(RelayStream stream) {
        streams.remove(stream);
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
            Traffic sent = traffic(pair.from());
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
            traffic(pair.from()).streams++;
            RelayStream s = new RelayStream(this, pair, c, to);
            streams.add(s);
            s.look();
        }
    }

    static void close(SelectableChannel c) {
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
