package pepperdock.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import pepperdock.core.Gatherer;
import pepperdock.transport.EventLoop;

/**
 * Puts bans of workers into force and on disk, where the other process of an upgrade and a later one read them. A
 * change that can't be written is in force all the same, and is written as soon as the disk allows. State belongs to the
 * loop's thread, but for what is marked as the disk thread's.
 */
final class BanService {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    /** Maximum number of ban changes that wait for a disk that does not respond. */
    private static final int MAX_PENDING_BANS = 100;

    private static final double REWRITE_INTERVAL_S = 0.2;

    private final EventLoop loop;
    private final Gatherer core;
    private final Bans bans = new Bans();
    /** Null if there is no folder for the state; so is {@link #diskThread}. */
    private final BanFile file;

    private final Executor diskThread;
    private boolean rewriteScheduled;
    /** The content last read or written; belongs to the disk thread. */
    private Set<String> lastSeen = Set.of();

    /** Creates a service without bans; {@code folder} and {@code diskThread} are null if no state is kept. */
    BanService(Path folder, EventLoop loop, Gatherer core, Executor diskThread) {
        this.loop = loop;
        this.core = core;
        this.diskThread = diskThread;
        file = folder == null ? null : new BanFile(folder);
    }

    /** Reads the bans at the start. Called before the disk thread is used. */
    void readSaved() throws IOException {
        lastSeen = file.read();
        bans.onRead(lastSeen);
    }

    /** Returns how many workers are banned. */
    int count() {
        return bans.inForce().size();
    }

    /** Puts the bans into force that are known at the start. */
    void apply() {
        core.setBannedEndpoints(bans.inForce());
    }

    /** Returns whether a change is in force that is not on disk yet. */
    boolean hasUnwritten() {
        return bans.pendingCount() > 0 || !bans.unwritten().isEmpty();
    }

    /** Reads the file and reports a change to the loop. Called on the disk thread. */
    void refresh() throws IOException {
        Set<String> state = file.read();
        if (!state.equals(lastSeen)) {
            lastSeen = state;
            loop.execute(() -> {
                bans.onRead(state);
                apply();
            });
        }
    }

    /**
     * Applies the change at once, and acknowledges it once it is written, so that a process that starts after the
     * acknowledgement reads it. {@code then} receives the reason if it is not done or not written, otherwise null.
     */
    void setBanned(String worker, boolean banned, Consumer<String> then) {
        if (banned && !bans.inForce().contains(worker) && bans.inForce().size() >= Bans.MAX_BANS
                || bans.pendingCount() >= MAX_PENDING_BANS) {
            then.accept("not done: " + bans.inForce().size() + " workers are disabled, " + bans.pendingCount()
                    + " calls wait for the disk");
            return;
        }
        long changeNumber = bans.request(worker, banned);
        apply();
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
                state = write(worker, banned);
            } catch (IOException | RuntimeException e) {
                failure = "in force, but not written down yet, so lost if this process ends before it is: " + e;
                LOG.log(System.Logger.Level.ERROR, "cannot write the ban file, retrying: {0}", String.valueOf(e));
            }
            Set<String> newState = state;
            String reason = failure;
            loop.execute(() -> {
                bans.onWritten(changeNumber, newState);
                apply();
                scheduleRewrite();
                then.accept(reason);
            });
        });
    }

    /** Changes the file; called on the disk thread. */
    private Set<String> write(String worker, boolean banned) throws IOException {
        Set<String> state = file.change(worker, banned);
        lastSeen = state;
        return state;
    }

    /** Schedules another write of what could not be written. */
    private void scheduleRewrite() {
        if (!rewriteScheduled && !bans.unwritten().isEmpty()) {
            rewriteScheduled = true;
            loop.after(REWRITE_INTERVAL_S, () -> {
                List<Bans.Change> unwritten = bans.unwritten();
                diskThread.execute(() -> rewrite(unwritten));
            });
        }
    }

    /** Writes changes again, up to the first that fails; called on the disk thread. */
    private void rewrite(List<Bans.Change> unwritten) {
        try {
            for (Bans.Change change : unwritten) {
                Set<String> state = write(change.worker(), change.banned());
                loop.execute(() -> {
                    bans.onRewritten(change, state);
                    apply();
                });
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "ban file written, {0} changes that could not be written before",
                    unwritten.size());
        } catch (IOException | RuntimeException e) {
            LOG.log(System.Logger.Level.DEBUG, "cannot write the ban file, retrying", e);
        }
        loop.execute(() -> {
            rewriteScheduled = false;
            scheduleRewrite();
        });
    }
}
