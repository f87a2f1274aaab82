package pepperdock.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pepperdock.config.StoreConfig;
import pepperdock.transport.EventLoop;

/**
 * The replicated key-value store of the gatherers. One configured member leads and takes writes; a write is acknowledged once a
 * majority of members hold it on disk. Followers dial the leader, say which log they have and how far, and get the missing
 * entries, or a snapshot. There is no election: while the leader is away, reads go on and writes do not.
 *
 * <p>What only a leader does is in {@link StoreLeader}, what only a follower does in {@link StoreFollower}, and the file in
 * {@link Replica}. All of it belongs to the loop's thread.
 */
public final class Store implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");

    private final Replica replica;
    /** One of the two is null, the other is this member's role. */
    private final StoreLeader leader;

    private final StoreFollower follower;
    private final List<BiConsumer<String, byte[]>> watchers = new ArrayList<>();

    /**
     * Opens this member's copy and begins to listen for followers, or to dial the leader.
     *
     * @param config null for a single copy in memory, without peers
     */
    public Store(StoreConfig config, EventLoop loop) throws IOException {
        boolean leads = config == null || config.leads();
        replica = new Replica(
                config == null ? null : config.folder(),
                config == null ? StoreConfig.DEFAULT_SNAPSHOT_EVERY : config.snapshotEvery(),
                leads);
        leader = leads ? new StoreLeader(config, loop, replica) : null;
        follower = leads ? null : new StoreFollower(config, loop, replica, this::notifyWatchers);
    }

    /** Where the leader listens; null on a follower, or without peers. */
    public InetSocketAddress address() {
        return leader == null ? null : leader.address();
    }

    /** Whether this member takes writes. */
    public boolean leads() {
        return leader != null;
    }

    /** The sequence number of the newest entry of this copy. */
    public long version() {
        return replica.seq();
    }

    /** This copy's value; on a follower it may be older than the leader's. Null where there is none. */
    public String get(String key) {
        byte[] value = replica.get(key);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** Notifies of each value that is applied to this copy from now on; a null value is a removal. */
    public void watch(BiConsumer<String, byte[]> watcher) {
        watchers.add(watcher);
    }

    /**
     * Writes a value, or removes the key with null. {@code then} gets true once a majority holds it, and false at once where
     * this member does not lead, or its disk fails. While a majority is away it gets nothing: the write may yet be held.
     */
    public void put(String key, String value, Consumer<Boolean> then) {
        if (!leads()) {
            then.accept(false);
            return;
        }
        StoreEntry entry =
                new StoreEntry(replica.seq() + 1, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8));
        try {
            replica.append(entry);
        } catch (IOException failed) {
            LOG.log(System.Logger.Level.ERROR, "store: write failed: {0}", failed.getMessage());
            then.accept(false);
            return;
        }
        leader.replicate(entry, then);
        notifyWatchers(entry.key(), entry.value());
        leader.acknowledge();
    }

    private void notifyWatchers(String key, byte[] value) {
        watchers.forEach(watcher -> watcher.accept(key, value));
    }

    @Override
    public void close() throws IOException {
        if (leader != null) {
            leader.close();
        }
        if (follower != null) {
            follower.close();
        }
        replica.close();
    }
}
