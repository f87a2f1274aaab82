package pepperdock.membership.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.MembersConfig;
import pepperdock.core.Clock;
import pepperdock.core.LogRateLimiter;
import pepperdock.events.Events;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.Membership;
import pepperdock.membership.MembershipOutput;
import pepperdock.membership.MembershipView;
import pepperdock.membership.Message;
import pepperdock.membership.RecordStatus;
import pepperdock.transport.Connection;
import pepperdock.transport.ConnectionHandler;
import pepperdock.transport.DatagramSocket;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Runs {@link Membership} on an event loop: provides its sockets, clock, log, events, and the operators' endpoint.
 * {@link Membership} makes all decisions. All methods are called on the loop, which owns the state.
 */
public final class MembershipService {

    /** Maximum size of one message on a stream. */
    private static final int MAX_FRAME_BYTES = 8 << 20;

    private static final char FRAME_TYPE = 'x';
    private static final int MAX_STREAMS = 16;
    /** Maximum duration of an exchange. */
    private static final double STREAM_TIMEOUT_S = 5;

    private static final int MAX_REQUEST_BODY_BYTES = 1 << 10;
    private static final int MAX_HTTP_CONNECTIONS = 16;
    /** Time after which a leaving member repeats its announcement, since the first datagrams may be lost. */
    private static final double LEAVE_REPEAT_S = 0.2;

    private final MembersConfig config;
    private final EventLoop loop;
    private final Events events;
    private final Membership membership;
    private final MembershipLog log;
    private final DatagramSocket datagrams;
    private final LogRateLimiter rejectedMessagesLog;
    private final List<Consumer<MembershipView.Change>> watchers = new ArrayList<>();
    private int openStreams;
    private long malformedMessages;
    /**
     * Set on the loop together with the first event; earlier messages are dropped as if the socket were not open yet.
     */
    private boolean started;

    /** Opens membership as configured by the {@code members} key; returns null if the file does not have it. */
    public static MembershipService open(ConfigReader file, EventLoop loop, Events events) throws IOException {
        MembersConfig config = MembersConfig.read(file);
        return config == null ? null : new MembershipService(config, loop, events);
    }

    private MembershipService(MembersConfig config, EventLoop loop, Events events) throws IOException {
        this.config = config;
        this.loop = loop;
        this.events = events;
        log = new MembershipLog(config.name());
        SecureRandom random = new SecureRandom();
        MemberRecord self = new MemberRecord(
                config.name(),
                random.nextLong(),
                0,
                RecordStatus.ALIVE,
                Config.formatAddress(config.address()),
                config.zone(),
                config.machine());
        membership =
                new Membership(config.settings(), config.fleet(), self, config.seeds(), random.nextLong(), loop.now());
        rejectedMessagesLog = new LogRateLimiter(MembershipLog.LOG, loop, "rejected membership messages");
        datagrams = loop.datagrams(config.address(), this::onDatagram);
        loop.listen(config.address(), () -> started && openStreams < MAX_STREAMS, Exchange::new);
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

    /** Registers a watcher, which gets each later change exactly once and in order, on the loop. */
    public void watch(Consumer<MembershipView.Change> watcher) {
        watchers.add(watcher);
    }

    /** Returns all members as this one sees them now. */
    public MembershipView view() {
        return membership.view();
    }

    MembersConfig config() {
        return config;
    }

    Clock clock() {
        return loop;
    }

    /**
     * Returns the counts of datagrams sent, bytes sent, datagrams withheld for the budget, messages of other fleets,
     * and malformed messages.
     */
    long[] counts() {
        long[] counts = membership.counts();
        return new long[] {counts[0], counts[1], counts[2], counts[3], malformedMessages};
    }

    /** Announces to all members that this one leaves. It goes on answering until the program ends. */
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
                notifyOf(output);
            }
        }
        MembershipEvents.outputsPublished(events, outputs);
    }

    private void notifyOf(MembershipOutput output) {
        MembershipEvents.publish(events, output);
        log.log(output);
        if (output instanceof MembershipOutput.MemberChanged changed) {
            watchers.forEach(watcher -> watcher.accept(changed.change()));
        }
    }

    private InetSocketAddress resolve(String announced) {
        return config.reach().translate(Config.parseAddress("address", announced));
    }

    // ---- Sockets ------------------------------------------------------------

    private void onDatagram(byte[] bytes, int length) {
        Message message = started ? decode(bytes, 0, length) : null;
        if (message != null) {
            membership.onDatagram(message, loop.now());
            processOutputs();
        }
    }

    /** Returns the decoded message; counts it and returns null if the bytes are malformed. */
    private Message decode(byte[] bytes, int from, int to) {
        try {
            return MembershipMessageCodec.decode(bytes, from, to);
        } catch (IllegalArgumentException e) {
            malformedMessages++;
            rejectedMessagesLog.log(
                    System.Logger.Level.WARNING, () -> "membership message rejected: " + e.getMessage());
            return null;
        }
    }

    private void openExchange(String address) {
        if (openStreams >= MAX_STREAMS) {
            return;
        }
        loop.connect(resolve(address), config.settings().suspicionTimeoutS(), new EventLoop.ConnectListener() {
            @Override
            public void onConnected(Connection connection) {
                new Exchange(connection).write(membership.openExchange());
            }

            @Override
            public void onFailed() {
                // Membership opens another exchange, with this or another member, when it needs one.
            }
        });
    }

    /**
     * One side of an anti-entropy exchange on a stream. The sides send messages in turns, and the stream is closed at
     * the end or after a timeout.
     */
    private final class Exchange implements ConnectionHandler {
        private final Connection connection;
        private final FrameParser parser = new FrameParser(MAX_FRAME_BYTES, "" + FRAME_TYPE);
        private final Clock.Timer timeout = loop.after(STREAM_TIMEOUT_S, this::finish);
        private boolean finished;

        Exchange(Connection connection) {
            this.connection = connection;
            openStreams++;
            connection.start(this);
        }

        void write(Message message) {
            connection.write(FrameEncoder.encode(FRAME_TYPE, MembershipMessageCodec.encode(message)));
        }

        @Override
        public void onBytes(Connection stream) {
            try {
                while (!finished) {
                    int bytesUsed = parser.feed(stream.bytes(), stream.readStart(), stream.readEnd());
                    if (bytesUsed == 0) {
                        return;
                    }
                    stream.consume(bytesUsed);
                    onFrame(parser.take(), stream);
                }
            } catch (FrameException e) {
                malformedMessages++;
                finish();
            }
        }

        private void onFrame(Frame frame, Connection stream) {
            Message message = decode(frame.payload(), 0, frame.payload().length);
            Message response = message == null ? null : membership.onStreamMessage(message, loop.now());
            processOutputs();
            if (response == null) {
                finish();
                return;
            }
            write(response);
            if (response instanceof Message.MissingItems) {
                // The last message of an exchange: the other side closes the stream after reading it.
                stream.closeAfterWrites();
            }
        }

        @Override
        public void onClosed(Connection stream) {
            finish();
        }

        private void finish() {
            if (!finished) {
                finished = true;
                openStreams--;
                timeout.cancel();
                connection.close();
            }
        }
    }
}
