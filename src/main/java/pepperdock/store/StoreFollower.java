package pepperdock.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.config.StoreConfig;
import pepperdock.transport.Connection;
import pepperdock.transport.EventLoop;

/**
 * The follower's part of the store: connects to the leader, reconnects after each loss, catches up, and reports up to
 * which sequence number it holds the log on disk. Used on the event loop's thread only.
 */
final class StoreFollower implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");

    private final StoreConfig config;
    private final EventLoop loop;
    private final Replica replica;
    private final BiConsumer<String, byte[]> watcher;
    /** Null while there is no connection to the leader. */
    private Connection leader;

    private boolean closed;

    /**
     * Connects to the leader in the loop's next iteration; {@code watcher} is notified of each value that is applied.
     */
    StoreFollower(StoreConfig config, EventLoop loop, Replica replica, BiConsumer<String, byte[]> watcher) {
        this.config = config;
        this.loop = loop;
        this.replica = replica;
        this.watcher = watcher;
        loop.execute(this::dial);
    }

    private void dial() {
        if (closed) {
            return;
        }
        loop.connect(config.members().get(config.leader()), config.retryS(), new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection connection) {
                leader = connection;
                connection.start(new LeaderConnection());
                connection.write(FrameEncoder.encode(StorePeerHandler.HELLO, helloPayload()));
            }

            @Override
            public void onFailed() {
                loop.after(config.retryS(), StoreFollower.this::dial);
            }
        });
    }

    private byte[] helloPayload() {
        return (config.self() + ' ' + replica.logId() + ' ' + replica.seq()).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        closed = true;
        if (leader != null) {
            leader.close();
        }
    }

    /** The connection to the leader. */
    private final class LeaderConnection extends StorePeerHandler {

        @Override
        void onFrame(Connection connection, Frame frame) throws IOException {
            if (frame.type() == SNAPSHOT) {
                restore(StoreCodec.snapshot(frame.payload()));
            } else if (frame.type() == ENTRIES) {
                for (StoreEntry entry : StoreCodec.entries(frame.payload())) {
                    append(entry);
                }
            } else {
                throw StoreProtocolException.unexpectedFrame(frame.type());
            }
            byte[] heldSeq =
                    ByteBuffer.allocate(Long.BYTES).putLong(replica.seq()).array();
            connection.write(FrameEncoder.encode(HELD, heldSeq));
        }

        private void restore(StoreCodec.Snapshot snapshot) throws IOException {
            replica.restore(snapshot);
            LOG.log(
                    System.Logger.Level.INFO,
                    "store: installed a snapshot from the leader up to sequence number {0}",
                    snapshot.seq());
            snapshot.values().forEach(watcher);
        }

        private void append(StoreEntry entry) throws IOException {
            // An entry that was written while this member's hello frame was in transit may arrive twice.
            if (entry.seq() > replica.seq()) {
                replica.append(entry);
                watcher.accept(entry.key(), entry.value());
            }
        }

        @Override
        public void onClosed(Connection connection) {
            leader = null;
            if (!closed) {
                LOG.log(System.Logger.Level.WARNING, "store: connection to the leader lost, reconnecting");
                loop.after(config.retryS(), StoreFollower.this::dial);
            }
        }
    }
}
