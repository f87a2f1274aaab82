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
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.codec.frame.Frames;
import pepperdock.config.StoreConfig;
import pepperdock.transport.Connection;
import pepperdock.transport.Loop;

/**
 * The replicated store. One configured member leads and takes writes; a write is acknowledged once a majority of members
 * hold it on disk. Followers dial the leader, say which log they have and how far, and get what is missing, or a
 * snapshot. There is no election: while the leader is away, reads go on and writes do not.
 */
public final class Store implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");
    private static final int FRAME_MOST = 16 << 20;
    private static final char HELLO = 'h';
    private static final char SNAPSHOT = 's';
    private static final char ENTRIES = 'e';
    private static final char HELD = 'a';
    private static final String LETTERS = "" + HELLO + SNAPSHOT + ENTRIES + HELD;

    private record Pending(long seq, Consumer<Boolean> then) {}

    private final StoreConfig config;
    private final Loop loop;
    private final Replica replica;
    private final Loop.Listening listening;
    private final Map<Connection, Long> followers = new LinkedHashMap<>();
    private final Map<Connection, String> names = new HashMap<>();
    private final List<Pending> pending = new ArrayList<>();
    private final List<BiConsumer<String, byte[]>> watchers = new ArrayList<>();
    private boolean closed;

    /** Without a configuration: one copy, in memory, with no peers. */
    public Store(StoreConfig config, Loop loop) throws IOException {
        this.config = config;
        this.loop = loop;
        boolean leads = config == null || config.leads();
        replica = new Replica(
                config == null ? null : config.folder(), config == null ? 1000 : config.snapshotEvery(), leads);
        boolean serves = config != null && leads && config.members().size() > 1;
        listening = !serves
                ? null
                : loop.listen(config.members().get(config.self()), () -> true, c -> c.start(new Follower()));
        if (!leads) {
            loop.execute(this::dial);
        }
    }

    /** Where the leader listens; null on a follower, or with no peers. */
    public InetSocketAddress address() {
        return listening == null ? null : listening.address();
    }

    public boolean leads() {
        return config == null || config.leads();
    }

    /** How far this copy's log goes. */
    public long version() {
        return replica.seq();
    }

    /** This copy's value; on a follower it may be older than the leader's. Null where there is none. */
    public String get(String key) {
        byte[] value = replica.get(key);
        return value == null ? null : new String(value, StandardCharsets.UTF_8);
    }

    /** Tells of each value that comes to stand in this copy from now on. */
    public void watch(BiConsumer<String, byte[]> watcher) {
        watchers.add(watcher);
    }

    /**
     * Writes a value, or removes the key with null. True is told once a majority holds it; false at once where this
     * member does not lead, or its disk fails. While a majority is away nothing is told: the write may yet be held.
     */
    public void put(String key, String value, Consumer<Boolean> then) {
        if (!leads()) {
            then.accept(false);
            return;
        }
        StoreEntry e =
                new StoreEntry(replica.seq() + 1, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8));
        try {
            replica.append(e);
        } catch (IOException failed) {
            LOG.log(System.Logger.Level.ERROR, "store: write failed: {0}", failed.getMessage());
            then.accept(false);
            return;
        }
        pending.add(new Pending(e.seq(), then));
        byte[] frame = Frames.frame(ENTRIES, StoreCodec.entries(List.of(e)));
        List.copyOf(followers.keySet()).forEach(c -> c.write(frame));
        told(e.key(), e.value());
        acknowledge();
    }

    /** What a majority holds is what so many members at least have reached, this one among them. */
    private void acknowledge() {
        int members = config == null ? 1 : config.members().size();
        Map<String, Long> held = new HashMap<>();
        followers.forEach((c, seq) -> held.merge(names.get(c), seq, Math::max));
        List<Long> reached = new ArrayList<>(held.values());
        reached.add(replica.seq());
        reached.sort((a, b) -> Long.compare(b, a));
        int majority = members / 2 + 1;
        long safe = reached.size() < majority ? -1 : reached.get(majority - 1);
        while (!pending.isEmpty() && pending.get(0).seq() <= safe) {
            pending.remove(0).then().accept(true);
        }
    }

    private void told(String key, byte[] value) {
        watchers.forEach(w -> w.accept(key, value));
    }

    @Override
    public void close() throws IOException {
        closed = true;
        if (listening != null) {
            listening.close();
        }
        List.copyOf(followers.keySet()).forEach(Connection::close);
        followers.clear();
        if (leader != null) {
            leader.close();
        }
        replica.close();
    }

    // ---- The wire ------------------------------------------------------------

    /** A connection between members; whatever is malformed ends that connection only. */
    private abstract static class Peer implements Connection.Handler {
        private final FrameParser parser = new FrameParser(FRAME_MOST, LETTERS);

        abstract void frame(Connection c, Frame f) throws IOException;

        @Override
        public void received(Connection c) {
            try {
                while (!c.closed()) {
                    int used = parser.feed(c.bytes(), c.from(), c.to());
                    if (used == 0) {
                        return;
                    }
                    c.consume(used);
                    frame(c, parser.take());
                }
            } catch (FrameException | IOException | IllegalArgumentException e) {
                LOG.log(System.Logger.Level.WARNING, "store: peer cut off: {0}", e.getMessage());
                c.close();
                ended(c);
            }
        }
    }

    /** The leader's side of a follower's connection. */
    private final class Follower extends Peer {

        @Override
        void frame(Connection c, Frame f) throws IOException {
            if (f.letter() == HELLO) {
                String[] words = new String(f.rest(), StandardCharsets.UTF_8).split(" ", -1);
                if (words.length != 3 || !config.members().containsKey(words[0]) || words[0].equals(config.self())) {
                    throw new IOException("not a member's hello");
                }
                names.put(c, words[0]);
                followers.put(c, -1L);
                List<StoreEntry> missing = replica.after(words[1], Long.parseLong(words[2]));
                c.write(
                        missing == null
                                ? Frames.frame(SNAPSHOT, StoreCodec.snapshot(replica.snapshot()))
                                : Frames.frame(ENTRIES, StoreCodec.entries(missing)));
            } else if (f.letter() == HELD && followers.containsKey(c) && f.rest().length == 8) {
                followers.put(c, ByteBuffer.wrap(f.rest()).getLong());
                acknowledge();
            } else {
                throw new IOException("unexpected frame " + f.letter());
            }
        }

        @Override
        public void ended(Connection c) {
            followers.remove(c);
            names.remove(c);
        }
    }

    private Connection leader;

    private void dial() {
        if (closed) {
            return;
        }
        loop.dial(config.members().get(config.leader()), config.retryS(), new Loop.Dialled() {
            @Override
            public void up(Connection c) {
                leader = c;
                c.start(new Leader());
                c.write(Frames.frame(
                        HELLO,
                        (config.self() + ' ' + replica.lineage() + ' ' + replica.seq())
                                .getBytes(StandardCharsets.UTF_8)));
            }

            @Override
            public void failed() {
                loop.after(config.retryS(), Store.this::dial);
            }
        });
    }

    /** A follower's side: takes what the leader sends and says how far it holds it. */
    private final class Leader extends Peer {

        @Override
        void frame(Connection c, Frame f) throws IOException {
            if (f.letter() == SNAPSHOT) {
                StoreCodec.Snapshot s = StoreCodec.snapshot(f.rest());
                replica.restore(s);
                LOG.log(System.Logger.Level.INFO, "store: took a snapshot up to {0}", s.seq());
                s.values().forEach(Store.this::told);
            } else if (f.letter() == ENTRIES) {
                for (StoreEntry e : StoreCodec.entries(f.rest())) {
                    // An entry may come twice when it was written while this member said hello.
                    if (e.seq() > replica.seq()) {
                        replica.append(e);
                        told(e.key(), e.value());
                    }
                }
            } else {
                throw new IOException("unexpected frame " + f.letter());
            }
            c.write(Frames.frame(
                    HELD, ByteBuffer.allocate(8).putLong(replica.seq()).array()));
        }

        @Override
        public void ended(Connection c) {
            leader = null;
            if (!closed) {
                LOG.log(System.Logger.Level.WARNING, "store: leader lost, dialling again");
                loop.after(config.retryS(), Store.this::dial);
            }
        }
    }
}
