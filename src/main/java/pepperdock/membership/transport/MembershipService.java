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
import pepperdock.config.Keys;
import pepperdock.config.MembersConfig;
import pepperdock.core.Clock;
import pepperdock.core.LogRateLimiter;
import pepperdock.events.Events;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.MemberState;
import pepperdock.membership.Membership;
import pepperdock.membership.MembershipOutput;
import pepperdock.membership.MembershipView;
import pepperdock.membership.Message;
import pepperdock.membership.RecordStatus;
import pepperdock.transport.Connection;
import pepperdock.transport.Datagrams;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/**
 * Membership in service: its sockets on the loop, its clock, its log, its events, and where it may be asked. All decisions are
 * {@link Membership}'s. Everything is called on the loop.
 */
public final class MembershipService {

    private static final System.Logger LOG = System.getLogger("pepperdock.membership");
    private static final int MAX_FRAME_BYTES = 8 << 20;
    private static final char FRAME_TYPE = 'x';
    private static final int MAX_STREAMS = 16;
    private static final double STREAM_TIMEOUT_S = 5;
    private static final int MAX_REQUEST_BODY_BYTES = 1 << 10;
    private static final int MAX_HTTP_CONNECTIONS = 16;
    /** Between saying that it leaves and its end, a member says so more often than once. */
    private static final double LEAVE_REPEAT_S = 0.2;

    private final MembersConfig config;
    private final Loop loop;
    private final Events events;
    private final Membership membership;
    private final Datagrams datagrams;
    private final LogRateLimiter rejectedMessages;
    private final List<Consumer<MembershipView.Change>> watchers = new ArrayList<>();
    private int streams;
    private long malformedMessages;
    /** Set on the loop, after the first event is told: what came before is lost, as on a socket that is not open yet. */
    private boolean started;

    /** Opens what the file's {@code members} says; null where it has none. */
    public static MembershipService open(Keys file, Loop loop, Events events) throws IOException {
        MembersConfig config = MembersConfig.read(file);
        return config == null ? null : new MembershipService(config, loop, events);
    }

    private MembershipService(MembersConfig config, Loop loop, Events events) throws IOException {
        this.config = config;
        this.loop = loop;
        this.events = events;
        SecureRandom random = new SecureRandom();
        String address = Config.text(config.address());
        MemberRecord self = new MemberRecord(
                config.name(), random.nextLong(), 0, RecordStatus.ALIVE, address, config.zone(), config.machine());
        membership =
                new Membership(config.settings(), config.fleet(), self, config.seeds(), random.nextLong(), loop.now());
        rejectedMessages = new LogRateLimiter(LOG, loop, "messages of members not taken");
        datagrams = loop.datagrams(config.address(), this::onDatagram);
        loop.listen(config.address(), () -> started && streams < MAX_STREAMS, Exchange::new);
        if (config.ask() != null) {
            new HttpServer(
                    loop,
                    config.ask(),
                    MAX_REQUEST_BODY_BYTES,
                    () -> MAX_HTTP_CONNECTIONS,
                    new MembershipEndpoint(this));
        }
        loop.execute(() -> {
            started = true;
            MembershipEvents.processStarted(events, self, config.settings());
            processOutputs();
            tick();
        });
    }

    /** Tells of each change from now on, once and in order, on the loop. */
    public void watch(Consumer<MembershipView.Change> watcher) {
        watchers.add(watcher);
    }

    public MembershipView view() {
        return membership.view();
    }

    MembersConfig config() {
        return config;
    }

    Clock clock() {
        return loop;
    }

    /** Datagrams sent, bytes sent, withheld, of other fleets, and not to be read. */
    long[] counts() {
        long[] c = membership.counts();
        return new long[] {c[0], c[1], c[2], c[3], malformedMessages};
    }

    /** Says to all that this member leaves; goes on answering until the program's end. */
    public void leave() {
        membership.leave(loop.now());
        processOutputs();
        loop.after(LEAVE_REPEAT_S, () -> {
            membership.leave(loop.now());
            processOutputs();
        });
    }

    private void tick() {
        membership.tick(loop.now());
        processOutputs();
        loop.after(config.settings().tickS(), this::tick);
    }

    private void processOutputs() {
        List<MembershipOutput> outputs = membership.takeOutputs();
        for (MembershipOutput output : outputs) {
            if (output instanceof MembershipOutput.SendDatagram datagram) {
                datagrams.send(resolve(datagram.address()), MembershipMessageCodec.encode(datagram.message()));
            } else if (output instanceof MembershipOutput.OpenExchange exchange) {
                openExchange(exchange.address());
            } else {
                MembershipEvents.publish(events, output);
                log(output);
                if (output instanceof MembershipOutput.MemberChanged changed) {
                    watchers.forEach(watcher -> watcher.accept(changed.change()));
                }
            }
        }
        MembershipEvents.outputsPublished(events, outputs);
    }

    private InetSocketAddress resolve(String announced) {
        return config.reach().of(Config.address("address", announced));
    }

    private void log(MembershipOutput output) {
        if (output instanceof MembershipOutput.MemberChanged changed) {
            MembershipView.Change change = changed.change();
            LOG.log(
                    change.to() == MemberState.ALIVE || change.to() == MemberState.LEFT
                            ? System.Logger.Level.INFO
                            : System.Logger.Level.WARNING,
                    "member {0} {1}{2}",
                    change.name(),
                    OperatorWords.of(change.to()),
                    change.reason().isEmpty() ? "" : ": " + change.reason());
        } else if (output instanceof MembershipOutput.MajorityChanged majority) {
            LOG.log(
                    majority.hasMajority() ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    majority.hasMajority()
                            ? "reaching {0} of {1} members again"
                            : "may be cut off: reaching {0} of {1} members, nobody is called gone",
                    majority.reachable(),
                    majority.fleetSize());
        } else if (output instanceof MembershipOutput.Notice notice) {
            switch (notice.kind()) {
                case "taken" ->
                    LOG.log(
                            System.Logger.Level.ERROR,
                            "name {0} is used twice, by {1} too: this one stays out",
                            config.name(),
                            notice.reason());
                case "claimed" ->
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "name {0} is this one''s again: {1}",
                            config.name(),
                            notice.reason());
                case "paused" ->
                    LOG.log(
                            System.Logger.Level.WARNING,
                            "was paused for {0} s, says nothing of others for a while",
                            String.format(Locale.ROOT, "%.1f", notice.amount()));
                default -> LOG.log(System.Logger.Level.INFO, "{0}: {1}", notice.kind(), notice.reason());
            }
        }
    }

    // ---- Sockets ------------------------------------------------------------

    private void onDatagram(byte[] bytes, int length) {
        Message message = started ? decode(bytes, 0, length) : null;
        if (message != null) {
            membership.onDatagram(message, loop.now());
            processOutputs();
        }
    }

    private Message decode(byte[] bytes, int from, int to) {
        try {
            return MembershipMessageCodec.decode(bytes, from, to);
        } catch (IllegalArgumentException e) {
            malformedMessages++;
            rejectedMessages.note(
                    System.Logger.Level.WARNING, () -> "message of a member not taken: " + e.getMessage());
            return null;
        }
    }

    private void openExchange(String address) {
        if (streams >= MAX_STREAMS) {
            return;
        }
        loop.dial(resolve(address), config.settings().suspicionTimeoutS(), new Loop.Dialled() {
            @Override
            public void up(Connection c) {
                new Exchange(c).write(membership.openExchange());
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
        private final FrameParser parser = new FrameParser(MAX_FRAME_BYTES, "" + FRAME_TYPE);
        private final Clock.Timer timeout = loop.after(STREAM_TIMEOUT_S, this::finish);
        private boolean finished;

        Exchange(Connection connection) {
            this.connection = connection;
            streams++;
            connection.start(this);
        }

        void write(Message message) {
            connection.write(Frames.frame(FRAME_TYPE, MembershipMessageCodec.encode(message)));
        }

        @Override
        public void received(Connection stream) {
            try {
                while (!finished) {
                    int used = parser.feed(stream.bytes(), stream.from(), stream.to());
                    if (used == 0) {
                        return;
                    }
                    stream.consume(used);
                    Frame frame = parser.take();
                    Message message = decode(frame.rest(), 0, frame.rest().length);
                    Message response = message == null ? null : membership.onStreamMessage(message, loop.now());
                    processOutputs();
                    if (response == null) {
                        finish();
                    } else {
                        write(response);
                        if (response instanceof Message.MissingItems) {
                            // The last word; the other side closes when it has read it.
                            stream.lingerAfterWrites();
                        }
                    }
                }
            } catch (FrameException e) {
                malformedMessages++;
                finish();
            }
        }

        @Override
        public void ended(Connection c) {
            finish();
        }

        private void finish() {
            if (!finished) {
                finished = true;
                streams--;
                timeout.cancel();
                connection.close();
            }
        }
    }
}
