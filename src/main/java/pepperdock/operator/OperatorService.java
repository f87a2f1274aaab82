package pepperdock.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.LongBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.EndpointListSnapshot;
import pepperdock.core.Gatherer;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Provides the operators' functions of a running gatherer: their HTTP address, the bans, and the detection of the other
 * process of an upgrade. State belongs to the loop's thread. Files are accessed on a separate thread, which passes what
 * it reads to the loop.
 */
public final class OperatorService implements OperatorEndpoint.Operations, UpgradePeer {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    /** Maximum number of connections, from the spare descriptors; a new one replaces one without a complete request. */
    private static final int MAX_CONNECTIONS = 12;
    /** A request that is not complete after this time is dropped. */
    private static final double REQUEST_TIMEOUT_S = 4;

    private static final int MAX_BODY_BYTES = 4096;
    /** Interval of checking the files for another process and its bans. Draining allows five times as long for that. */
    private static final long REFRESH_MS = 100;

    private final EventLoop loop;
    private final Gatherer core;
    private final BooleanSupplier ready;
    private final List<Consumer<Boolean>> otherProcessListeners = new ArrayList<>();
    private final List<Consumer<Boolean>> otherServingListeners = new ArrayList<>();
    private final BanService bans;
    /** Null if there is no folder for the state; so are {@link #locks}, {@link #sentIds} and {@link #diskThread}. */
    private final EndpointListExchange lists;

    private final ProcessLocks locks;
    private final SentIdFiles sentIds;
    private final ScheduledExecutorService diskThread;
    private Consumer<EndpointListSnapshot> listListener = list -> {};
    /** The list that was saved when this process started, until the listener has it; null if there is none. */
    private EndpointListSnapshot savedList;

    private boolean otherProcessAlive;
    private boolean otherProcessServing;
    private boolean handedOver;
    private long reloads;
    private long rejectedReloads;
    /** This field and those below belong to the disk thread, which reports their changes to the loop. */
    private boolean lastSeenOtherAlive;

    private boolean lastSeenServing;
    private boolean refreshFailing;

    /**
     * Reads the saved state and takes the locks that other processes check. If the folder can't be used now, the
     * process starts as if it were alone, and tries again.
     *
     * @param folder the folder for the saved state; null if no state is kept after this process
     * @param ready whether this process accepts queries
     */
    public OperatorService(
            Path folder, DeploymentSettings settings, EventLoop loop, Gatherer core, BooleanSupplier ready) {
        this.loop = loop;
        this.core = core;
        this.ready = ready;
        diskThread = folder == null ? null : Executors.newSingleThreadScheduledExecutor(OperatorService::newDiskThread);
        bans = new BanService(folder, loop, core, diskThread);
        locks = folder == null ? null : new ProcessLocks(folder);
        sentIds = folder == null ? null : new SentIdFiles(folder);
        lists = folder == null ? null : new EndpointListExchange(folder, settings, diskThread);
        if (folder == null) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "TMPDIR is not set: bans are lost when this process ends, upgrades are not detected");
        } else {
            readSavedState();
        }
    }

    private static Thread newDiskThread(Runnable task) {
        Thread thread = new Thread(task, "operator");
        thread.setDaemon(true);
        return thread;
    }

    /** Each step runs whatever the others do, as in {@link #refresh}. */
    private void readSavedState() {
        succeeds(bans::readSaved);
        succeeds(() -> savedList = lists.readIfChanged());
        succeeds(locks::acquireLivenessLock);
        succeeds(() -> shareSentIds(Runnable::run));
        succeeds(() -> lastSeenOtherAlive = locks.otherProcessIsAlive());
        if (!lastSeenOtherAlive) {
            succeeds(locks::acquireServingLock);
        }
        succeeds(() -> lastSeenServing = locks.otherProcessServes());
        int banned = bans.count();
        otherProcessAlive = lastSeenOtherAlive;
        otherProcessServing = lastSeenServing;
        if (otherProcessAlive || banned > 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0}, {1} workers disabled",
                    otherProcessAlive
                            ? "another process of this gatherer is alive"
                            : "no other process of this gatherer",
                    banned);
        }
    }

    /**
     * Sets the listener for endpoint lists that other processes of this gatherer have received, on the loop's thread. It
     * is told at once of the list that was saved at the start, if there was one.
     */
    public void whenListReceivedByOther(Consumer<EndpointListSnapshot> listener) {
        listListener = listener;
        if (savedList != null) {
            listener.accept(savedList);
            savedList = null;
        }
    }

    /** Passes a list that this process has received on to the other processes of this gatherer. */
    public void publish(EndpointListSnapshot list) {
        if (lists != null) {
            lists.publish(list);
        }
    }

    /**
     * Opens the address and starts watching for another process. Called on the loop's thread before the first endpoint
     * list.
     */
    public void start(InetSocketAddress address) throws IOException {
        bans.apply();
        if (otherProcessAlive) {
            otherProcessListeners.forEach(then -> then.accept(true));
        }
        if (otherProcessServing) {
            otherServingListeners.forEach(then -> then.accept(true));
        }
        if (diskThread != null) {
            var unused =
                    diskThread.scheduleWithFixedDelay(this::refresh, REFRESH_MS, REFRESH_MS, TimeUnit.MILLISECONDS);
        }
        HttpServer server = new HttpServer(
                loop,
                address,
                EventLoop.SocketScope.OUTSIDE_CAP,
                REQUEST_TIMEOUT_S,
                MAX_BODY_BYTES,
                () -> MAX_CONNECTIONS,
                new OperatorEndpoint(this));
        LOG.log(System.Logger.Level.INFO, "operators are served on {0}", server.address());
    }

    /**
     * Signals to the other process that this one accepts queries from now on, then runs the task on the loop's thread.
     */
    public void startServing(Runnable then) {
        onDiskThread(locks::acquireServingLock, then);
    }

    @Override
    public void refresh(Runnable then) {
        if (diskThread == null) {
            then.run();
        } else {
            onDiskThread(this::refresh, then);
        }
    }

    /** A task for the disk thread. */
    private interface DiskTask {
        void run() throws IOException;
    }

    private void onDiskThread(DiskTask task, Runnable then) {
        diskThread.execute(() -> {
            try {
                task.run();
            } catch (IOException e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "lock files of this process not updated, the other process may not detect it: {0}",
                        String.valueOf(e));
            }
            loop.execute(then);
        });
    }

    @Override
    public boolean otherProcessServes() {
        return otherProcessServing;
    }

    /** Returns whether another process of this gatherer is alive now. */
    public boolean otherProcessIsAlive() {
        return otherProcessAlive;
    }

    /**
     * Registers a listener for changes of {@link #otherProcessIsAlive()}. It is called on the loop's thread at each
     * change, and at the start if there is another process.
     */
    public void whenOtherProcessChanges(Consumer<Boolean> then) {
        otherProcessListeners.add(then);
    }

    /**
     * Registers a listener for changes of whether another process accepts new queries, which is called in the same way
     * as those of {@link #otherProcessIsAlive()}. A draining process stays alive for a while but accepts none.
     */
    public void whenOtherServingChanges(Consumer<Boolean> then) {
        otherServingListeners.add(then);
    }

    @Override
    public void handOver() {
        handedOver = true;
        core.yieldToUpgradePeer();
        onDiskThread(locks::releaseServingLock, () -> {});
    }

    @Override
    public boolean hasUnwrittenState() {
        return lists != null && (bans.hasUnwritten() || lists.hasUnwritten());
    }

    /** Counts a configuration file that was put into use or rejected. */
    public void countReload(boolean applied) {
        if (applied) {
            reloads++;
        } else {
            rejectedReloads++;
        }
    }

    /** Each step runs whatever the others do: a file that can't be read must not keep another process undetected. */
    private void refresh() {
        boolean succeeded = succeeds(lists::writeUnwritten)
                & succeeds(bans::refresh)
                & succeeds(this::refreshList)
                & succeeds(locks::retry)
                & succeeds(() -> shareSentIds(loop::execute))
                & succeeds(this::refreshOtherProcess);
        if (succeeded) {
            refreshFailing = false;
        }
    }

    /** Runs a step; logs its failure. */
    private boolean succeeds(DiskTask step) {
        try {
            step.run();
            return true;
        } catch (IOException | RuntimeException e) {
            logRefreshFailure(e);
            return false;
        }
    }

    private void refreshOtherProcess() throws IOException {
        boolean otherAlive = locks.otherProcessIsAlive();
        boolean otherServes = locks.otherProcessServes();
        if (otherAlive != lastSeenOtherAlive || otherServes != lastSeenServing) {
            lastSeenOtherAlive = otherAlive;
            lastSeenServing = otherServes;
            loop.execute(() -> otherProcessChanged(otherAlive, otherServes));
        }
    }

    private void logRefreshFailure(Exception cause) {
        if (!refreshFailing) {
            refreshFailing = true;
            LOG.log(
                    System.Logger.Level.ERROR,
                    "cannot read the ban file and the lock files: {0}",
                    String.valueOf(cause));
        }
    }

    /** Maps the files of sent ids that are not mapped yet and hands them to the core, on its thread. */
    private void shareSentIds(Executor onLoop) throws IOException {
        LongBuffer own = locks.slot() == ProcessLocks.NO_SLOT ? null : sentIds.mapOwn(locks.slot());
        if (own != null) {
            onLoop.execute(() -> core.shareSentQueryIds(own));
        }
        for (LongBuffer other : sentIds.mapOthers()) {
            onLoop.execute(() -> core.readSentQueryIdsOf(other));
        }
    }

    private void refreshList() throws IOException {
        EndpointListSnapshot list = lists.readIfChanged();
        if (list != null) {
            loop.execute(() -> listListener.accept(list));
        }
    }

    private void otherProcessChanged(boolean otherAlive, boolean otherServes) {
        if (otherProcessAlive != otherAlive) {
            otherProcessAlive = otherAlive;
            LOG.log(
                    System.Logger.Level.INFO,
                    otherAlive
                            ? "another process of this gatherer has begun"
                            : "the other process of this gatherer has ended");
            otherProcessListeners.forEach(then -> then.accept(otherAlive));
        }
        if (otherProcessServing != otherServes) {
            otherProcessServing = otherServes;
            if (!handedOver) {
                otherServingListeners.forEach(then -> then.accept(otherServes));
            }
        }
    }

    // ---- Operations ------------------------------------------------------------

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public String metrics() {
        return MetricsText.of(core, loop.metrics(), reloads, rejectedReloads);
    }

    @Override
    public boolean knows(String worker) {
        return core.isKnownEndpoint(worker);
    }

    @Override
    public void setBanned(String worker, boolean banned, Consumer<String> then) {
        bans.setBanned(worker, banned, then);
    }
}
