package pepperdock.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
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
    /** Maximum number of ban changes that wait for a disk that does not respond. */
    private static final int MAX_PENDING_BANS = 100;
    /** Interval of checking the files for another process and its bans. Draining allows five times as long for that. */
    private static final long REFRESH_MS = 100;

    private final EventLoop loop;
    private final Gatherer core;
    private final BooleanSupplier ready;
    private final Bans bans = new Bans();
    private final List<Consumer<Boolean>> otherProcessListeners = new ArrayList<>();
    private final List<Consumer<Boolean>> otherServingListeners = new ArrayList<>();
    /** Null if there is no folder for the state; so are {@link #locks} and {@link #diskThread}. */
    private final BanFile file;

    private final ProcessLocks locks;
    private final ScheduledExecutorService diskThread;
    private boolean otherProcessAlive;
    private boolean otherProcessServing;
    private boolean handedOver;
    private long reloads;
    private long rejectedReloads;
    /** This field and those below belong to the disk thread, which reports their changes to the loop. */
    private boolean lastSeenOtherAlive;

    private boolean lastSeenServing;
    private Set<String> lastSeenBans;
    private boolean refreshFailing;

    /**
     * Reads the saved state and takes the locks that other processes check.
     *
     * @param folder the folder for the saved state; null if no state is kept after this process
     * @param ready whether this process accepts queries
     */
    public OperatorService(Path folder, EventLoop loop, Gatherer core, BooleanSupplier ready) throws IOException {
        this.loop = loop;
        this.core = core;
        this.ready = ready;
        file = folder == null ? null : new BanFile(folder);
        locks = folder == null ? null : new ProcessLocks(folder);
        if (folder == null) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "TMPDIR is not set: bans are lost when this process ends, upgrades are not detected");
            diskThread = null;
            return;
        }
        lastSeenOtherAlive = locks.otherProcessIsAlive();
        if (!lastSeenOtherAlive) {
            locks.acquireServingLock();
        }
        lastSeenServing = locks.otherProcessServes();
        otherProcessServing = lastSeenServing;
        lastSeenBans = file.read();
        otherProcessAlive = lastSeenOtherAlive;
        bans.onRead(lastSeenBans);
        if (otherProcessAlive || !lastSeenBans.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0}, {1} workers disabled",
                    otherProcessAlive
                            ? "another process of this gatherer is alive"
                            : "no other process of this gatherer",
                    lastSeenBans.size());
        }
        diskThread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "operator");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Opens the address and starts watching for another process. Called on the loop's thread before the first endpoint
     * list.
     */
    public void start(InetSocketAddress address) throws IOException {
        core.setBannedEndpoints(bans.inForce());
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

    /** Counts a configuration file that was put into use or rejected. */
    public void countReload(boolean applied) {
        if (applied) {
            reloads++;
        } else {
            rejectedReloads++;
        }
    }

    private void refresh() {
        try {
            boolean otherAlive = locks.otherProcessIsAlive();
            boolean otherProcessServes = locks.otherProcessServes();
            Set<String> state = file.read();
            if (otherAlive != lastSeenOtherAlive
                    || otherProcessServes != lastSeenServing
                    || !state.equals(lastSeenBans)) {
                lastSeenOtherAlive = otherAlive;
                lastSeenServing = otherProcessServes;
                lastSeenBans = state;
                loop.execute(() -> otherStateChanged(otherAlive, otherProcessServes, state));
            }
            refreshFailing = false;
        } catch (IOException | RuntimeException e) {
            if (!refreshFailing) {
                refreshFailing = true;
                LOG.log(
                        System.Logger.Level.ERROR,
                        "cannot read the ban file and the lock files: {0}",
                        String.valueOf(e));
            }
        }
    }

    private void otherStateChanged(boolean otherAlive, boolean otherProcessServes, Set<String> state) {
        bans.onRead(state);
        core.setBannedEndpoints(bans.inForce());
        if (otherProcessAlive != otherAlive) {
            otherProcessAlive = otherAlive;
            LOG.log(
                    System.Logger.Level.INFO,
                    otherAlive
                            ? "another process of this gatherer has begun"
                            : "the other process of this gatherer has ended");
            otherProcessListeners.forEach(then -> then.accept(otherAlive));
        }
        if (otherProcessServing != otherProcessServes) {
            otherProcessServing = otherProcessServes;
            if (!handedOver) {
                otherServingListeners.forEach(then -> then.accept(otherProcessServes));
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
        return MetricsText.of(core, loop.unsolicitedInputs(), reloads, rejectedReloads);
    }

    @Override
    public boolean knows(String worker) {
        return core.isKnownEndpoint(worker);
    }

    /**
     * Applies the change at once, and acknowledges it once it is written, so that a process that starts after the
     * acknowledgement reads it.
     */
    @Override
    public void setBanned(String worker, boolean banned, Consumer<String> then) {
        if (banned && !bans.inForce().contains(worker) && bans.inForce().size() >= Bans.MAX_BANS
                || bans.pendingCount() >= MAX_PENDING_BANS) {
            then.accept("not done: " + bans.inForce().size() + " workers are disabled, " + bans.pendingCount()
                    + " calls wait for the disk");
            return;
        }
        long changeNumber = bans.request(worker, banned);
        core.setBannedEndpoints(bans.inForce());
        LOG.log(System.Logger.Level.INFO, "worker {0} {1} by an operator", worker, banned ? "disabled" : "enabled");
        if (diskThread == null) {
            bans.onWritten(changeNumber, null);
            then.accept(null);
            return;
        }
        diskThread.execute(() -> {
            Set<String> state = null;
            String failure = null;
            try {
                state = file.change(worker, banned);
                lastSeenBans = state;
            } catch (IOException | RuntimeException e) {
                failure = "in force, but not written down, so lost with this process: " + e;
                LOG.log(System.Logger.Level.ERROR, "cannot write the ban file: {0}", String.valueOf(e));
            }
            Set<String> newState = state;
            String reason = failure;
            loop.execute(() -> {
                bans.onWritten(changeNumber, newState);
                core.setBannedEndpoints(bans.inForce());
                then.accept(reason);
            });
        });
    }
}
