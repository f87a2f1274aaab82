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

/**
 * One stream through a {@link Relay}: one {@link Direction} for each way, with its link faults. Used on the thread of
 * the relay only.
 */
final class RelayStream {

    private static final int CHUNK_BYTES = 1 << 16;
    /** Maximum number of bytes that one direction holds; further ones wait in the kernel. */
    private static final int MAX_HELD_BYTES = 1 << 18;

    private final Relay relay;
    private final InetSocketAddress to;
    private final Direction forward;
    private final Direction backward;
    private SocketChannel receiverChannel;

    RelayStream(Relay relay, Pair pair, SocketChannel senderChannel, InetSocketAddress to) {
        this.relay = relay;
        this.to = to;
        forward = new Direction(this, pair, senderChannel);
        backward = new Direction(this, new Pair(pair.to(), pair.from()), null);
        backward.into = senderChannel;
    }

    /** Connects or continues the stream as far as the link faults allow now. */
    void update() {
        try {
            if (receiverChannel == null) {
                if (relay.links().effectOn(forward.pair).cut()
                        || relay.links().effectOn(backward.pair).cut()) {
                    return;
                }
                receiverChannel = SocketChannel.open();
                receiverChannel.configureBlocking(false);
                receiverChannel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                receiverChannel.connect(to);
                receiverChannel.register(relay.selector(), SelectionKey.OP_CONNECT, (Relay.Ready) key -> onConnected());
            } else if (receiverChannel.isConnected()) {
                forward.pump();
                backward.pump();
            }
        } catch (IOException e) {
            reset();
        }
    }

    private void onConnected() {
        try {
            receiverChannel.finishConnect();
            forward.into = receiverChannel;
            backward.from = receiverChannel;
            receiverChannel.register(relay.selector(), 0, (Relay.Ready) key -> onReady(backward, forward, key));
            forward.from.register(relay.selector(), 0, (Relay.Ready) key -> onReady(forward, backward, key));
            update();
        } catch (IOException e) {
            reset();
        }
    }

    /** Handles a ready channel, which one direction reads and the other writes. */
    private void onReady(Direction reading, Direction writing, SelectionKey key) {
        try {
            if (key.isReadable()) {
                reading.read();
            }
            if (key.isValid() && key.isWritable()) {
                writing.pump();
            }
        } catch (IOException e) {
            reset();
        }
    }

    /** Resets the stream in both directions, like a broken connection. */
    void reset() {
        relay.remove(this);
        for (SocketChannel channel : new SocketChannel[] {forward.from, receiverChannel}) {
            if (channel != null) {
                try {
                    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                } catch (IOException e) {
                    // The channel is closed already.
                }
                Relay.close(channel);
            }
        }
    }

    /** Returns whether the stream was opened on one of these pairs. */
    boolean belongsTo(Set<Pair> pairs) {
        return pairs.contains(forward.pair);
    }

    void closeIfBothShut() {
        if (forward.shut && backward.shut) {
            relay.remove(this);
            Relay.close(forward.from);
            Relay.close(receiverChannel);
        }
    }

    private record Chunk(double due, ByteBuffer bytes) {}

    /** One direction of a stream. */
    private static final class Direction {
        private final RelayStream stream;
        private final Pair pair;
        private final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
        private SocketChannel from;
        private SocketChannel into;
        private int heldBytes;
        private double rateFreeAt;
        private boolean inputEnded;
        private boolean shut;

        Direction(RelayStream stream, Pair pair, SocketChannel from) {
            this.stream = stream;
            this.pair = pair;
            this.from = from;
        }

        void read() throws IOException {
            Effect effect = stream.relay.links().effectOn(pair);
            if (effect.streamBlocked() || inputEnded || heldBytes >= MAX_HELD_BYTES) {
                updateInterests();
                return;
            }
            ByteBuffer buffer = ByteBuffer.allocate(CHUNK_BYTES);
            int count = from.read(buffer);
            if (count < 0) {
                inputEnded = true;
            } else if (count > 0) {
                stream.relay.traffic(pair.from()).streamBytes += count;
                rateFreeAt = Math.max(rateFreeAt, Relay.now()) + count / effect.rate();
                double due = rateFreeAt + effect.delay();
                chunks.add(new Chunk(due, buffer.flip()));
                heldBytes += count;
            }
            pump();
        }

        /** Writes the chunks that are due, unless the stream is blocked. */
        void pump() throws IOException {
            while (!chunks.isEmpty() && !stream.relay.links().effectOn(pair).streamBlocked()) {
                Chunk first = chunks.peek();
                double wait = first.due() - Relay.now();
                if (wait > 0) {
                    stream.relay.schedule(wait, stream::update);
                    break;
                }
                heldBytes -= into.write(first.bytes());
                if (first.bytes().hasRemaining()) {
                    break;
                }
                chunks.poll();
            }
            if (inputEnded && chunks.isEmpty() && !shut) {
                shut = true;
                into.shutdownOutput();
                stream.closeIfBothShut();
            }
            updateInterests();
        }

        /** Updates the interest operations. Both channels serve two directions, so each sets only its own bits. */
        private void updateInterests() {
            boolean blocked = stream.relay.links().effectOn(pair).streamBlocked();
            setInterest(from, SelectionKey.OP_READ, !blocked && !inputEnded && heldBytes < MAX_HELD_BYTES);
            setInterest(
                    into,
                    SelectionKey.OP_WRITE,
                    !blocked && !chunks.isEmpty() && chunks.peek().due() <= Relay.now());
        }

        private void setInterest(SocketChannel channel, int bit, boolean on) {
            SelectionKey key = channel.keyFor(stream.relay.selector());
            if (key != null && key.isValid()) {
                key.interestOps(on ? key.interestOps() | bit : key.interestOps() & ~bit);
            }
        }
    }
}
