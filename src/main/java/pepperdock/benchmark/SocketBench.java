package pepperdock.benchmark;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A gatherer in a process of its own, emulated workers and a load generator in this one, all on loopback. One deployment is
 * kept for several loads, one after another, each warmed up before it is measured.
 */
final class SocketBench implements AutoCloseable {

    /** Ids of queries must differ over the gatherer's whole life. */
    private int loads;

    /**
     * A load that was measured.
     *
     * @param seconds measured
     * @param parts that came to workers in that time
     * @param gatherer what the gatherer's process used in that time: differences of {@link Observed}'s figures, and the
     *     lateness of its loop within it
     * @param workersBusy share of a core that the emulation's thread used
     * @param workersLateP99Us by how much the emulation answered late
     * @param loadAverage of the machine at the end, over one minute
     * @param profile null unless asked for
     */
    record Load(
            Deployment deployment,
            int fanOut,
            double queriesPerSecond,
            double seconds,
            long parts,
            long giveUps,
            long connections,
            LoadGenerator.Outcome ends,
            JsonObject gatherer,
            double workersBusy,
            long workersLateP99Us,
            double loadAverage,
            JsonObject profile) {

        double processorUsAPart() {
            return gatherer.get("loop_ns").getAsDouble() / 1e3 / parts;
        }

        double bytesAPart() {
            return gatherer.get("loop_bytes").getAsDouble() / parts;
        }

        double loopBusy() {
            return gatherer.get("loop_ns").getAsDouble() / 1e9 / seconds;
        }
    }

    /** Differences of these are told, of the others the later value. */
    private static final List<String> COUNTERS = List.of(
            "at_ns", "process_ns", "loop_ns", "loop_user_ns", "loop_delayed_ns", "loop_bytes", "collections_ms");

    private final Deployment deployment;
    private final long seed;
    private final EmulatedWorkers workers;
    private final GathererProcess gatherer;
    private final ExecutorService generator = Executors.newSingleThreadExecutor(task -> {
        Thread t = new Thread(task, "load generator");
        t.setDaemon(true);
        return t;
    });

    SocketBench(Deployment deployment, Behaviour behaviour, Path folder, List<String> flags, long seed)
            throws IOException {
        this.deployment = deployment;
        this.seed = seed;
        Files.createDirectories(folder);
        workers = EmulatedWorkers.open(deployment.workers(), behaviour, id -> {});
        try {
            gatherer = new GathererProcess(deployment, workers.block(), folder, flags);
        } catch (IOException e) {
            workers.close();
            throw e;
        }
    }

    /** Plays a load: so long unmeasured, then so long measured. */
    Load play(int fanOut, double queriesPerSecond, double warmS, double measureS, boolean profiled)
            throws IOException, InterruptedException {
        String prefix = "q" + loads++ + '-';
        try (LoadGenerator load =
                new LoadGenerator(gatherer.address(), deployment, fanOut, prefix, null, seed + loads)) {
            long beginNanos = System.nanoTime();
            long measureNanos = beginNanos + (long) (warmS * 1e9);
            long endNanos = measureNanos + (long) (measureS * 1e9);
            Future<LoadGenerator.Outcome> ends =
                    generator.submit(() -> load.run(queriesPerSecond, beginNanos, measureNanos, endNanos));
            sleepUntil(measureNanos);
            if (profiled) {
                gatherer.ask("profile on");
            }
            workers.lateness();
            JsonObject before = gatherer.ask("figures");
            long partsBefore = workers.parts();
            long giveUpsBefore = workers.giveUps();
            long busyBefore = ManagementFactory.getThreadMXBean().getThreadCpuTime(workers.threadId());
            long startNanos = System.nanoTime();
            sleepUntil(endNanos);
            JsonObject after = gatherer.ask("figures");
            long parts = workers.parts() - partsBefore;
            long giveUps = workers.giveUps() - giveUpsBefore;
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            long busy = ManagementFactory.getThreadMXBean().getThreadCpuTime(workers.threadId()) - busyBefore;
            long lateUs = workers.lateness().getValueAtPercentile(99);
            long connections = workers.connections();
            JsonObject profile = profiled ? gatherer.ask("profile off") : null;
            LoadGenerator.Outcome outcome = ends.get();
            if (workers.failure() != null) {
                throw new IOException("emulated workers", workers.failure());
            }
            return new Load(
                    deployment,
                    fanOut,
                    queriesPerSecond,
                    seconds,
                    parts,
                    giveUps,
                    connections,
                    outcome,
                    differences(before, after),
                    busy / 1e9 / seconds,
                    lateUs,
                    ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                    profile);
        } catch (ExecutionException e) {
            throw new IOException("load generator", e.getCause());
        }
    }

    /** The process's figures after a full collection, and how many connections it has to workers. */
    JsonObject memory() throws IOException {
        JsonObject figures = gatherer.ask("collect");
        figures.addProperty("connections", workers.connections());
        return figures;
    }

    private static JsonObject differences(JsonObject before, JsonObject after) {
        JsonObject all = after.deepCopy();
        for (String name : COUNTERS) {
            all.addProperty(name, after.get(name).getAsLong() - before.get(name).getAsLong());
        }
        return all;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
    }

    @Override
    public void close() throws IOException {
        generator.shutdownNow();
        gatherer.close();
        workers.close();
    }
}
