package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import pepperdock.core.Clock;
import pepperdock.core.LogRateLimiter;

/** The one I/O thread, which owns all state: sockets, timers and whatever is handed to {@link #execute}. */
public final class EventLoop implements Clock, AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    private static final int ACCEPT_BACKLOG = 512;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final int bufferCap;
    private int socketCap;
    /** The cap when no other process has a part of it, and that part's bound while one has. */
    private int unsharedSocketCap;

    private int sharedCap = Integer.MAX_VALUE;
    private final Set<Connection> open = new HashSet<>();
    private final double startedAt = System.currentTimeMillis() / 1e3;
    private final long startedNanos = System.nanoTime();
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(1 << 16);
    private final LogRateLimiter away = new LogRateLimiter(LOG, this, "clients turned away");
    private int connecting;

    /** {@code socketCap} bounds connections of all kinds together; {@code bufferCap} the buffer of each. */
    public EventLoop(int socketCap, int bufferCap) throws IOException {
        this.socketCap = socketCap;
        unsharedSocketCap = socketCap;
        this.bufferCap = bufferCap;
        DisabledManagement.install();
        worker = Xnio.getInstance("nio", EventLoop.class.getClassLoader())
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "loop")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, false)
                        .getMap());
        thread = worker.getIoThread();
    }

    @Override
    public double now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1e9;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        boolean[] off = {false};
        Runnable unlessOff = () -> {
            if (!off[0]) {
                task.run();
            }
        };
        if (seconds <= 0) {
            execute(unlessOff);
            return () -> off[0] = true;
        }
        try {
            XnioExecutor.Key key =
                    thread.executeAfter(() -> guarded(unlessOff), (long) (seconds * 1e6) + 1, TimeUnit.MICROSECONDS);
            return () -> {
                // Timers that fall due in one turn are taken out of the queue together, where remove finds none.
                off[0] = true;
                key.remove();
            };
        } catch (RejectedExecutionException e) {
            // The loop has been closed: nothing falls due any more.
            return () -> {};
        }
    }
    /** Runs a task on the I/O thread; may be called from any thread. */
    public void execute(Runnable task) {
        try {
            thread.execute(() -> guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "the loop is closed");
        }
    }

    /** The cap on connections of all kinds. */
    public int socketCap() {
        return socketCap;
    }

    /** Sets the cap anew; what stands open beyond it is left to end by itself. */
    public void setSocketCap(int cap) {
        unsharedSocketCap = cap;
        socketCap = Math.min(unsharedSocketCap, sharedCap);
    }

    /** What {@link #setSocketCap} allows, whether or not another process has a part of it now. */
    public int unsharedSocketCap() {
        return unsharedSocketCap;
    }

    /** Shares the cap with an upgrade peer, or ends that: while shared, no more than {@code cap} sockets are opened, or than are open. */
    public void shareSocketsWithUpgradePeer(boolean shared, int cap) {
        sharedCap = shared ? Math.max(socketsInUse(), cap) : Integer.MAX_VALUE;
        socketCap = Math.min(unsharedSocketCap, sharedCap);
    }

    /** Room for bytes that nobody wants, one for all connections. */
    ByteBuffer discardBuffer() {
        return discardBuffer.clear();
    }

    /** Sockets that count under the cap now. */
    public int socketsInUse() {
        return open.size() + connecting;
    }

    /** Sockets still free under the cap. */
    public int spareSockets() {
        return socketCap - socketsInUse();
    }

    /** Whose an address is, and whose its connections. */
    public enum SocketScope {
        /** This process's alone; what comes counts under the cap. */
        EXCLUSIVE,
        /** Another process may listen on it beside this one, and is dealt a part of those who connect. */
        SHARED_WITH_UPGRADE_PEER,
        /** This process's alone; bounded by who listens, and beside the cap: clients must not lose sockets to it. */
        OUTSIDE_CAP
    }

    /** A listening socket that can be closed. */
    public interface ServerSocketHandle extends AutoCloseable {
        /** The local address. */
        InetSocketAddress address();

        @Override
        void close();
    }

    /**
     * Accepts connections. {@code room} says whether there is room for one more, after closing others where that helps;
     * else, or where the cap leaves no socket, the new one is closed unserved. Decided for each one as it is accepted:
     * hundreds that come at once must not all be held before the first is looked at.
     */
    public ServerSocketHandle listen(InetSocketAddress at, BooleanSupplier room, Consumer<Connection> opened)
            throws IOException {
        return listen(at, SocketScope.EXCLUSIVE, room, opened);
    }

    /** Accepts connections on an address of the given scope. */
    public ServerSocketHandle listen(
            InetSocketAddress at, SocketScope scope, BooleanSupplier room, Consumer<Connection> opened)
            throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> accept = server -> {
            try {
                for (StreamConnection c = server.accept(); c != null; c = server.accept()) {
                    StreamConnection taken = c;
                    guarded(() -> onAccepted(taken, scope, room, opened));
                }
            } catch (IOException e) {
                away.log(System.Logger.Level.WARNING, () -> "accept failed: " + e.getMessage());
            }
        };
        OptionMap options = OptionMap.builder()
                .set(Options.BACKLOG, ACCEPT_BACKLOG)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        AcceptingChannel<StreamConnection> server = DirectServer.listen(
                worker, at, ACCEPT_BACKLOG, scope == SocketScope.SHARED_WITH_UPGRADE_PEER, options, accept);
        server.resumeAccepts();
        return new ServerSocketHandle() {
            @Override
            public InetSocketAddress address() {
                return server.getLocalAddress(InetSocketAddress.class);
            }

            /** Takes in whoever stands in the system's queue first: closed with it, each would be reset. */
            @Override
            public void close() {
                execute(() -> {
                    if (server.isOpen()) {
                        accept.handleEvent(server);
                        IoUtils.safeClose(server);
                    }
                });
            }
        };
    }

    /** A UDP socket; what comes is handed over on the loop. */
    public DatagramSocket datagrams(InetSocketAddress at, DatagramSocket.Receiver to) throws IOException {
        return new DatagramSocket(
                worker.createUdpServer(at, OptionMap.EMPTY),
                (bytes, length) -> guarded(() -> to.onDatagram(bytes, length)));
    }

    private void onAccepted(
            StreamConnection taken, SocketScope scope, BooleanSupplier room, Consumer<Connection> opened) {
        if (!room.getAsBoolean() || scope != SocketScope.OUTSIDE_CAP && spareSockets() <= 0) {
            away.log(System.Logger.Level.WARNING, () -> "client turned away: no socket to spare");
            IoUtils.safeClose(taken);
        } else {
            opened.accept(adopt(taken, scope != SocketScope.OUTSIDE_CAP));
        }
    }

    /** What comes of {@link #connect}: one of the two, once. */
    public interface ConnectListener {
        /** The connection is established; the listener owns it. */
        void onConnected(Connection c);
        /** No connection could be established in time. */
        void onFailed();
    }

    /** Opens a connection, given up after {@code timeoutS} seconds; told at the earliest after this returns. */
    public void connect(InetSocketAddress to, double timeoutS, ConnectListener then) {
        connect(to, SocketScope.EXCLUSIVE, timeoutS, then);
    }

    /** The same; one that is {@link SocketScope#OUTSIDE_CAP} comes up however many others stand. */
    public void connect(InetSocketAddress to, SocketScope scope, double timeoutS, ConnectListener then) {
        boolean counted = scope != SocketScope.OUTSIDE_CAP;
        int counts = counted ? 1 : 0;
        connecting += counts;
        boolean[] over = {false};
        if (counted && spareSockets() < 0) {
            execute(() -> {
                connecting--;
                then.onFailed();
            });
            return;
        }
        IoFuture<StreamConnection> future = thread.openStreamConnection(to, null, SOCKET_OPTIONS);
        Timer limit = after(timeoutS, () -> {
            if (!over[0]) {
                over[0] = true;
                connecting -= counts;
                future.cancel();
                then.onFailed();
            }
        });
        future.addNotifier(
                (f, unused) -> execute(() -> {
                    StreamConnection made = f.getStatus() == IoFuture.Status.DONE ? result(f) : null;
                    if (over[0]) {
                        IoUtils.safeClose(made);
                        return;
                    }
                    over[0] = true;
                    connecting -= counts;
                    limit.cancel();
                    if (made == null) {
                        then.onFailed();
                    } else {
                        then.onConnected(adopt(made, counted));
                    }
                }),
                null);
    }

    private static StreamConnection result(IoFuture<? extends StreamConnection> f) {
        try {
            return f.get();
        } catch (IOException e) {
            return null;
        }
    }

    private Connection adopt(StreamConnection channel, boolean counted) {
        Connection c = new Connection(this, channel, bufferCap);
        if (counted) {
            open.add(c);
        }
        return c;
    }

    void closed(Connection c) {
        open.remove(c);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "task failed", e);
        }
    }
}
