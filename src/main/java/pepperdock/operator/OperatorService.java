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
 * The operators' side of a running gatherer: their HTTP address, the bans, and the other process of an upgrade. State belongs to
 * the loop's thread; files are used on a thread of their own, which passes what it reads to the loop.
 */
public final class OperatorService implements OperatorEndpoint.Operations, UpgradePeer {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    /** Connections at a time, out of the spare descriptors; one without a complete request gives way to the next. */
    private static final int MAX_CONNECTIONS = 12;
    /** A request that is not complete by then is dropped. */
    private static final double REQUEST_TIMEOUT_S = 4;

    private static final int MAX_BODY_BYTES = 4096;
    /** Bans that may wait for a disk that does not respond. */
    private static final int MAX_PENDING_BANS = 100;
    /** How often the files are read for another process and its bans; draining allows five times as long for that. */
    private static final long REFRESH_MS = 100;

    private final EventLoop loop;
    private final Gatherer core;
    private final BooleanSupplier ready;
    private final Bans bans = new Bans();
    private final List<Consumer<Boolean>> otherProcessListeners = new ArrayList<>();
    private final List<Consumer<Boolean>> otherServingListeners = new ArrayList<>();
    /** This and the next two are null where there is no folder for the state. */
    private final BanFile file;

    private final ProcessLocks locks;
    private final ScheduledExecutorService diskThread;
    private boolean otherProcess;
    private boolean otherServes;
    private boolean handedOver;
    private long loads;
    private long loadErrors;
    /** From here on: state of the disk thread, which reports changes of it. */
    private boolean lastSeenOther;

    private boolean lastSeenServing;
    private Set<String> lastSeenBans;
    private boolean failing;

    /**
     * Reads the state that is there, and takes part in the handover between processes.
     *
     * @param folder null where nothing outlives this process
     * @param ready whether this process takes queries
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
                    "TMPDIR not set: bans last as long as this process, upgrades are not noticed");
            diskThread = null;
            return;
        }
        lastSeenOther = locks.otherLives();
        if (!lastSeenOther) {
            locks.holdServing();
        }
        lastSeenServing = locks.otherProcessServes();
        otherServes = lastSeenServing;
        lastSeenBans = file.read();
        otherProcess = lastSeenOther;
        bans.read(lastSeenBans);
        if (otherProcess || !lastSeenBans.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0}, {1} workers disabled",
                    otherProcess ? "another process of this gatherer serves" : "no other process of this gatherer",
                    lastSeenBans.size());
        }
        diskThread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "operator");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Opens the address and begins to watch for another process; on the loop's thread, before the first endpoint list. */
    public void start(InetSocketAddress at) throws IOException {
        core.setBannedEndpoints(bans.inForce());
        if (otherProcess) {
            otherProcessListeners.forEach(then -> then.accept(true));
        }
        if (otherServes) {
            otherServingListeners.forEach(then -> then.accept(true));
        }
        if (diskThread != null) {
            var unused =
                    diskThread.scheduleWithFixedDelay(this::refresh, REFRESH_MS, REFRESH_MS, TimeUnit.MILLISECONDS);
        }
        HttpServer server = new HttpServer(
                loop,
                at,
                EventLoop.SocketScope.OUTSIDE_CAP,
                REQUEST_TIMEOUT_S,
                MAX_BODY_BYTES,
                () -> MAX_CONNECTIONS,
                new OperatorEndpoint(this));
        LOG.log(System.Logger.Level.INFO, "operators are served on {0}", server.address());
    }

    /** Shows the other process that this one takes queries from now on, then runs the task on the loop's thread. */
    public void startServing(Runnable then) {
        onDiskThread(locks::holdServing, then);
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
    private interface Step {
        void run() throws IOException;
    }

    private void onDiskThread(Step step, Runnable then) {
        diskThread.execute(() -> {
            try {
                step.run();
            } catch (IOException e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "the other process may not be told of this one: {0}",
                        String.valueOf(e));
            }
            loop.execute(then);
        });
    }

    @Override
    public boolean otherProcessServes() {
        return otherServes;
    }

    /** Whether another process of this gatherer lives now. */
    public boolean otherProcess() {
        return otherProcess;
    }

    /** Notifies, on the loop's thread, of each change of that, and of the state at the start where there is another. */
    public void whenOtherProcessChanges(Consumer<Boolean> then) {
        otherProcessListeners.add(then);
    }

    /** The same of whether another takes new queries: one that is draining lives on for a while, but takes none. */
    public void whenOtherServingChanges(Consumer<Boolean> then) {
        otherServingListeners.add(then);
    }

    @Override
    public void handOver() {
        handedOver = true;
        core.yieldToUpgradePeer();
        onDiskThread(locks::releaseServing, () -> {});
    }

    /** Counts a configuration file that was put in use, or rejected. */
    public void countReload(boolean taken) {
        if (taken) {
            loads++;
        } else {
            loadErrors++;
        }
    }

    private void refresh() {
        try {
            boolean another = locks.otherLives();
            boolean otherProcessServes = locks.otherProcessServes();
            Set<String> state = file.read();
            if (another != lastSeenOther || otherProcessServes != lastSeenServing || !state.equals(lastSeenBans)) {
                lastSeenOther = another;
                lastSeenServing = otherProcessServes;
                lastSeenBans = state;
                loop.execute(() -> otherStateChanged(another, otherProcessServes, state));
            }
            failing = false;
        } catch (IOException | RuntimeException e) {
            if (!failing) {
                failing = true;
                LOG.log(System.Logger.Level.ERROR, "state of operators not readable: {0}", String.valueOf(e));
            }
        }
    }

    private void otherStateChanged(boolean another, boolean otherProcessServes, Set<String> state) {
        bans.read(state);
        core.setBannedEndpoints(bans.inForce());
        if (otherProcess != another) {
            otherProcess = another;
            LOG.log(
                    System.Logger.Level.INFO,
                    another
                            ? "another process of this gatherer has begun"
                            : "the other process of this gatherer has ended");
            otherProcessListeners.forEach(then -> then.accept(another));
        }
        if (otherServes != otherProcessServes) {
            otherServes = otherProcessServes;
            if (!handedOver) {
                otherServingListeners.forEach(then -> then.accept(otherProcessServes));
            }
        }
    }

    // ---- The calls ------------------------------------------------------------

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public String metrics() {
        return MetricsText.of(core, loads, loadErrors);
    }

    @Override
    public boolean knows(String worker) {
        return core.isKnownEndpoint(worker);
    }

    /** In force at once; acknowledged once it is also written, as an upgrade a moment later must find it. */
    @Override
    public void ban(String worker, boolean banned, Consumer<String> then) {
        if (banned && !bans.inForce().contains(worker) && bans.inForce().size() >= Bans.MAX_BANS
                || bans.pendingCount() >= MAX_PENDING_BANS) {
            then.accept("not done: " + bans.inForce().size() + " workers are disabled, " + bans.pendingCount()
                    + " calls wait for the disk");
            return;
        }
        long changeNumber = bans.request(worker, banned);
        core.setBannedEndpoints(bans.inForce());
        LOG.log(System.Logger.Level.INFO, "worker {0} {1} by hand", worker, banned ? "disabled" : "enabled");
        if (diskThread == null) {
            bans.written(changeNumber, null);
            then.accept(null);
            return;
        }
        diskThread.execute(() -> {
            Set<String> state = null;
            String failed = null;
            try {
                state = file.change(worker, banned);
                lastSeenBans = state;
            } catch (IOException | RuntimeException e) {
                failed = "in force, but not written down, so lost with this process: " + e;
                LOG.log(System.Logger.Level.ERROR, "bans not written: {0}", String.valueOf(e));
            }
            Set<String> now = state;
            String why = failed;
            loop.execute(() -> {
                bans.written(changeNumber, now);
                core.setBannedEndpoints(bans.inForce());
                then.accept(why);
            });
        });
    }
}
