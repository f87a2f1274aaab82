package pepperdock.benchmark;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** What was measured, as JSON and as one page that holds all that it needs, the plot library included. */
public final class Results {

    private static final String PLOTS = "/META-INF/resources/webjars/echarts/5.3.1/dist/echarts.min.js";
    private static final String PAGE = "/pepperdock/benchmark/report.html";

    private final JsonArray rows = new JsonArray();
    private final JsonArray fits = new JsonArray();

    void row(JsonObject row) {
        rows.add(row);
    }

    /** Adds the line through these points; returns it in words. */
    String fit(String name, List<LeastSquares.Point> points) {
        LeastSquares line = LeastSquares.fit(points);
        JsonObject fit = new JsonObject();
        fit.addProperty("name", name);
        JsonArray all = new JsonArray();
        for (LeastSquares.Point p : points) {
            JsonArray pair = new JsonArray();
            pair.add(p.size());
            pair.add(p.value());
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
        row.addProperty("us_per_part", rounded(result.processorUsAPart()));
        row.addProperty("bytes_per_part", Math.round(result.bytesAPart()));
        return row;
    }

    static JsonObject row(ListChangeCost.Result result) {
        JsonObject row = new JsonObject();
        row.addProperty("workers", result.deployment().workers());
        row.addProperty("changes", result.changes());
        row.addProperty("us_per_change", rounded(result.processorUsAChange()));
        row.addProperty("bytes_per_change", Math.round(result.bytesAChange()));
        return row;
    }

    static JsonObject row(SocketBench.Load load) {
        LoadGenerator.Outcome ends = load.ends();
        JsonObject gatherer = load.gatherer();
        JsonObject row = sizes(load.deployment(), load.fanOut());
        row.addProperty("queries_per_s", rounded(load.queriesPerSecond()));
        row.addProperty("seconds", rounded(load.seconds()));
        row.addProperty("asked", ends.asked());
        row.addProperty("whole", ends.whole());
        row.addProperty("partial", ends.partial());
        row.addProperty("refused", ends.refused());
        row.addProperty("failed", ends.failed());
        row.addProperty("unanswered", ends.unanswered());
        row.addProperty("within_aim", ends.asked() == 0 ? 0 : rounded(ends.within() / (double) ends.asked()));
        row.addProperty("parts_per_s", Math.round(load.parts() / load.seconds()));
        row.addProperty("given_up", load.giveUps());
        row.addProperty("connections", load.connections());
        percentiles(row, "latency", ends.latencyUs());
        row.addProperty(
                "generator_late_p99_ms", milliseconds(ends.generatorLateUs().getValueAtPercentile(99)));
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
        row.addProperty("us_per_part", rounded(load.processorUsAPart()));
        row.addProperty("us_per_query", rounded(load.processorUsAPart() * load.fanOut()));
        row.addProperty("bytes_per_part", Math.round(load.bytesAPart()));
        row.addProperty("collections_ms", gatherer.get("collections_ms").getAsLong());
        row.addProperty("resident_mib", gatherer.get("resident_kib").getAsLong() / 1024);
        row.addProperty("workers_busy", rounded(load.workersBusy()));
        row.addProperty("load_average", rounded(load.loadAverage()));
        if (load.profile() != null) {
            row.add("profile", load.profile());
        }
        return row;
    }

    private static JsonObject sizes(Deployment d, int fanOut) {
        JsonObject row = new JsonObject();
        row.addProperty("workers", d.workers());
        row.addProperty("fan_out", fanOut);
        row.addProperty("holders", d.holders());
        row.addProperty("tick_ms", d.tickS() * 1e3);
        return row;
    }

    private static void percentiles(JsonObject row, String name, Histogram us) {
        for (double p : new double[] {50, 90, 99, 99.9}) {
            row.addProperty(
                    name + "_p" + (p == Math.rint(p) ? String.valueOf((int) p) : String.valueOf(p)) + "_ms",
                    us.getTotalCount() == 0 ? -1 : milliseconds(us.getValueAtPercentile(p)));
        }
        row.addProperty(name + "_most_ms", milliseconds(us.getMaxValue()));
    }

    private static double milliseconds(long us) {
        return Math.round(us / 10.0) / 100.0;
    }

    private static double rounded(double value) {
        return Math.round(value * 1e3) / 1e3;
    }

    /** All of it; {@code plan} says how it was had. */
    public JsonObject json(String plan) {
        JsonObject all = new JsonObject();
        all.addProperty("plan", plan);
        all.addProperty("processors", Runtime.getRuntime().availableProcessors());
        all.addProperty("java", System.getProperty("java.runtime.version"));
        all.add("rows", rows);
        all.add("fits", fits);
        return all;
    }

    /** All of it as one HTML page; {@code plan} as in {@link #json}. */
    public String html(String plan) throws IOException {
        return resource(PAGE)
                .replace("/*PLOTS*/", resource(PLOTS))
                .replace("/*DATA*/null", json(plan).toString().replace("</", "<\\/"));
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = Results.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("no " + name + " in the jar");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
