package pepperdock.benchmark;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Collects the measurements, and writes them as JSON or as a self-contained HTML page that includes the plot library.
 */
public final class Results {

    private static final String PLOTS = "/META-INF/resources/webjars/echarts/5.3.1/dist/echarts.min.js";
    private static final String PAGE = "/pepperdock/benchmark/report.html";

    private final JsonArray rows = new JsonArray();
    private final JsonArray fits = new JsonArray();

    void row(JsonObject row) {
        rows.add(row);
    }

    /** Fits a line through the points, adds it to the results and returns a description of it. */
    String fit(String name, List<LeastSquares.Point> points) {
        LeastSquares line = LeastSquares.fit(points);
        JsonObject fit = new JsonObject();
        fit.addProperty("name", name);
        JsonArray all = new JsonArray();
        for (LeastSquares.Point point : points) {
            JsonArray pair = new JsonArray();
            pair.add(point.size());
            pair.add(point.value());
            all.add(pair);
        }
        fit.add("points", all);
        fit.addProperty("intercept", line.intercept());
        fit.addProperty("slope", line.slope());
        fit.addProperty("residual", line.residual());
        fits.add(fit);
        return String.format(
                Locale.ROOT,
                "%s: %.3f + %.5f x, residual %.3f, %d sizes",
                name,
                line.intercept(),
                line.slope(),
                line.residual(),
                points.size());
    }

    static JsonObject row(DecisionCost.Result result) {
        JsonObject row = sizes(result.deployment(), result.fanOut());
        row.addProperty("parts_per_s", result.partsPerSecond());
        row.addProperty("answered_whole", result.queries());
        row.addProperty("answered_otherwise", result.others());
        row.addProperty("attempts", result.attempts());
        row.addProperty("us_per_part", rounded(result.cpuUsPerPart()));
        row.addProperty("bytes_per_part", Math.round(result.bytesPerPart()));
        return row;
    }

    static JsonObject row(ListChangeCost.Result result) {
        JsonObject row = new JsonObject();
        row.addProperty("workers", result.deployment().workers());
        row.addProperty("changes", result.changes());
        row.addProperty("us_per_change", rounded(result.cpuUsPerChange()));
        row.addProperty("bytes_per_change", Math.round(result.bytesPerChange()));
        return row;
    }

    static JsonObject row(SocketBench.Load load) {
        LoadGenerator.Outcome outcome = load.outcome();
        JsonObject gatherer = load.gatherer();
        JsonObject row = sizes(load.deployment(), load.fanOut());
        row.addProperty("queries_per_s", rounded(load.queriesPerSecond()));
        row.addProperty("seconds", rounded(load.seconds()));
        row.addProperty("asked", outcome.asked());
        row.addProperty("whole", outcome.whole());
        row.addProperty("partial", outcome.partial());
        row.addProperty("refused", outcome.refused());
        row.addProperty("failed", outcome.failed());
        row.addProperty("unanswered", outcome.unanswered());
        row.addProperty(
                "within_aim", outcome.asked() == 0 ? 0 : rounded(outcome.withinAim() / (double) outcome.asked()));
        row.addProperty("parts_per_s", Math.round(load.parts() / load.seconds()));
        row.addProperty("given_up", load.cancelledParts());
        row.addProperty("connections", load.connections());
        percentiles(row, "latency", outcome.latencyUs());
        row.addProperty(
                "generator_late_p99_ms", milliseconds(outcome.generatorLateUs().getValueAtPercentile(99)));
        row.addProperty("workers_late_p99_ms", milliseconds(load.workersLateP99Us()));
        row.addProperty(
                "loop_late_p50_ms",
                milliseconds(gatherer.get("loop_late_p50_us").getAsLong()));
        row.addProperty(
                "loop_late_p99_ms",
                milliseconds(gatherer.get("loop_late_p99_us").getAsLong()));
        row.addProperty(
                "loop_late_most_ms",
                milliseconds(gatherer.get("loop_late_most_us").getAsLong()));
        row.addProperty("loop_busy", rounded(load.loopBusy()));
        row.addProperty("loop_delayed", rounded(gatherer.get("loop_delayed_ns").getAsDouble() / 1e9 / load.seconds()));
        row.addProperty(
                "loop_kernel_share",
                rounded(1
                        - gatherer.get("loop_user_ns").getAsDouble()
                                / Math.max(1, gatherer.get("loop_ns").getAsDouble())));
        row.addProperty("process_busy", rounded(gatherer.get("process_ns").getAsDouble() / 1e9 / load.seconds()));
        row.addProperty("us_per_part", rounded(load.cpuUsPerPart()));
        row.addProperty("us_per_query", rounded(load.cpuUsPerPart() * load.fanOut()));
        row.addProperty("bytes_per_part", Math.round(load.bytesPerPart()));
        row.addProperty("collections_ms", gatherer.get("collections_ms").getAsLong());
        row.addProperty("resident_mib", gatherer.get("resident_kib").getAsLong() / 1024);
        row.addProperty("workers_busy", rounded(load.workersBusy()));
        row.addProperty("load_average", rounded(load.loadAverage()));
        if (load.profile() != null) {
            row.add("profile", load.profile());
        }
        return row;
    }

    private static JsonObject sizes(Deployment deployment, int fanOut) {
        JsonObject row = new JsonObject();
        row.addProperty("workers", deployment.workers());
        row.addProperty("fan_out", fanOut);
        row.addProperty("holders", deployment.holders());
        row.addProperty("tick_ms", deployment.tickS() * 1e3);
        return row;
    }

    private static void percentiles(JsonObject row, String name, Histogram us) {
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            row.addProperty(
                    name + "_p"
                            + (percentile == Math.rint(percentile)
                                    ? String.valueOf((int) percentile)
                                    : String.valueOf(percentile))
                            + "_ms",
                    us.getTotalCount() == 0 ? -1 : milliseconds(us.getValueAtPercentile(percentile)));
        }
        row.addProperty(name + "_most_ms", milliseconds(us.getMaxValue()));
    }

    private static double milliseconds(long us) {
        return Math.round(us / 10.0) / 100.0;
    }

    private static double rounded(double value) {
        return Math.round(value * 1e3) / 1e3;
    }

    /** Returns all results as JSON; {@code plan} describes how they were measured. */
    public JsonObject json(String plan) {
        JsonObject all = new JsonObject();
        all.addProperty("plan", plan);
        all.addProperty("processors", Runtime.getRuntime().availableProcessors());
        all.addProperty("java", System.getProperty("java.runtime.version"));
        all.add("rows", rows);
        all.add("fits", fits);
        return all;
    }

    /** Returns all results as one HTML page; {@code plan} is as in {@link #json}. */
    public String html(String plan) throws IOException {
        return resource(PAGE)
                .replace("/*PLOTS*/", resource(PLOTS))
                .replace("/*DATA*/null", json(plan).toString().replace("</", "<\\/"));
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Results.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("resource " + name + " is missing in the jar");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
