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
 * The sockets between members. Each ordered pair has an address of its own; what arrives there is forwarded to the
 * address of the receiver, or dropped, as {@link LinkFaults} determines. One thread with one selector owns everything;
 * {@link #execute} passes work to it.
 *
 * <p>Member number k is at 127.B.0.k, and sends to member m through 127.B.k.m at the same port. A stream belongs to the
 * pair that opened it in one direction, and to the reversed pair in the other. While a stream is blocked, its bytes
 * wait in the kernel. A stream opened meanwhile is accepted, as the kernel would do, and connected to the receiver
 * afterwards.
 */
final class Relay implements AutoCloseable {

    private static final int MAX_DATAGRAM_BYTES = 65_507;
    private static final long MAX_HELD_BYTES = 64L << 20;
    private static final int MAX_STREAMS = 5000;

    /** Counts what a member sent through the relay, and what was lost of it. */
    static final class Traffic {
        long datagrams;
        long bytes;
        long lost;
        long streams;
        long streamBytes;
    }

    /** A port that links lead to, for streams or for datagrams. */
    record RelayPort(int number, boolean stream) {}

    private record Delayed(double due, long sequence, Runnable task) {}

    /** Attachment of a selection key: called when the key is ready. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private final int block;
    private final LinkFaults links = new LinkFaults();
    private final Random random;
    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingDouble(Delayed::due).thenComparingLong(Delayed::sequence));
    private final Map<String, List<SelectableChannel>> listeners = new HashMap<>();
    private final Map<String, List<RelayPort>> openPorts = new HashMap<>();
    private final Set<RelayStream> streams = new LinkedHashSet<>();
    private final Map<String, Traffic> traffic = new HashMap<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
    private long heldBytes;
    private long delayedCount;
    private volatile boolean closed;
    private volatile Exception failure;

    /** Starts a relay; {@code block} is the second byte of all addresses. */
    Relay(int block, long seed) throws IOException {
        this.block = block;
        random = new Random(seed);
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

    void beginFault(int number, LinkFaults.Fault fault) {
        execute(() -> {
            links.begin(number, fault);
            List.copyOf(streams).forEach(RelayStream::update);
        });
    }

    void endFault(int number) {
        execute(() -> {
            links.end(number);
            List.copyOf(streams).forEach(RelayStream::update);
        });
    }

    void reset(Set<Pair> pairs) {
        execute(() -> List.copyOf(streams).stream()
                .filter(stream -> stream.belongsTo(pairs))
                .forEach(RelayStream::reset));
    }

    /** Passes each member's traffic since the last call to the receiver, on the thread of the relay. */
    void takeTraffic(java.util.function.Consumer<Map<String, Traffic>> receiver) {
        execute(() -> {
            receiver.accept(Map.copyOf(traffic));
            traffic.clear();
        });
    }

    /**
     * Opens links into one member from all others at these ports, and closes those at its former ports. Must be called
     * by one thread only.
     */
    void openLinks(String to, List<String> members, List<RelayPort> ports) throws IOException {
        if (ports.equals(openPorts.put(to, List.copyOf(ports)))) {
            return;
        }
        List<SelectableChannel> opened = new ArrayList<>();
        for (String from : members) {
            if (from.equals(to)) {
                continue;
            }
            Pair pair = new Pair(from, to);
            for (RelayPort port : ports) {
                InetSocketAddress local = new InetSocketAddress(host(block, number(from), number(to)), port.number());
                InetSocketAddress receiver = new InetSocketAddress(host(block, number(to)), port.number());
                SelectableChannel channel;
                Ready ready;
                if (port.stream()) {
                    ServerSocketChannel server = ServerSocketChannel.open();
                    server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                    server.bind(local, 512);
                    channel = server;
                    ready = key -> accept(server, pair, receiver);
                } else {
                    DatagramChannel socket = DatagramChannel.open();
                    socket.setOption(StandardSocketOptions.SO_RCVBUF, 1 << 19);
                    socket.bind(local);
                    channel = socket;
                    ready = key -> receive(socket, pair, receiver);
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
            List<SelectableChannel> previous = listeners.put(to, opened);
            if (previous != null) {
                previous.forEach(Relay::close);
            }
        });
    }

    Traffic traffic(String member) {
        return traffic.computeIfAbsent(member, m -> new Traffic());
    }

    static double now() {
        return System.nanoTime() / 1e9;
    }

    void schedule(double seconds, Runnable task) {
        if (seconds <= 0) {
            task.run();
        } else {
            delayed.add(new Delayed(now() + seconds, delayedCount++, task));
        }
    }

    LinkFaults links() {
        return links;
    }

    Selector selector() {
        return selector;
    }

    void remove(RelayStream stream) {
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
                    delayed.poll().task().run();
                }
            } catch (IOException | RuntimeException e) {
                failure = e;
                return;
            }
        }
    }

    /**
     * Throws if the thread of the relay has failed: nothing is forwarded any more, and checkers would judge the effects
     * of that.
     */
    void checkRunning() throws IOException {
        if (failure != null) {
            throw new IOException("the thread of the relay failed", failure);
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
            double[] copies = links.effectOn(pair).arrivalDelays(random);
            if (copies.length == 0 || heldBytes > MAX_HELD_BYTES) {
                sent.lost++;
            } else if (copies.length == 1 && copies[0] == 0) {
                send(socket, scratch, to);
            } else {
                byte[] bytes = new byte[scratch.remaining()];
                scratch.get(bytes);
                for (double delay : copies) {
                    heldBytes += bytes.length;
                    schedule(delay, () -> {
                        heldBytes -= bytes.length;
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
            // Lost without notice, as on any network.
        }
    }

    // ---- Streams ------------------------------------------------------------

    private void accept(ServerSocketChannel server, Pair pair, InetSocketAddress to) throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            if (streams.size() >= MAX_STREAMS) {
                close(channel);
                continue;
            }
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            traffic(pair.from()).streams++;
            RelayStream stream = new RelayStream(this, pair, channel, to);
            streams.add(stream);
            stream.update();
        }
    }

    static void close(SelectableChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing depends on the channel any more.
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
            // The program ends afterwards, which closes everything.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
