package pepperdock.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.config.StoreConfig;
import pepperdock.transport.Connection;
import pepperdock.transport.EventLoop;

/**
 * The leader's role: listens for followers, sends them the log, and acknowledges each write once a majority of members hold it
 * on disk. On the loop's thread.
 */
final class StoreLeader implements AutoCloseable {

    /** A follower that has not said yet how far it holds the log. */
    private static final long NOTHING_HELD = -1;

    /** A write that is not acknowledged yet. */
    private record PendingWrite(long seq, Consumer<Boolean> then) {}

    /** Null for a single copy in memory. */
    private final StoreConfig config;

    private final Replica replica;
    /** Null where there is no other member. */
    private final EventLoop.ServerSocketHandle listening;
    /** The last sequence number that each connected follower holds on disk. */
    private final Map<Connection, Long> heldBy = new LinkedHashMap<>();

    private final Map<Connection, String> names = new HashMap<>();
    private final List<PendingWrite> pendingWrites = new ArrayList<>();

    StoreLeader(StoreConfig config, EventLoop loop, Replica replica) throws IOException {
        this.config = config;
        this.replica = replica;
        boolean hasPeers = config != null && config.members().size() > 1;
        listening = !hasPeers
                ? null
                : loop.listen(
                        config.members().get(config.self()),
                        () -> true,
                        connection -> connection.start(new FollowerConnection()));
    }

    /** Where followers connect; null without peers. */
    InetSocketAddress address() {
        return listening == null ? null : listening.address();
    }

    /** Sends an entry, which is on this disk, to all followers; {@code then} gets true once a majority holds it. */
    void replicate(StoreEntry entry, Consumer<Boolean> then) {
        pendingWrites.add(new PendingWrite(entry.seq(), then));
        byte[] frame = FrameEncoder.encode(StorePeerHandler.ENTRIES, StoreCodec.entries(List.of(entry)));
        List.copyOf(heldBy.keySet()).forEach(connection -> connection.write(frame));
    }

    /** Acknowledges the writes that a majority of members, this one among them, hold on disk. */
    void acknowledge() {
        long committed = committedSeq();
        while (!pendingWrites.isEmpty() && pendingWrites.get(0).seq() <= committed) {
            pendingWrites.remove(0).then().accept(true);
        }
    }

    private long committedSeq() {
        int members = config == null ? 1 : config.members().size();
        Map<String, Long> heldByName = new HashMap<>();
        heldBy.forEach((connection, seq) -> heldByName.merge(names.get(connection), seq, Math::max));
        List<Long> held = new ArrayList<>(heldByName.values());
        held.add(replica.seq());
        held.sort((one, other) -> Long.compare(other, one));
        int majority = members / 2 + 1;
        return held.size() < majority ? -1 : held.get(majority - 1);
    }

    @Override
    public void close() {
        if (listening != null) {
            listening.close();
        }
        List.copyOf(heldBy.keySet()).forEach(Connection::close);
        heldBy.clear();
    }

    /** A follower's connection. */
    private final class FollowerConnection extends StorePeerHandler {

        @Override
        void onFrame(Connection connection, Frame frame) throws IOException {
            if (frame.type() == HELLO) {
                onHello(connection, frame);
            } else if (frame.type() == HELD && heldBy.containsKey(connection) && frame.payload().length == Long.BYTES) {
                heldBy.put(connection, ByteBuffer.wrap(frame.payload()).getLong());
                acknowledge();
            } else {
                throw StoreProtocolException.unexpectedFrame(frame.type());
            }
        }

        private void onHello(Connection connection, Frame frame) throws IOException {
            String[] words = new String(frame.payload(), StandardCharsets.UTF_8).split(" ", -1);
            if (words.length != 3 || !config.members().containsKey(words[0]) || words[0].equals(config.self())) {
                throw StoreProtocolException.notAMember();
            }
            String name = words[0];
            String lineage = words[1];
            names.put(connection, name);
            heldBy.put(connection, NOTHING_HELD);
            List<StoreEntry> missing = replica.after(lineage, Long.parseLong(words[2]));
            connection.write(
                    missing == null
                            ? FrameEncoder.encode(SNAPSHOT, StoreCodec.snapshot(replica.snapshot()))
                            : FrameEncoder.encode(ENTRIES, StoreCodec.entries(missing)));
        }

        @Override
        public void onClosed(Connection connection) {
            heldBy.remove(connection);
            names.remove(connection);
        }
    }
}
