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
 * The replicated key-value store of the gatherers. One configured member is the leader and accepts writes; a write is
 * acknowledged once a majority of members hold it on disk. Followers connect to the leader, report which log they have
 * and its last sequence number, and receive the missing entries or a snapshot. There is no election: while the leader
 * is unavailable, values can be read but not written.
 *
 * <p>{@link StoreLeader} has the leader's part, {@link StoreFollower} the follower's, and {@link Replica} the copy and
 * its file. All of them are used on the event loop's thread only.
 */
public final class Store implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");

    private final Replica replica;
    /** Null on a follower; exactly one of {@code leader} and {@code follower} is not null. */
    private final StoreLeader leader;

    private final StoreFollower follower;
    private final List<BiConsumer<String, byte[]>> watchers = new ArrayList<>();

    /**
     * Opens this member's copy. The leader starts to listen for followers; a follower starts to connect to the leader.
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

    /** Returns the address on which the leader listens; null on a follower or without peers. */
    public InetSocketAddress address() {
        return leader == null ? null : leader.address();
    }

    /** Returns whether this member is the leader, which accepts writes. */
    public boolean leads() {
        return leader != null;
    }

    /** Returns the sequence number of the newest entry of this copy. */
    public long version() {
        return replica.seq();
    }

    /**
     * Returns the value of a key in this copy, which on a follower may be older than the leader's; null if there is
     * none.
     */
    public String get(String key) {
        byte[] value = replica.get(key);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /**
     * Registers a watcher that is called for each value applied to this copy from now on; a null value is a removal.
     */
    public void watch(BiConsumer<String, byte[]> watcher) {
        watchers.add(watcher);
    }

    /**
     * Writes a value, or removes the key if the value is null. {@code then} receives true once a majority of members
     * hold the write on disk, and false at once if this member is not the leader or its disk fails. While no majority
     * is reachable, {@code then} is not called, as the write may still be replicated later.
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
            LOG.log(System.Logger.Level.ERROR, "store: could not append a write to the log: {0}", failed.getMessage());
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
