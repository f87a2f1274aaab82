package pepperdock.membership.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.codec.frame.Frames;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.MembersConfig;
import pepperdock.core.Clock;
import pepperdock.core.LogRateLimiter;
import pepperdock.events.Events;
import pepperdock.membership.Card;
import pepperdock.membership.Membership;
import pepperdock.membership.Message;
import pepperdock.membership.Output;
import pepperdock.membership.Standing;
import pepperdock.membership.Status;
import pepperdock.membership.View;
import pepperdock.transport.Connection;
import pepperdock.transport.Datagrams;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/**
 * Membership in service: its sockets on the loop, its clock, its log, its events, and where it may be asked. All decisions are
 * {@link Membership}'s. Everything is called on the loop.
 */
public final class Members {

    private static final System.Logger LOG = System.getLogger("pepperdock.membership");
    private static final int FRAME_MOST = 8 << 20;
    private static final char LETTER = 'x';
    private static final int STREAMS_MOST = 16;
    private static final double STREAM_S = 5;
    private static final int ASK_BODY_MOST = 1 << 10;
    private static final int ASKERS_MOST = 16;
    /** Between saying that it leaves and its end, a member says so more often than once. */
    private static final double LEAVING_S = 0.2;

    private final MembersConfig config;
    private final Loop loop;
    private final Events events;
    private final Membership machine;
    private final Datagrams datagrams;
    private final LogRateLimiter notes;
    private final List<Consumer<View.Change>> watchers = new ArrayList<>();
    private int streams;
    private long garbage;
    /** Set on the loop, after the first event is told: what came before is lost, as on a socket that is not open yet. */
    private boolean begun;

    /** Opens what the file's {@code members} says; null where it has none. */
    public static Members open(ConfigReader file, Loop loop, Events events) throws IOException {
        MembersConfig config = MembersConfig.read(file);
        return config == null ? null : new Members(config, loop, events);
    }

    private Members(MembersConfig config, Loop loop, Events events) throws IOException {
        this.config = config;
        this.loop = loop;
        this.events = events;
        SecureRandom random = new SecureRandom();
        String address = Config.text(config.address());
        Card self =
                new Card(config.name(), random.nextLong(), 0, Status.HERE, address, config.zone(), config.machine());
        machine =
                new Membership(config.settings(), config.fleet(), self, config.seeds(), random.nextLong(), loop.now());
        notes = new LogRateLimiter(LOG, loop, "messages of members not taken");
        datagrams = loop.datagrams(config.address(), this::datagram);
        loop.listen(config.address(), () -> begun && streams < STREAMS_MOST, Exchange::new);
        if (config.ask() != null) {
            new HttpServer(loop, config.ask(), ASK_BODY_MOST, () -> ASKERS_MOST, new Asked(this));
        }
        loop.execute(() -> {
            begun = true;
            MemberEvents.begins(events, self, config.settings());
            carryOut();
            tick();
        });
    }

    /** Tells of each change from now on, once and in order, on the loop. */
    public void watch(Consumer<View.Change> watcher) {
        watchers.add(watcher);
    }

    public View view() {
        return machine.view();
    }

    MembersConfig config() {
        return config;
    }

    Clock clock() {
        return loop;
    }

    /** Datagrams sent, bytes sent, withheld, of other fleets, and not to be read. */
    long[] counts() {
        long[] c = machine.counts();
        return new long[] {c[0], c[1], c[2], c[3], garbage};
    }

    /** Says to all that this member leaves; goes on answering until the program's end. */
    public void leave() {
        machine.leave(loop.now());
        carryOut();
        loop.after(LEAVING_S, () -> {
            machine.leave(loop.now());
            carryOut();
        });
    }

    private void tick() {
        machine.tick(loop.now());
        carryOut();
        loop.after(config.settings().tickS(), this::tick);
    }

    private void carryOut() {
        List<Output> all = machine.taken();
        for (Output o : all) {
            if (o instanceof Output.Send s) {
                datagrams.send(reached(s.address()), Codec.bytes(s.message()));
            } else if (o instanceof Output.Exchange e) {
                exchange(e.address());
            } else {
                MemberEvents.tell(events, o);
                log(o);
                if (o instanceof Output.Changed c) {
                    watchers.forEach(w -> w.accept(c.change()));
                }
            }
        }
        MemberEvents.told(events, all);
    }

    private InetSocketAddress reached(String announced) {
        return config.reach().of(Config.address("address", announced));
    }

    private void log(Output o) {
        if (o instanceof Output.Changed c) {
            View.Change x = c.change();
            LOG.log(
                    x.to() == Standing.HERE || x.to() == Standing.LEFT
                            ? System.Logger.Level.INFO
                            : System.Logger.Level.WARNING,
                    "member {0} {1}{2}",
                    x.name(),
                    words(x.to()),
                    x.why().isEmpty() ? "" : ": " + x.why());
        } else if (o instanceof Output.Sure s) {
            LOG.log(
                    s.sure() ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    s.sure()
                            ? "reaching {0} of {1} members again"
                            : "may be cut off: reaching {0} of {1} members, nobody is called gone",
                    s.reached(),
                    s.fleet());
        } else if (o instanceof Output.Noted n) {
            switch (n.what()) {
                case "taken" ->
                    LOG.log(
                            System.Logger.Level.ERROR,
                            "name {0} is used twice, by {1} too: this one stays out",
                            config.name(),
                            n.why());
                case "claimed" ->
                    LOG.log(System.Logger.Level.WARNING, "name {0} is this one''s again: {1}", config.name(), n.why());
                case "paused" ->
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "was paused for {0} s, says nothing of others for a while",
                            String.format(Locale.ROOT, "%.1f", n.amount()));
                default -> LOG.log(System.Logger.Level.INFO, "{0}: {1}", n.what(), n.why());
            }
        }
    }

    static String words(Standing s) {
        return s.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    // ---- Sockets ------------------------------------------------------------

    private void datagram(byte[] bytes, int length) {
        Message m = begun ? read(bytes, 0, length) : null;
        if (m != null) {
            machine.received(m, loop.now());
            carryOut();
        }
    }

    private Message read(byte[] bytes, int from, int to) {
        try {
            return Codec.message(bytes, from, to);
        } catch (IllegalArgumentException e) {
            garbage++;
            notes.log(System.Logger.Level.WARNING, () -> "message of a member not taken: " + e.getMessage());
            return null;
        }
    }

    private void exchange(String address) {
        if (streams >= STREAMS_MOST) {
            return;
        }
        loop.dial(reached(address), config.settings().doubtS(), new Loop.Dialled() {
            @Override
            public void up(Connection c) {
                new Exchange(c).write(machine.digest());
            }

            @Override
            public void failed() {
                // It is tried again, there or elsewhere, when the machine wants it.
            }
        });
    }

    /** One full exchange on a stream, from either side: messages by turns, and the end; bounded in time. */
    private final class Exchange implements Connection.Handler {
        private final Connection connection;
        private final FrameParser parser = new FrameParser(FRAME_MOST, "" + LETTER);
        private final Clock.Timer limit = loop.after(STREAM_S, this::finish);
        private boolean over;

        Exchange(Connection connection) {
            this.connection = connection;
            streams++;
            connection.start(this);
        }

        void write(Message m) {
            connection.write(Frames.frame(LETTER, Codec.bytes(m)));
        }

        @Override
        public void received(Connection c) {
            try {
                while (!over) {
                    int used = parser.feed(c.bytes(), c.from(), c.to());
                    if (used == 0) {
                        return;
                    }
                    c.consume(used);
                    Frame f = parser.take();
                    Message m = read(f.rest(), 0, f.rest().length);
                    Message back = m == null ? null : machine.exchanged(m, loop.now());
                    carryOut();
                    if (back == null) {
                        finish();
                    } else {
                        write(back);
                        if (back instanceof Message.Rest) {
                            // The last word; the other side closes when it has read it.
                            c.lingerAfterWrites();
                        }
                    }
                }
            } catch (FrameException e) {
                garbage++;
                finish();
            }
        }

        @Override
        public void ended(Connection c) {
            finish();
        }

        private void finish() {
            if (!over) {
                over = true;
                streams--;
                limit.cancel();
                connection.close();
            }
        }
    }
}
