package pepperdock.simulation.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * One direction of a connection: delivers messages in order and at a limited rate, and loses none while both ends
 * exist. Messages that a cut stops are held until the cut heals.
 */
final class ByteStream<M> {

    /** The rate of one stream: 8 Mbit/s. */
    private static final int BYTES_PER_MILLISECOND = 1000;

    private final Timeline time;
    private final Network network;
    private final Place from;
    private final Place to;
    private final Consumer<M> arrived;
    private final Deque<M> held = new ArrayDeque<>();
    private long sentUntil;
    private long lastArrival;
    private boolean closed;

    ByteStream(Timeline time, Network network, Place from, Place to, Consumer<M> arrived) {
        this.time = time;
        this.network = network;
        this.from = from;
        this.to = to;
        this.arrived = arrived;
    }

    void send(M message, int bytes) {
        sentUntil = Math.max(sentUntil, time.now()) + (bytes + BYTES_PER_MILLISECOND - 1) / BYTES_PER_MILLISECOND;
        lastArrival = Math.max(lastArrival, sentUntil + network.delay(from, to));
        time.at(lastArrival, () -> arrive(message));
    }

    void close() {
        closed = true;
        held.clear();
    }

    private void arrive(M message) {
        if (closed) {
            return;
        }
        if (!held.isEmpty() || !network.passes(from, to)) {
            held.addLast(message);
            if (held.size() == 1) {
                network.whenHealed(this::release);
            }
            return;
        }
        arrived.accept(message);
    }

    private void release() {
        if (!network.passes(from, to)) {
            network.whenHealed(this::release);
            return;
        }
        while (!held.isEmpty() && !closed) {
            arrived.accept(held.removeFirst());
        }
    }
}
