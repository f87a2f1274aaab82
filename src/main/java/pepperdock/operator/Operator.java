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
import pepperdock.net.HttpServer;
import pepperdock.net.Loop;

/**
 * What operators have to do with a running gatherer: their address, the bans, and the other process of an upgrade. State is
 * the loop's; the disk is a thread's of its own, which hands back what it read.
 */
public final class Operator implements Door.Desk, Beside {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    /** Out of the descriptors that are kept spare; whoever waits without a whole call gives way to the next. */
    private static final int CALLERS_MOST = 12;
    /** Whoever has not completed a call by then is nobody's caller any more. */
    private static final double CALL_S = 4;

    private static final int BODY_MOST = 4096;
    /** Calls that may wait for a disk that stands still. */
    private static final int WAITING_MOST = 100;
    /** How often the disk is asked for another process and for its bans: word of leaving has a grace of five times that. */
    private static final long LOOK_MS = 100;

    private final Loop loop;
    private final Gatherer core;
    private final BooleanSupplier ready;
    private final Bans bans = new Bans();
    private final List<Consumer<Boolean>> besides = new ArrayList<>();
    private final List<Consumer<Boolean>> serving = new ArrayList<>();
    /** All three null where there is no folder for the state. */
    private final BanFile file;

    private final Lives lives;
    private final ScheduledExecutorService disk;
    private boolean beside;
    private boolean serves;
    private boolean handedOver;
    private long loads;
    private long loadErrors;
    /** The disk thread's. */
    private boolean seenBeside;

    private boolean seenServing;
    private Set<String> seenBans;
    private boolean failing;

    /** {@code folder} is null where nothing outlives this process; {@code ready} says whether it takes queries. */
    public Operator(Path folder, Loop loop, Gatherer core, BooleanSupplier ready) throws IOException {
        this.loop = loop;
        this.core = core;
        this.ready = ready;
        file = folder == null ? null : new BanFile(folder);
        lives = folder == null ? null : new Lives(folder);
        if (folder == null) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "TMPDIR not set: bans last as long as this process, upgrades are not noticed");
            disk = null;
            return;
        }
        seenBeside = lives.another();
        if (!seenBeside) {
            lives.serve();
        }
        seenServing = lives.anotherServes();
        serves = seenServing;
        seenBans = file.read();
        beside = seenBeside;
        bans.read(seenBans);
        if (beside || !seenBans.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "{0}, {1} workers disabled",
                    beside ? "another process of this gatherer serves" : "no other process of this gatherer",
                    seenBans.size());
        }
        disk = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread t = new Thread(task, "operator");
            t.setDaemon(true);
            return t;
        });
    }

    /** Opens the address and begins to look for another process; on the loop's thread, before the first list is told. */
    public void start(InetSocketAddress at) throws IOException {
        core.ban(bans.inForce());
        if (beside) {
            besides.forEach(then -> then.accept(true));
        }
        if (serves) {
            serving.forEach(then -> then.accept(true));
        }
        if (disk != null) {
            var unused = disk.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }
        HttpServer server =
                new HttpServer(loop, at, Loop.Kind.APART, CALL_S, BODY_MOST, () -> CALLERS_MOST, new Door(this));
        LOG.log(System.Logger.Level.INFO, "operators are served on {0}", server.address());
    }

    /** Tells the other process that this one takes queries from now on, then goes on with that, on the loop's thread. */
    public void serve(Runnable then) {
        onDisk(lives::serve, then);
    }

    @Override
    public void look(Runnable then) {
        if (disk == null) {
            then.run();
        } else {
            onDisk(this::look, then);
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    private void onDisk(Step step, Runnable then) {
        disk.execute(() -> {
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
    public boolean anotherServes() {
        return serves;
    }

    /** Whether another process of this gatherer lives now. */
    public boolean beside() {
        return beside;
    }

    /** Tells, on the loop's thread, of each change of that, and of the state at the start where there is another. */
    public void whenBeside(Consumer<Boolean> then) {
        besides.add(then);
    }

    /** The same of whether another takes new queries: one that was told to end lives on for a while, and has no part then. */
    public void whenAnotherServes(Consumer<Boolean> then) {
        serving.add(then);
    }

    @Override
    public void handOver() {
        handedOver = true;
        core.handOver();
        onDisk(lives::handOver, () -> {});
    }

    /** A configuration file was taken, or turned down. */
    public void read(boolean taken) {
        if (taken) {
            loads++;
        } else {
            loadErrors++;
        }
    }

    private void look() {
        try {
            boolean another = lives.another();
            boolean anotherServes = lives.anotherServes();
            Set<String> state = file.read();
            if (another != seenBeside || anotherServes != seenServing || !state.equals(seenBans)) {
                seenBeside = another;
                seenServing = anotherServes;
                seenBans = state;
                loop.execute(() -> seen(another, anotherServes, state));
            }
            failing = false;
        } catch (IOException | RuntimeException e) {
            if (!failing) {
                failing = true;
                LOG.log(System.Logger.Level.ERROR, "state of operators not readable: {0}", String.valueOf(e));
            }
        }
    }

    private void seen(boolean another, boolean anotherServes, Set<String> state) {
        bans.read(state);
        core.ban(bans.inForce());
        if (beside != another) {
            beside = another;
            LOG.log(
                    System.Logger.Level.INFO,
                    another
                            ? "another process of this gatherer has begun"
                            : "the other process of this gatherer has ended");
            besides.forEach(then -> then.accept(another));
        }
        if (serves != anotherServes) {
            serves = anotherServes;
            if (!handedOver) {
                serving.forEach(then -> then.accept(anotherServes));
            }
        }
    }

    // ---- The calls ------------------------------------------------------------

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public String figures() {
        return FigureText.of(core, loads, loadErrors);
    }

    @Override
    public boolean knows(String worker) {
        return core.everListed(worker);
    }

    /** In force at once; told once it is also written down, as an upgrade a moment later must find it. */
    @Override
    public void ban(String worker, boolean out, Consumer<String> then) {
        if (out && !bans.inForce().contains(worker) && bans.inForce().size() >= Bans.MOST
                || bans.waiting() >= WAITING_MOST) {
            then.accept("not done: " + bans.inForce().size() + " workers are disabled, " + bans.waiting()
                    + " calls wait for the disk");
            return;
        }
        long no = bans.ask(worker, out);
        core.ban(bans.inForce());
        LOG.log(System.Logger.Level.INFO, "worker {0} {1} by hand", worker, out ? "disabled" : "enabled");
        if (disk == null) {
            bans.written(no, null);
            then.accept(null);
            return;
        }
        disk.execute(() -> {
            Set<String> state = null;
            String failed = null;
            try {
                state = file.change(worker, out);
                seenBans = state;
            } catch (IOException | RuntimeException e) {
                failed = "in force, but not written down, so lost with this process: " + e;
                LOG.log(System.Logger.Level.ERROR, "bans not written: {0}", String.valueOf(e));
            }
            Set<String> now = state;
            String why = failed;
            loop.execute(() -> {
                bans.written(no, now);
                core.ban(bans.inForce());
                then.accept(why);
            });
        });
    }
}
