package pepperdock.benchmark;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.config.ConfigException;

/** The measurements of the gatherer's data path, each over several sizes: a row for each size, and lines through them. */
public final class DataPath {

    /** What can be measured. */
    public enum What {
        /** Processor time and allocation of decisions alone, by workers and fan-out; simulated time. */
        DECISIONS,
        /** Processor time and allocation of a change of the list that tells of one worker, by workers; simulated time. */
        LIST,
        /** The highest rate that one loop would carry within the target, by the cost of a part: a model, see LoopModel. */
        MODEL,
        /** The same as decisions, with sockets, in a process of its own. */
        COST,
        /** Latency by load, at one size. */
        LOAD,
        /** Memory by open connections. */
        MEMORY
    }

    /**
     * How to measure.
     *
     * @param workers sizes
     * @param fanOuts sizes; those above the workers are left out
     * @param partsPerSecond loads, in parts a second; {@code DECISIONS} and {@code COST} take the first
     * @param holders workers that hold a shard
     * @param tickS least time between two batches, in seconds
     * @param stragglers whether one part in 10,000 takes 60 ms more, and copies are allowed
     * @param patient whether aim and deadline are far beyond the target's, so that no query is refused for being late
     * @param firstWarmS how long a gatherer's process is warmed up before its first load, in seconds
     * @param warmS how long each load is played before it is measured, in seconds
     * @param measureS how long each load is measured, in seconds
     * @param profiled whether the loop's thread is sampled meanwhile
     * @param partsAConnection for {@code MEMORY}: so many parts go over each connection before it is taken
     * @param jvm flags of the gatherer's process
     */
    public record Plan(
            What what,
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
            int partsAConnection,
            List<String> jvm,
            Path folder,
            long seed) {

        private Deployment deployment(int size) {
            return patient
                    ? Deployment.patient(size, holders, tickS)
                    : Deployment.ofTarget(size, holders, tickS, stragglers);
        }

        private Behaviour behaviour() {
            return stragglers ? Behaviour.stragglers(seed) : Behaviour.even(seed);
        }
    }

    /** Parts of a run of {@code DECISIONS}: to warm the code up, and measured. */
    private static final long WARM_PARTS = 300_000;

    private static final long MEASURED_PARTS = 400_000;
    private static final int LIST_CHANGES = 3000;
    /** Costs of a part for the model, in microseconds; half of each on the way out. */
    private static final List<Integer> MODEL_US_A_PART = List.of(5, 10, 15, 20, 25);

    private static final int MODEL_PARTS = 1_000_000;
    private static final int MODEL_QUERIES_LEAST = 2000;
    /** Connections are opened by queries to all workers, at so many parts a second. */
    private static final int OPENING_PARTS_A_SECOND = 10_000;

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

    /** Measures by the plan; tells each row as it is had. */
    public static Results run(Plan plan, Consumer<String> progress) throws IOException, InterruptedException {
        if (plan.workers().isEmpty()
                || plan.fanOuts().isEmpty()
                || plan.partsPerSecond().isEmpty()) {
            throw new ConfigException("lab scale data", "a size is missing");
        }
        DataPath run = new DataPath(plan, progress);
        switch (plan.what()) {
            case DECISIONS -> run.decisions();
            case LIST -> run.list();
            case MODEL -> run.model();
            case COST -> run.cost();
            case LOAD -> run.load();
            case MEMORY -> run.memory();
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

    private void decisions() {
        int partsPerSecond = plan.partsPerSecond().get(0);
        for (int workers : plan.workers()) {
            List<LeastSquares.Point> points = new ArrayList<>();
            for (int fanOut : fanOuts(workers)) {
                DecisionCost.Result r = DecisionCost.measure(
                        plan.deployment(workers),
                        fanOut,
                        partsPerSecond,
                        plan.behaviour(),
                        WARM_PARTS,
                        MEASURED_PARTS,
                        plan.seed());
                row(Results.row(r));
                points.add(new LeastSquares.Point(fanOut, r.processorUsAPart() * fanOut));
            }
            fit("us a query by fan-out, " + workers + " workers", points);
        }
    }

    private void list() {
        List<LeastSquares.Point> points = new ArrayList<>();
        for (int workers : plan.workers()) {
            ListChangeCost.Result r = ListChangeCost.measure(plan.deployment(workers), LIST_CHANGES, plan.seed());
            row(Results.row(r));
            points.add(new LeastSquares.Point(workers, r.processorUsAChange()));
        }
        fit("us a change of the list by workers", points);
    }

    private void model() {
        for (int fanOut : plan.fanOuts()) {
            for (int usAPart : MODEL_US_A_PART) {
                double halfS = usAPart / 2e6;
                LoopModel model = new LoopModel(fanOut, halfS, halfS, plan.behaviour());
                int queries = Math.max(MODEL_QUERIES_LEAST, MODEL_PARTS / fanOut);
                double rate = model.highestRate(Deployment.AIM_S, queries, plan.seed());
                JsonObject row = new JsonObject();
                row.addProperty("fan_out", fanOut);
                row.addProperty("us_per_part", usAPart);
                row.addProperty("highest_queries_per_s", Math.round(rate * 10) / 10.0);
                row.addProperty("highest_parts_per_s", Math.round(rate * fanOut));
                row.addProperty("loop_busy", Math.round(rate * fanOut * usAPart / 1e4) / 100.0);
                row(row);
            }
        }
    }

    private void cost() throws IOException, InterruptedException {
        int partsPerSecond = plan.partsPerSecond().get(0);
        for (int workers : plan.workers()) {
            List<LeastSquares.Point> points = new ArrayList<>();
            try (SocketBench bench = warmBench(workers)) {
                for (int fanOut : fanOuts(workers)) {
                    SocketBench.Load load = play(bench, fanOut, partsPerSecond);
                    points.add(new LeastSquares.Point(fanOut, load.processorUsAPart() * fanOut));
                }
            }
            fit("us a query by fan-out, " + workers + " workers", points);
        }
    }

    private void load() throws IOException, InterruptedException {
        for (int workers : plan.workers()) {
            try (SocketBench bench = warmBench(workers)) {
                for (int fanOut : fanOuts(workers)) {
                    List<LeastSquares.Point> points = new ArrayList<>();
                    for (int partsPerSecond : plan.partsPerSecond()) {
                        SocketBench.Load load = play(bench, fanOut, partsPerSecond);
                        points.add(new LeastSquares.Point(load.parts() / load.seconds(), load.loopBusy() * 1e6));
                    }
                    fit("us of the loop by parts, " + workers + " workers, fan-out " + fanOut, points);
                }
            }
        }
    }

    private void memory() throws IOException, InterruptedException {
        List<LeastSquares.Point> resident = new ArrayList<>();
        List<LeastSquares.Point> heap = new ArrayList<>();
        for (int workers : plan.workers()) {
            try (SocketBench bench = bench(workers)) {
                int fanOut = Math.min(workers, plan.fanOuts().get(0));
                bench.play(fanOut, OPENING_PARTS_A_SECOND / (double) fanOut, 0, OPENING_S, false);
                int partsPerSecond = plan.partsPerSecond().get(0);
                double useS = workers * (double) plan.partsAConnection() / partsPerSecond;
                if (useS > 0) {
                    bench.play(fanOut, partsPerSecond / (double) fanOut, 0, useS, false);
                }
                JsonObject row = bench.memory();
                row.addProperty("workers", workers);
                row.addProperty("parts_a_connection", plan.partsAConnection());
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
            bench.play(fanOut, rate, plan.firstWarmS(), 0, false);
        } catch (IOException e) {
            bench.close();
            throw e;
        }
        return bench;
    }

    private SocketBench bench(int workers) throws IOException {
        return new SocketBench(
                plan.deployment(workers),
                plan.behaviour(),
                plan.folder().resolve("workers-" + workers),
                plan.jvm(),
                plan.seed());
    }

    private SocketBench.Load play(SocketBench bench, int fanOut, int partsPerSecond)
            throws IOException, InterruptedException {
        double rate = partsPerSecond / (double) fanOut;
        SocketBench.Load load = bench.play(fanOut, rate, plan.warmS(), plan.measureS(), plan.profiled());
        row(Results.row(load));
        return load;
    }

    private void fit(String name, List<LeastSquares.Point> points) {
        if (points.stream().mapToDouble(LeastSquares.Point::size).distinct().count() > 1) {
            progress.accept(results.fit(name, points));
        }
    }
}
