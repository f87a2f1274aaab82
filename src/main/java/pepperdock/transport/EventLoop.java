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
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import pepperdock.core.Clock;
import pepperdock.core.LogRateLimiter;

/** The one I/O thread, which owns all state: sockets, timers and the tasks handed to {@link #execute}. */
public final class EventLoop implements Clock, AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final int bufferCap;
    private int socketCap;
    /**
     * The cap while it is not shared with an upgrade peer. While it is shared, an upper bound on this process's part.
     */
    private int unsharedSocketCap;

    private int sharedCap = Integer.MAX_VALUE;
    private final Set<Connection> open = new HashSet<>();
    private final double startedAt = System.currentTimeMillis() / 1e3;
    private final long startedNanos = System.nanoTime();
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(1 << 16);
    private final LogRateLimiter rejectedClientLog = new LogRateLimiter(LOG, this, "clients rejected");
    private final LogRateLimiter unsolicitedInputLog =
            new LogRateLimiter(LOG, this, "connections closed for unsolicited input");
    private final TransportMetrics metrics = new TransportMetrics();
    private final InputAccounting input = new InputAccounting(metrics);
    private final DeferredWork deferredWork = new DeferredWork(this);
    private final ChannelCloser channelCloser = new ChannelCloser(this, deferredWork);
    private final InputMemory inputMemory = new InputMemory();
    private final InputScheduler inputScheduler = new InputScheduler(this, deferredWork, input);
    private final StallDetector stalls = new StallDetector(this, metrics, input);
    private int connectingCount;

    /**
     * Starts a loop; {@code socketCap} bounds connections of all kinds together, {@code bufferCap} the buffer of each.
     */
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
        boolean[] cancelled = {false};
        Runnable unlessCancelled = () -> {
            if (!cancelled[0]) {
                task.run();
            }
        };
        if (seconds <= 0) {
            execute(unlessCancelled);
            return () -> cancelled[0] = true;
        }
        try {
            XnioExecutor.Key key = thread.executeAfter(
                    () -> guarded(unlessCancelled), (long) (seconds * 1e6) + 1, TimeUnit.MICROSECONDS);
            return () -> {
                // Removing the key is not enough: timers that expire in the same turn leave the queue together, and
                // remove no longer finds them there.
                cancelled[0] = true;
                key.remove();
            };
        } catch (RejectedExecutionException e) {
            // The loop is closed: timers no longer expire.
            return () -> {};
        }
    }
    /** Runs a task on the I/O thread; may be called from any thread. */
    public void execute(Runnable task) {
        try {
            thread.execute(() -> guarded(task));
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "task dropped: the loop is closed");
        }
    }

    /** Returns the cap on connections of all kinds. */
    public int socketCap() {
        return socketCap;
    }

    /** Changes the cap; connections that are open beyond it are left to end by themselves. */
    public void setSocketCap(int cap) {
        unsharedSocketCap = cap;
        socketCap = Math.min(unsharedSocketCap, sharedCap);
    }

    /** Returns the cap that {@link #setSocketCap} has set, whether or not it is shared with an upgrade peer now. */
    public int unsharedSocketCap() {
        return unsharedSocketCap;
    }

    /**
     * Starts or stops sharing the cap with an upgrade peer. While it is shared, this process uses at most {@code cap}
     * sockets, or as many as it has open now if those are more.
     */
    public void shareSocketsWithUpgradePeer(boolean shared, int cap) {
        sharedCap = shared ? Math.max(socketsInUse(), cap) : Integer.MAX_VALUE;
        socketCap = Math.min(unsharedSocketCap, sharedCap);
    }

    /** Starts to measure stalls, for a server whose requests have time limits. */
    void detectStalls() {
        execute(stalls::start);
    }

    /** Returns for how many seconds what is read now may have been unread in the kernel, because the loop stalled. */
    double unreadForS() {
        return stalls.unreadForS();
    }

    /** Returns the buffer for input that is discarded, which all connections share. */
    ByteBuffer discardBuffer() {
        return discardBuffer.clear();
    }

    /** Returns the number of sockets that count under the cap now. */
    public int socketsInUse() {
        return open.size() + connectingCount + channelCloser.waitingCount();
    }

    /** Returns the number of sockets that are still free under the cap. */
    public int spareSockets() {
        return socketCap - socketsInUse();
    }

    /** Which processes listen on an address, and whether its connections count under the cap. */
    public enum SocketScope {
        /** Only this process listens; connections count under the cap. */
        EXCLUSIVE,
        /** Another process may listen on the address too, and gets a part of the connections. */
        SHARED_WITH_UPGRADE_PEER,
        /**
         * Only this process listens; connections are bounded by their owner and do not count under the cap, so that
         * clients lose no sockets to them.
         */
        OUTSIDE_CAP
    }

    /** A listening socket that can be closed. */
    public interface ServerSocketHandle extends AutoCloseable {
        /** Returns the local address. */
        InetSocketAddress address();

        @Override
        void close();
    }

    /**
     * Accepts connections. {@code makeRoom} returns whether there is room for one more, after closing others where that
     * helps. If there is none, or the cap leaves no socket, the new connection is closed unserved. This is decided for
     * each connection as it is accepted: hundreds that arrive at once must not all be held before the first is checked.
     */
    public ServerSocketHandle listen(InetSocketAddress address, BooleanSupplier makeRoom, Consumer<Connection> opened)
            throws IOException {
        return listen(address, SocketScope.EXCLUSIVE, makeRoom, opened);
    }

    /** Accepts connections on an address of the given scope. */
    public ServerSocketHandle listen(
            InetSocketAddress address, SocketScope scope, BooleanSupplier makeRoom, Consumer<Connection> opened)
            throws IOException {
        ConnectionAcceptor acceptor = new ConnectionAcceptor(
                this,
                worker,
                address,
                scope == SocketScope.SHARED_WITH_UPGRADE_PEER,
                (accepted, inputArrivedAfter) -> onAccepted(accepted, inputArrivedAfter, scope, makeRoom, opened));
        acceptor.start();
        return acceptor;
    }

    /** Opens a UDP socket; its datagrams are delivered on the I/O thread. */
    public DatagramSocket datagrams(InetSocketAddress address, DatagramSocket.Receiver receiver) throws IOException {
        return new DatagramSocket(
                worker.createUdpServer(address, OptionMap.EMPTY),
                (bytes, length) -> guarded(() -> receiver.onDatagram(bytes, length)));
    }

    private void onAccepted(
            StreamConnection accepted,
            double inputArrivedAfter,
            SocketScope scope,
            BooleanSupplier makeRoom,
            Consumer<Connection> opened) {
        if (!makeRoom.getAsBoolean() || scope != SocketScope.OUTSIDE_CAP && spareSockets() <= 0) {
            metrics.recordClientClose(TransportMetrics.ClientCloseReason.REJECTED);
            rejectedClientLog.log(
                    System.Logger.Level.WARNING, () -> "client rejected: no socket is free for its connection");
            IoUtils.safeClose(accepted);
        } else {
            Connection connection = register(accepted, scope != SocketScope.OUTSIDE_CAP);
            connection.unread().onReadableSince(inputArrivedAfter);
            opened.accept(connection);
        }
    }

    /** Receives the result of {@link #connect}: exactly one of the methods is called, once. */
    public interface ConnectListener {
        /** The connection is established; the listener owns it. */
        void onConnected(Connection connection);
        /** No connection could be established in time. */
        void onFailed();
    }

    /**
     * Opens a connection, and gives up after {@code timeoutS} seconds; the listener is called after this has returned.
     */
    public void connect(InetSocketAddress address, double timeoutS, ConnectListener listener) {
        connect(address, SocketScope.EXCLUSIVE, timeoutS, listener);
    }

    /**
     * Opens a connection of the given scope; one {@link SocketScope#OUTSIDE_CAP} is opened however many others are
     * open.
     */
    public void connect(InetSocketAddress address, SocketScope scope, double timeoutS, ConnectListener listener) {
        boolean counted = scope != SocketScope.OUTSIDE_CAP;
        int socketCount = counted ? 1 : 0;
        connectingCount += socketCount;
        boolean[] finished = {false};
        if (counted && spareSockets() < 0) {
            execute(() -> {
                connectingCount--;
                listener.onFailed();
            });
            return;
        }
        IoFuture<StreamConnection> future = thread.openStreamConnection(address, null, SOCKET_OPTIONS);
        Timer timeoutTimer = after(timeoutS, () -> {
            if (!finished[0]) {
                finished[0] = true;
                connectingCount -= socketCount;
                future.cancel();
                listener.onFailed();
            }
        });
        future.addNotifier(
                (completed, unused) -> execute(() -> {
                    StreamConnection connected =
                            completed.getStatus() == IoFuture.Status.DONE ? resultOrNull(completed) : null;
                    if (finished[0]) {
                        IoUtils.safeClose(connected);
                        return;
                    }
                    finished[0] = true;
                    connectingCount -= socketCount;
                    timeoutTimer.cancel();
                    if (connected == null) {
                        listener.onFailed();
                    } else {
                        listener.onConnected(register(connected, counted));
                    }
                }),
                null);
    }

    private static StreamConnection resultOrNull(IoFuture<? extends StreamConnection> completed) {
        try {
            return completed.get();
        } catch (IOException e) {
            return null;
        }
    }

    private Connection register(StreamConnection channel, boolean counted) {
        Connection connection = new Connection(this, channel, bufferCap);
        if (counted) {
            open.add(connection);
        }
        return connection;
    }

    /** Called when a connection is closed because its server sent input that no request asked for. */
    void onUnsolicitedInput(InetSocketAddress server) {
        metrics.recordUnsolicitedInput();
        unsolicitedInputLog.log(
                System.Logger.Level.WARNING,
                () -> "closing the connection to " + server + ": it sent input that no request asked for");
    }

    /** Returns the counters of this loop and its connections. */
    public TransportMetrics metrics() {
        return metrics;
    }

    /** Called for each event of a socket. */
    void onSocketEvent() {
        deferredWork.onSocketEvent();
    }

    /** Returns what closes the channels of connections. */
    ChannelCloser channelCloser() {
        return channelCloser;
    }

    /** Returns the account of the memory held for requests that are not complete. */
    InputMemory inputMemory() {
        return inputMemory;
    }

    /** Returns the scheduler of the input of clients. */
    InputScheduler inputScheduler() {
        return inputScheduler;
    }

    /** Returns the account of the input that clients' connections have been served for. */
    InputAccounting input() {
        return input;
    }

    /** Called when a connection has been closed: it no longer counts under the cap. */
    void onClosed(Connection connection) {
        open.remove(connection);
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }

    /** Runs a task and logs its failure, which must not end the I/O thread. */
    static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            LOG.log(System.Logger.Level.ERROR, "task on the I/O thread failed", e);
        }
    }
}
