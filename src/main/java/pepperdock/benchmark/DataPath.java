package pepperdock.benchmark;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.config.ConfigException;

/**
 * Measures the gatherer's data path at several sizes: results are a row for each size and lines fitted through them.
 */
public final class DataPath {

    /** The available measurements. */
    public enum Measurement {
        /** Processor time and allocation of decisions alone, by workers and fan-out; simulated time. */
        DECISIONS,
        /** Processor time and allocation of a list change that concerns one worker, by workers; simulated time. */
        LIST,
        /**
         * The highest rate that one loop would sustain within the target, by the cost of a part; from EventLoopModel.
         */
        MODEL,
        /** As DECISIONS, but with sockets and the gatherer in its own process. */
        COST,
        /** Latency by load, at one size. */
        LOAD,
        /** Memory by open connections. */
        MEMORY
    }

    /**
     * The parameters of a measurement.
     *
     * @param workers numbers of workers to measure
     * @param fanOuts fan-outs to measure; those above the number of workers are left out
     * @param partsPerSecond loads, in parts per second; {@code DECISIONS} and {@code COST} take the first
     * @param holders workers that hold a shard
     * @param tickS least time between two batches, in seconds
     * @param stragglers whether one part in 10,000 takes 60 ms more, and copies are allowed
     * @param patient whether aim and deadline are far longer than the target's, so that no query is refused for being
     *     late
     * @param firstWarmS how long a gatherer's process is warmed up before its first load, in seconds
     * @param warmS how long each load runs before it is measured, in seconds
     * @param measureS how long each load is measured, in seconds
     * @param profiled whether the loop's thread is sampled during the measurement
     * @param partsPerConnection for {@code MEMORY}: number of parts sent over each connection before memory is measured
     * @param jvmFlags JVM flags of the gatherer's process
     */
    public record Plan(
            Measurement what,
            List<Integer> workers,
            List<Integer> fanOuts,
            List<Integer> partsPerSecond,
            int holders,
            double tickS,
            boolean stragglers,
            boolean patient,
            double firstWarmS,
            double warmS,
            double measureS,
            boolean profiled,
            int partsPerConnection,
            List<String> jvmFlags,
            Path folder,
            long seed) {

        private Deployment deployment(int size) {
            return patient
                    ? Deployment.patient(size, holders, tickS)
                    : Deployment.ofTarget(size, holders, tickS, stragglers);
        }

        private ServiceTimeModel serviceTimes() {
            return stragglers ? ServiceTimeModel.stragglers(seed) : ServiceTimeModel.even(seed);
        }
    }

    /** Warm-up parts of a run of {@code DECISIONS}; {@link #MEASURED_PARTS} follow. */
    private static final long WARM_PARTS = 300_000;

    private static final long MEASURED_PARTS = 400_000;
    private static final int LIST_CHANGES = 3000;
    /** Costs of a part in the model, in microseconds; half of each is for sending the part, half for its answer. */
    private static final List<Integer> MODEL_US_PER_PART = List.of(5, 10, 15, 20, 25);

    private static final int MODEL_PARTS = 1_000_000;
    private static final int MODEL_MIN_QUERIES = 2000;
    /** Rate of the queries to all workers that open the connections, in parts per second. */
    private static final int OPENING_PARTS_PER_SECOND = 10_000;

    private static final double OPENING_S = 3;
    /** Fan-out of the first warm-up. */
    private static final int WARM_FAN_OUT = 100;

    private final Plan plan;
    private final Consumer<String> progress;
    private final Results results = new Results();

    private DataPath(Plan plan, Consumer<String> progress) {
        this.plan = plan;
        this.progress = progress;
    }

    /** Measures by the plan; passes each row to {@code progress} as soon as it is available. */
    public static Results run(Plan plan, Consumer<String> progress) throws IOException, InterruptedException {
        if (plan.workers().isEmpty()
                || plan.fanOuts().isEmpty()
                || plan.partsPerSecond().isEmpty()) {
            throw new ConfigException(
                    "lab scale data",
                    "a size is missing: workers, fan-outs and parts per second each need at least one value");
        }
        DataPath run = new DataPath(plan, progress);
        switch (plan.what()) {
            case DECISIONS -> run.measureDecisions();
            case LIST -> run.measureListChanges();
            case MODEL -> run.evaluateModel();
            case COST -> run.measureCost();
            case LOAD -> run.measureLoad();
            case MEMORY -> run.measureMemory();
        }
        return run.results;
    }

    private List<Integer> fanOuts(int workers) {
        return plan.fanOuts().stream().filter(f -> f <= workers).toList();
    }

    private void row(JsonObject row) {
        results.row(row);
        progress.accept(row.toString());
    }

    private void measureDecisions() {
        int partsPerSecond = plan.partsPerSecond().get(0);
        for (int workers : plan.workers()) {
            List<LeastSquares.Point> points = new ArrayList<>();
            for (int fanOut : fanOuts(workers)) {
                DecisionCost.Result result = DecisionCost.measure(
                        plan.deployment(workers),
                        fanOut,
                        partsPerSecond,
                        plan.serviceTimes(),
                        WARM_PARTS,
                        MEASURED_PARTS,
                        plan.seed());
                row(Results.row(result));
                points.add(new LeastSquares.Point(fanOut, result.cpuUsPerPart() * fanOut));
            }
            fit("us a query by fan-out, " + workers + " workers", points);
        }
    }

    private void measureListChanges() {
        List<LeastSquares.Point> points = new ArrayList<>();
        for (int workers : plan.workers()) {
            ListChangeCost.Result result = ListChangeCost.measure(plan.deployment(workers), LIST_CHANGES, plan.seed());
            row(Results.row(result));
            points.add(new LeastSquares.Point(workers, result.cpuUsPerChange()));
        }
        fit("us a change of the list by workers", points);
    }

    private void evaluateModel() {
        for (int fanOut : plan.fanOuts()) {
            for (int usPerPart : MODEL_US_PER_PART) {
                double halfS = usPerPart / 2e6;
                EventLoopModel model = new EventLoopModel(fanOut, halfS, halfS, plan.serviceTimes());
                int queries = Math.max(MODEL_MIN_QUERIES, MODEL_PARTS / fanOut);
                double rate = model.highestRate(Deployment.AIM_S, queries, plan.seed());
                JsonObject row = new JsonObject();
                row.addProperty("fan_out", fanOut);
                row.addProperty("us_per_part", usPerPart);
                row.addProperty("highest_queries_per_s", Math.round(rate * 10) / 10.0);
                row.addProperty("highest_parts_per_s", Math.round(rate * fanOut));
                row.addProperty("loop_busy", Math.round(rate * fanOut * usPerPart / 1e4) / 100.0);
                row(row);
            }
        }
    }

    private void measureCost() throws IOException, InterruptedException {
        int partsPerSecond = plan.partsPerSecond().get(0);
        for (int workers : plan.workers()) {
            List<LeastSquares.Point> points = new ArrayList<>();
            try (SocketBench bench = warmBench(workers)) {
                for (int fanOut : fanOuts(workers)) {
                    SocketBench.Load load = measureAndReport(bench, fanOut, partsPerSecond);
                    points.add(new LeastSquares.Point(fanOut, load.cpuUsPerPart() * fanOut));
                }
            }
            fit("us a query by fan-out, " + workers + " workers", points);
        }
    }

    private void measureLoad() throws IOException, InterruptedException {
        for (int workers : plan.workers()) {
            try (SocketBench bench = warmBench(workers)) {
                for (int fanOut : fanOuts(workers)) {
                    List<LeastSquares.Point> points = new ArrayList<>();
                    for (int partsPerSecond : plan.partsPerSecond()) {
                        SocketBench.Load load = measureAndReport(bench, fanOut, partsPerSecond);
                        points.add(new LeastSquares.Point(load.parts() / load.seconds(), load.loopBusy() * 1e6));
                    }
                    fit("us of the loop by parts, " + workers + " workers, fan-out " + fanOut, points);
                }
            }
        }
    }

    private void measureMemory() throws IOException, InterruptedException {
        List<LeastSquares.Point> resident = new ArrayList<>();
        List<LeastSquares.Point> heap = new ArrayList<>();
        for (int workers : plan.workers()) {
            try (SocketBench bench = bench(workers)) {
                int fanOut = Math.min(workers, plan.fanOuts().get(0));
                bench.runLoad(fanOut, OPENING_PARTS_PER_SECOND / (double) fanOut, 0, OPENING_S, false);
                int partsPerSecond = plan.partsPerSecond().get(0);
                double useS = workers * (double) plan.partsPerConnection() / partsPerSecond;
                if (useS > 0) {
                    bench.runLoad(fanOut, partsPerSecond / (double) fanOut, 0, useS, false);
                }
                JsonObject row = bench.memory();
                row.addProperty("workers", workers);
                row.addProperty("parts_a_connection", plan.partsPerConnection());
                row(row);
                double connections = row.get("connections").getAsDouble();
                resident.add(new LeastSquares.Point(
                        connections, row.get("resident_kib").getAsDouble()));
                heap.add(new LeastSquares.Point(
                        connections, row.get("heap_bytes").getAsDouble() / 1024));
            }
        }
        fit("KiB resident by connections", resident);
        fit("KiB of live heap by connections", heap);
    }

    private SocketBench warmBench(int workers) throws IOException, InterruptedException {
        SocketBench bench = bench(workers);
        int fanOut = Math.min(workers, WARM_FAN_OUT);
        double rate = plan.partsPerSecond().get(0) / (double) fanOut;
        try {
            bench.runLoad(fanOut, rate, plan.firstWarmS(), 0, false);
        } catch (IOException e) {
            bench.close();
            throw e;
        }
        return bench;
    }

    private SocketBench bench(int workers) throws IOException {
        return new SocketBench(
                plan.deployment(workers),
                plan.serviceTimes(),
                plan.folder().resolve("workers-" + workers),
                plan.jvmFlags(),
                plan.seed());
    }

    private SocketBench.Load measureAndReport(SocketBench bench, int fanOut, int partsPerSecond)
            throws IOException, InterruptedException {
        double rate = partsPerSecond / (double) fanOut;
        SocketBench.Load load = bench.runLoad(fanOut, rate, plan.warmS(), plan.measureS(), plan.profiled());
        row(Results.row(load));
        return load;
    }

    private void fit(String name, List<LeastSquares.Point> points) {
        if (points.stream().mapToDouble(LeastSquares.Point::size).distinct().count() > 1) {
            progress.accept(results.fit(name, points));
        }
    }
}
