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
 * The leader's part of the store: listens for followers, sends them the log, and acknowledges each write once a
 * majority of members hold it on disk. Used on the event loop's thread only.
 */
final class StoreLeader implements AutoCloseable {

    /** Value for a follower that has not yet reported up to where it holds the log. */
    private static final long NO_SEQ_REPORTED = -1;

    /** A write that is not yet acknowledged. */
    private record PendingWrite(long seq, Consumer<Boolean> then) {}

    /** Null for a single copy in memory. */
    private final StoreConfig config;

    private final Replica replica;
    /** Null if there is no other member. */
    private final EventLoop.ServerSocketHandle serverSocket;
    /** The last sequence number that each connected follower holds on disk. */
    private final Map<Connection, Long> heldSeqs = new LinkedHashMap<>();

    private final Map<Connection, String> followerNames = new HashMap<>();
    private final List<PendingWrite> pendingWrites = new ArrayList<>();

    StoreLeader(StoreConfig config, EventLoop loop, Replica replica) throws IOException {
        this.config = config;
        this.replica = replica;
        boolean hasPeers = config != null && config.members().size() > 1;
        serverSocket = !hasPeers
                ? null
                : loop.listen(
                        config.members().get(config.self()),
                        () -> true,
                        connection -> connection.start(new FollowerConnection()));
    }

    /** Returns the address to which followers connect; null without peers. */
    InetSocketAddress address() {
        return serverSocket == null ? null : serverSocket.address();
    }

    /**
     * Sends an entry, which is already on this member's disk, to all followers; {@code then} receives true once a
     * majority of members hold it.
     */
    void replicate(StoreEntry entry, Consumer<Boolean> then) {
        pendingWrites.add(new PendingWrite(entry.seq(), then));
        byte[] frame = FrameEncoder.encode(StorePeerHandler.ENTRIES, StoreCodec.entries(List.of(entry)));
        List.copyOf(heldSeqs.keySet()).forEach(connection -> connection.write(frame));
    }

    /** Acknowledges the writes that a majority of members, including this one, hold on disk. */
    void acknowledge() {
        long committed = committedSeq();
        while (!pendingWrites.isEmpty() && pendingWrites.get(0).seq() <= committed) {
            pendingWrites.remove(0).then().accept(true);
        }
    }

    /** Returns the last sequence number that a majority of members hold on disk; -1 if there is no majority. */
    private long committedSeq() {
        int members = config == null ? 1 : config.members().size();
        Map<String, Long> heldSeqsByName = new HashMap<>();
        heldSeqs.forEach((connection, seq) -> heldSeqsByName.merge(followerNames.get(connection), seq, Math::max));
        List<Long> sortedSeqs = new ArrayList<>(heldSeqsByName.values());
        sortedSeqs.add(replica.seq());
        sortedSeqs.sort((left, right) -> Long.compare(right, left));
        int majority = members / 2 + 1;
        return sortedSeqs.size() < majority ? -1 : sortedSeqs.get(majority - 1);
    }

    @Override
    public void close() {
        if (serverSocket != null) {
            serverSocket.close();
        }
        List.copyOf(heldSeqs.keySet()).forEach(Connection::close);
        heldSeqs.clear();
    }

    /** The connection of one follower. */
    private final class FollowerConnection extends StorePeerHandler {

        @Override
        void onFrame(Connection connection, Frame frame) throws IOException {
            if (frame.type() == HELLO) {
                onHello(connection, frame);
            } else if (frame.type() == HELD
                    && heldSeqs.containsKey(connection)
                    && frame.payload().length == Long.BYTES) {
                heldSeqs.put(connection, ByteBuffer.wrap(frame.payload()).getLong());
                acknowledge();
            } else {
                throw StoreProtocolException.unexpectedFrame(frame.type());
            }
        }

        private void onHello(Connection connection, Frame frame) throws IOException {
            String[] fields = new String(frame.payload(), StandardCharsets.UTF_8).split(" ", -1);
            if (fields.length != 3 || !config.members().containsKey(fields[0]) || fields[0].equals(config.self())) {
                throw StoreProtocolException.notAMember();
            }
            String name = fields[0];
            String logId = fields[1];
            followerNames.put(connection, name);
            heldSeqs.put(connection, NO_SEQ_REPORTED);
            List<StoreEntry> missing = replica.after(logId, Long.parseLong(fields[2]));
            connection.write(
                    missing == null
                            ? FrameEncoder.encode(SNAPSHOT, StoreCodec.snapshotForPeer(replica.snapshot()))
                            : FrameEncoder.encode(ENTRIES, StoreCodec.entries(missing)));
        }

        @Override
        public void onClosed(Connection connection) {
            heldSeqs.remove(connection);
            followerNames.remove(connection);
        }
    }
}
