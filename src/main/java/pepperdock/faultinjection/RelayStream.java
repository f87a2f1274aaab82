package pepperdock.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Set;
import pepperdock.faultinjection.LinkFaults.Effect;
import pepperdock.faultinjection.LinkFaults.Pair;

/** One stream through a {@link Relay}: two halves, each with the links of its way. On the relay's thread. */
final class RelayStream {

    private static final int CHUNK = 1 << 16;
    /** Bytes that one half holds at most; the rest waits in the kernel. */
    private static final int HELD_MOST = 1 << 18;

    private final Relay relay;
    private final InetSocketAddress to;
    private final Half there;
    private final Half back;
    private SocketChannel far;

    RelayStream(Relay relay, Pair pair, SocketChannel near, InetSocketAddress to) {
        this.relay = relay;
        this.to = to;
        there = new Half(this, pair, near);
        back = new Half(this, new Pair(pair.to(), pair.from()), null);
        back.into = near;
    }

    /** Looks anew at what the links let through. */
    void look() {
        try {
            if (far == null) {
                if (relay.links().on(there.pair).cut()
                        || relay.links().on(back.pair).cut()) {
                    return;
                }
                far = SocketChannel.open();
                far.configureBlocking(false);
                far.setOption(StandardSocketOptions.TCP_NODELAY, true);
                far.connect(to);
                far.register(relay.selector(), SelectionKey.OP_CONNECT, (Relay.Ready) key -> connected());
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
            far.register(relay.selector(), 0, (Relay.Ready) key -> moved(back, there, key));
            there.from.register(relay.selector(), 0, (Relay.Ready) key -> moved(there, back, key));
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
        relay.ended(this);
        for (SocketChannel c : new SocketChannel[] {there.from, far}) {
            if (c != null) {
                try {
                    c.setOption(StandardSocketOptions.SO_LINGER, 0);
                } catch (IOException e) {
                    // Closed already.
                }
                Relay.close(c);
            }
        }
    }

    /** Whether it belongs to one of these pairs, one way. */
    boolean of(Set<Pair> pairs) {
        return pairs.contains(there.pair);
    }

    void shut() {
        if (there.shut && back.shut) {
            relay.ended(this);
            Relay.close(there.from);
            Relay.close(far);
        }
    }

    private record Chunk(double due, ByteBuffer bytes) {}

    /** One way of a stream. */
    private static final class Half {
        private final RelayStream stream;
        private final Pair pair;
        private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
        private SocketChannel from;
        private SocketChannel into;
        private int waiting;
        private double free;
        private boolean ended;
        private boolean shut;

        Half(RelayStream stream, Pair pair, SocketChannel from) {
            this.stream = stream;
            this.pair = pair;
            this.from = from;
        }

        void read() throws IOException {
            Effect e = stream.relay.links().on(pair);
            if (e.streamStands() || ended || waiting >= HELD_MOST) {
                interests();
                return;
            }
            ByteBuffer b = ByteBuffer.allocate(CHUNK);
            int n = from.read(b);
            if (n < 0) {
                ended = true;
            } else if (n > 0) {
                stream.relay.traffic(pair.from()).streamBytes += n;
                free = Math.max(free, Relay.now()) + n / e.rate();
                double due = free + e.delay();
                chunks.add(new Chunk(due, b.flip()));
                waiting += n;
            }
            pump();
        }

        /** Writes what is due, unless the stream stands. */
        void pump() throws IOException {
            while (!chunks.isEmpty() && !stream.relay.links().on(pair).streamStands()) {
                Chunk first = chunks.peek();
                double wait = first.due() - Relay.now();
                if (wait > 0) {
                    stream.relay.later(wait, stream::look);
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
            boolean stands = stream.relay.links().on(pair).streamStands();
            set(from, SelectionKey.OP_READ, !stands && !ended && waiting < HELD_MOST);
            set(
                    into,
                    SelectionKey.OP_WRITE,
                    !stands && !chunks.isEmpty() && chunks.peek().due() <= Relay.now());
        }

        private void set(SocketChannel c, int bit, boolean on) {
            SelectionKey key = c.keyFor(stream.relay.selector());
            if (key != null && key.isValid()) {
                key.interestOps(on ? key.interestOps() | bit : key.interestOps() & ~bit);
            }
        }
    }
}
