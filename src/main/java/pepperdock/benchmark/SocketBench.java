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
 * Runs a gatherer in its own process, and emulated workers and a load generator in this process, all on loopback. The
 * same deployment serves several loads one after another; each load is warmed up before it is measured.
 */
final class SocketBench implements AutoCloseable {

    /** Number of loads so far; part of the query ids, which must be unique over the gatherer's lifetime. */
    private int loads;

    /**
     * The measurements of a load.
     *
     * @param seconds measured time
     * @param parts number of parts that workers received in that time
     * @param gatherer resources that the gatherer's process used in that time: differences of the counters of
     *     {@link InstrumentedMain}, and the lateness of its event loop
     * @param workersBusy share of a core that the thread of the emulated workers used
     * @param workersLateP99Us 99th percentile of the lateness of the emulated workers' answers
     * @param loadAverage load average of the machine over one minute, at the end
     * @param profile the profile, or null if none was requested
     */
    record Load(
            Deployment deployment,
            int fanOut,
            double queriesPerSecond,
            double seconds,
            long parts,
            long cancelledParts,
            long connections,
            LoadGenerator.Outcome outcome,
            JsonObject gatherer,
            double workersBusy,
            long workersLateP99Us,
            double loadAverage,
            JsonObject profile) {

        double cpuUsPerPart() {
            return gatherer.get("loop_ns").getAsDouble() / 1e3 / parts;
        }

        double bytesPerPart() {
            return gatherer.get("loop_bytes").getAsDouble() / parts;
        }

        double loopBusy() {
            return gatherer.get("loop_ns").getAsDouble() / 1e9 / seconds;
        }
    }

    /** Figures reported as differences; of all others the later value is reported. */
    private static final List<String> COUNTERS = List.of(
            "at_ns", "process_ns", "loop_ns", "loop_user_ns", "loop_delayed_ns", "loop_bytes", "collections_ms");

    private final Deployment deployment;
    private final long seed;
    private final EmulatedWorkers workers;
    private final GathererProcess gatherer;
    private final ExecutorService generator = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "load generator");
        thread.setDaemon(true);
        return thread;
    });

    SocketBench(Deployment deployment, ServiceTimeModel serviceTimes, Path folder, List<String> flags, long seed)
            throws IOException {
        this.deployment = deployment;
        this.seed = seed;
        Files.createDirectories(folder);
        workers = EmulatedWorkers.open(deployment.workers(), serviceTimes, id -> {});
        try {
            gatherer = new GathererProcess(deployment, workers.block(), folder, flags);
        } catch (IOException e) {
            workers.close();
            throw e;
        }
    }

    /** Runs a load for {@code warmS} seconds unmeasured, then for {@code measureS} seconds measured. */
    Load runLoad(int fanOut, double queriesPerSecond, double warmS, double measureS, boolean profiled)
            throws IOException, InterruptedException {
        String prefix = "q" + loads++ + '-';
        try (LoadGenerator load =
                new LoadGenerator(gatherer.address(), deployment, fanOut, prefix, null, seed + loads)) {
            long beginNanos = System.nanoTime();
            long measureNanos = beginNanos + (long) (warmS * 1e9);
            long endNanos = measureNanos + (long) (measureS * 1e9);
            Future<LoadGenerator.Outcome> pendingOutcome =
                    generator.submit(() -> load.run(queriesPerSecond, beginNanos, measureNanos, endNanos));
            sleepUntil(measureNanos);
            if (profiled) {
                gatherer.sendCommand("profile on");
            }
            workers.lateness();
            JsonObject before = gatherer.sendCommand("figures");
            long partsBefore = workers.parts();
            long cancelledPartsBefore = workers.cancelledParts();
            long busyBefore = ManagementFactory.getThreadMXBean().getThreadCpuTime(workers.threadId());
            long startNanos = System.nanoTime();
            sleepUntil(endNanos);
            JsonObject after = gatherer.sendCommand("figures");
            long parts = workers.parts() - partsBefore;
            long cancelledParts = workers.cancelledParts() - cancelledPartsBefore;
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            long busy = ManagementFactory.getThreadMXBean().getThreadCpuTime(workers.threadId()) - busyBefore;
            long lateUs = workers.lateness().getValueAtPercentile(99);
            long connections = workers.connections();
            JsonObject profile = profiled ? gatherer.sendCommand("profile off") : null;
            LoadGenerator.Outcome outcome = pendingOutcome.get();
            if (workers.failure() != null) {
                throw new IOException("the thread of the emulated workers failed", workers.failure());
            }
            return new Load(
                    deployment,
                    fanOut,
                    queriesPerSecond,
                    seconds,
                    parts,
                    cancelledParts,
                    connections,
                    outcome,
                    withDifferences(before, after),
                    busy / 1e9 / seconds,
                    lateUs,
                    ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                    profile);
        } catch (ExecutionException e) {
            throw new IOException("the load generator failed", e.getCause());
        }
    }

    /** Returns the process's figures after a full garbage collection, and its number of connections to workers. */
    JsonObject memory() throws IOException {
        JsonObject figures = gatherer.sendCommand("collect");
        figures.addProperty("connections", workers.connections());
        return figures;
    }

    private static JsonObject withDifferences(JsonObject before, JsonObject after) {
        JsonObject all = after.deepCopy();
        for (String name : COUNTERS) {
            all.addProperty(name, after.get(name).getAsLong() - before.get(name).getAsLong());
        }
        return all;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long remainingNanos = nanos - System.nanoTime();
        if (remainingNanos > 0) {
            Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
        }
    }

    @Override
    public void close() throws IOException {
        generator.shutdownNow();
        gatherer.close();
        workers.close();
    }
}
