package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import pepperdock.core.LogRateLimiter;

/** Accepts the connections of one listening socket, a bounded number in each turn of the loop. */
final class ConnectionAcceptor implements EventLoop.ServerSocketHandle {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    private static final int BACKLOG = 512;
    /** Bound on accepting in one turn of the loop: clients may connect as fast as they are accepted. */
    private static final double MAX_ACCEPT_S = 0.002;
    /** More than the system's queue holds, which is emptied before the socket is closed. */
    private static final int MAX_ACCEPTS_BEFORE_CLOSE = 2 * BACKLOG;

    /** Receives the accepted connections. */
    interface Listener {
        /**
         * Called for each connection.
         *
         * @param inputArrivedAfter a time before which no input of the connection can have arrived, in seconds on the
         *     loop's clock
         */
        void onAccepted(StreamConnection accepted, double inputArrivedAfter);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final AcceptingChannel<StreamConnection> server;
    private final LogRateLimiter failureLog;
    /** Whether accepting has stopped although more connections may be waiting. */
    private boolean connectionsLeft;

    private double queueEmptyAt;

    /** Opens the socket; if {@code shared}, another process may listen on the address too. */
    ConnectionAcceptor(EventLoop loop, XnioWorker worker, InetSocketAddress address, boolean shared, Listener listener)
            throws IOException {
        this.loop = loop;
        this.listener = listener;
        failureLog = new LogRateLimiter(LOG, loop, "connections not accepted");
        OptionMap options = OptionMap.builder()
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        server = LoopServerSocket.listen(worker, address, BACKLOG, shared, options, channel -> onReadable());
    }

    /** Starts to accept. */
    void start() {
        server.resumeAccepts();
    }

    private void onReadable() {
        loop.onSocketEvent();
        accept(Integer.MAX_VALUE, MAX_ACCEPT_S);
    }

    private void accept(int maxCount, double maxS) {
        double startS = loop.now();
        if (!connectionsLeft) {
            queueEmptyAt = startS - loop.unreadForS();
        }
        connectionsLeft = true;
        try {
            for (int i = 0; i < maxCount && loop.now() - startS <= maxS; i++) {
                StreamConnection accepted = server.accept();
                if (accepted == null) {
                    connectionsLeft = false;
                    return;
                }
                EventLoop.guarded(() -> listener.onAccepted(accepted, queueEmptyAt));
            }
        } catch (IOException e) {
            failureLog.log(System.Logger.Level.WARNING, () -> "accept failed: " + e.getMessage());
        }
    }

    @Override
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** Accepts the clients in the system's queue first, as closing the socket would reset their connections. */
    @Override
    public void close() {
        loop.execute(() -> {
            if (server.isOpen()) {
                accept(MAX_ACCEPTS_BEFORE_CLOSE, Double.POSITIVE_INFINITY);
                IoUtils.safeClose(server);
            }
        });
    }
}
