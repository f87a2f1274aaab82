package pepperdock.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.config.PlanFile;
import pepperdock.plan.Conflict;
import pepperdock.plan.Plan;
import pepperdock.plan.Planner;
import pepperdock.plan.Problem;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Plans shares for a problem from a file; prints them as a table, as JSON, for one range with reasons, or as changes.
 */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Compute shares for the problem in a file (docs/planning.md).")
final class PlanCommand implements Callable<Integer> {

    private static final double MICROS_PER_S = 1e6;
    /** Smaller changes of a share are not reported. */
    private static final double MIN_SHARE_CHANGE = 0.0005;

    private static final int MAX_NAMES = 12;

    @Parameters(paramLabel = "FILE", description = "The problem, as JSON.")
    private String file;

    @Option(names = "--json", description = "Print the plan as JSON, which --against reads.")
    private boolean json;

    @Option(names = "--explain", paramLabel = "RANGE", description = "Print where the work of one range goes, and why.")
    private Integer explain;

    @Option(
            names = "--against",
            paramLabel = "FILE",
            description = "Compare with the plan in force, a file written by --json.")
    private String against;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        Problem problem = PlanFile.read(read(file));
        Map<String, Double> inForce = against == null ? Map.of() : readShares(read(against));
        int range = explain == null ? -1 : rangeIndex(problem, explain);
        Plan plan = Planner.plan(problem);
        if (!plan.solved()) {
            if (json) {
                out.println(
                        new GsonBuilder().setPrettyPrinting().create().toJson(conflictJson(problem, plan.conflict())));
            } else {
                spec.commandLine().getErr().println(describe(problem, plan.conflict()));
            }
            return Cli.NO_SOLUTION;
        }
        if (json) {
            out.println(new GsonBuilder().setPrettyPrinting().create().toJson(planJson(problem, plan)));
        } else if (range >= 0) {
            printRange(out, problem, plan, range);
        } else if (against == null) {
            printTable(out, problem, plan);
        }
        if (against != null && !json) {
            printChanges(out, inForce, sharesByLabel(problem, plan));
        }
        return 0;
    }

    private static ConfigReader read(String file) {
        try {
            return ConfigReader.of("", Config.parse(Files.readString(Path.of(file)), file));
        } catch (IOException e) {
            throw new ConfigException(file, "file can't be read");
        }
    }

    private static int rangeIndex(Problem problem, int number) {
        for (int r = 0; r < problem.ranges().size(); r++) {
            if (problem.ranges().get(r).number() == number) {
                return r;
            }
        }
        throw new ConfigException("--explain", "the problem has no range " + number);
    }

    // ---- Plans as text ------------------------------------------------------------

    private static void printTable(PrintWriter out, Problem problem, Plan plan) {
        out.printf(Locale.ROOT, "%-24s %-12s %12s %12s %10s%n", "node", "zone", "capacity s/s", "work s/s", "used");
        for (int n = 0; n < problem.nodes().size(); n++) {
            Problem.Node node = problem.nodes().get(n);
            double used = node.inService() ? plan.utilisation().get(n).value() : 0;
            out.printf(
                    Locale.ROOT,
                    "%-24s %-12s %12.3f %12.3f %10s%n",
                    node.name(),
                    problem.zones().get(node.zone()),
                    node.capacity() / MICROS_PER_S,
                    used * node.capacity() / MICROS_PER_S,
                    node.inService() ? String.format(Locale.ROOT, "%.1f %%", 100 * used) : "away");
        }
        out.printf(
                Locale.ROOT,
                "greatest use %.1f %%, crossings %.3f a second%n%n",
                100 * plan.greatest().value(),
                plan.crossings());
        out.printf(Locale.ROOT, "%-8s %-12s %10s  %s%n", "range", "from zone", "work s/s", "shares");
        for (int r = 0; r < problem.ranges().size(); r++) {
            for (int z = 0; z < problem.zones().size(); z++) {
                out.printf(
                        Locale.ROOT,
                        "%-8d %-12s %10.3f  %s%n",
                        problem.ranges().get(r).number(),
                        problem.zones().get(z),
                        work(problem, r, z),
                        shares(problem, plan, r, z));
            }
        }
    }

    private static double work(Problem problem, int rangeIndex, int zoneIndex) {
        double totalRate = java.util.Arrays.stream(problem.rates()).sum();
        return problem.ranges().get(rangeIndex).work() * (problem.rates()[zoneIndex] / totalRate) / MICROS_PER_S;
    }

    private static String shares(Problem problem, Plan plan, int rangeIndex, int zoneIndex) {
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < problem.ranges().get(rangeIndex).holders().size(); i++) {
            texts.add(String.format(
                    Locale.ROOT,
                    "%s %.3f",
                    problem.nodes()
                            .get(problem.ranges().get(rangeIndex).holders().get(i))
                            .name(),
                    plan.shares().get(rangeIndex).get(zoneIndex)[i]));
        }
        return String.join(", ", texts);
    }

    private static void printRange(PrintWriter out, Problem problem, Plan plan, int rangeIndex) {
        out.printf(
                Locale.ROOT,
                "range %d, %.3f s of work a second%n",
                problem.ranges().get(rangeIndex).number(),
                problem.ranges().get(rangeIndex).work() / MICROS_PER_S);
        for (int z = 0; z < problem.zones().size(); z++) {
            out.printf(
                    Locale.ROOT,
                    "from zone %s (%.3f s/s): %s%n",
                    problem.zones().get(z),
                    work(problem, rangeIndex, z),
                    shares(problem, plan, rangeIndex, z));
        }
        for (int holderIndex : problem.ranges().get(rangeIndex).holders()) {
            Problem.Node node = problem.nodes().get(holderIndex);
            if (!node.inService()) {
                out.println("  " + node.name() + " is not in service: no share");
                continue;
            }
            long otherRanges = problem.ranges().stream()
                            .filter(other -> other.holders().contains(holderIndex))
                            .count()
                    - 1;
            long servedAlone = problem.ranges().stream()
                    .filter(other -> other.work() > 0
                            && other.holders().stream()
                                    .allMatch(holder -> holder == holderIndex
                                            || !problem.nodes().get(holder).inService()))
                    .count();
            out.printf(
                    Locale.ROOT,
                    "  %s is used to %.1f %% of %.3f s/s, holds %d other ranges, %d with work that it alone"
                            + " can serve%n",
                    node.name(),
                    100 * plan.utilisation().get(holderIndex).value(),
                    node.capacity() / MICROS_PER_S,
                    otherRanges,
                    servedAlone);
        }
    }

    private static String describe(Problem problem, Conflict conflict) {
        StringBuilder text = new StringBuilder("no solution")
                .append(conflict.away() == null ? "" : " with node " + conflict.away() + " away")
                .append(": ");
        String work = joined(conflict.work().stream()
                .map(piece -> "range " + problem.ranges().get(piece.range()).number()
                        + (problem.zones().size() > 1
                                ? " from zone " + problem.zones().get(piece.zone())
                                : "")
                        + String.format(Locale.ROOT, " (%.3f s/s)", work(problem, piece.range(), piece.zone())))
                .toList());
        if (conflict.nodes().isEmpty()) {
            Conflict.Work unplaced = conflict.work().get(0);
            return text.append(work)
                    .append(" has no holder that may take it: ")
                    .append(problem.ranges().get(unplaced.range()).holders().stream()
                            .map(holder -> problem.nodes().get(holder))
                            .map(node -> node.name()
                                    + (!node.inService() || node.name().equals(conflict.away())
                                            ? " is not in service"
                                            : node.capacity() == 0 ? " has no capacity" : " may not be crossed to"))
                            .collect(Collectors.joining(", ")))
                    .toString();
        }
        return text.append(work)
                .append(" need more than ")
                .append(joined(conflict.nodes().stream()
                        .map(node -> problem.nodes().get(node).name()
                                + String.format(
                                        Locale.ROOT,
                                        " (%.3f s/s)",
                                        problem.nodes().get(node).capacity() / MICROS_PER_S))
                        .toList()))
                .append(String.format(
                        Locale.ROOT,
                        " can do: %.1f %% of it",
                        100 * conflict.requiredUtilisation().value()))
                .toString();
    }

    private static String joined(List<String> names) {
        return String.join(", ", names.subList(0, Math.min(MAX_NAMES, names.size())))
                + (names.size() > MAX_NAMES ? " and " + (names.size() - MAX_NAMES) + " more" : "");
    }

    // ---- Plans as JSON ------------------------------------------------------------

    private static JsonObject planJson(Problem problem, Plan plan) {
        JsonObject json = new JsonObject();
        json.addProperty("greatest_use", plan.greatest().value());
        json.addProperty("crossings", plan.crossings());
        JsonArray nodes = new JsonArray();
        for (int n = 0; n < problem.nodes().size(); n++) {
            JsonObject node = new JsonObject();
            node.addProperty("name", problem.nodes().get(n).name());
            if (problem.nodes().get(n).inService()) {
                node.addProperty("use", plan.utilisation().get(n).value());
            }
            nodes.add(node);
        }
        json.add("nodes", nodes);
        JsonArray ranges = new JsonArray();
        for (int r = 0; r < problem.ranges().size(); r++) {
            for (int z = 0; z < problem.zones().size(); z++) {
                JsonObject share = new JsonObject();
                share.addProperty("range", problem.ranges().get(r).number());
                share.addProperty("zone", problem.zones().get(z));
                JsonObject to = new JsonObject();
                for (int i = 0; i < problem.ranges().get(r).holders().size(); i++) {
                    to.addProperty(
                            problem.nodes()
                                    .get(problem.ranges().get(r).holders().get(i))
                                    .name(),
                            plan.shares().get(r).get(z)[i]);
                }
                share.add("to", to);
                ranges.add(share);
            }
        }
        json.add("shares", ranges);
        return json;
    }

    private static JsonObject conflictJson(Problem problem, Conflict conflict) {
        JsonObject json = new JsonObject();
        json.addProperty("no_solution", describe(problem, conflict));
        JsonArray work = new JsonArray();
        for (Conflict.Work piece : conflict.work()) {
            JsonObject range = new JsonObject();
            range.addProperty("range", problem.ranges().get(piece.range()).number());
            range.addProperty("zone", problem.zones().get(piece.zone()));
            work.add(range);
        }
        json.add("work", work);
        JsonArray nodes = new JsonArray();
        conflict.nodes()
                .forEach(node ->
                        nodes.add(new JsonPrimitive(problem.nodes().get(node).name())));
        json.add("nodes", nodes);
        return json;
    }

    /** Reads a plan printed as JSON earlier; returns the shares by the label of range, zone and node. */
    private static Map<String, Double> readShares(ConfigReader plan) {
        Map<String, Double> shares = new TreeMap<>();
        for (ConfigReader range : plan.objects("shares")) {
            ConfigReader to = range.requiredObject("to");
            for (String node : to.names()) {
                shares.put(label(range.integer("range", 0, 1 << 24), range.text("zone"), node), to.number(node));
            }
        }
        return shares;
    }

    private static Map<String, Double> sharesByLabel(Problem problem, Plan plan) {
        Map<String, Double> shares = new TreeMap<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            for (int z = 0; z < problem.zones().size(); z++) {
                for (int i = 0; i < problem.ranges().get(r).holders().size(); i++) {
                    shares.put(
                            label(
                                    problem.ranges().get(r).number(),
                                    problem.zones().get(z),
                                    problem.nodes()
                                            .get(problem.ranges()
                                                    .get(r)
                                                    .holders()
                                                    .get(i))
                                            .name()),
                            plan.shares().get(r).get(z)[i]);
                }
            }
        }
        return shares;
    }

    private static String label(int range, String zone, String node) {
        return String.format(Locale.ROOT, "range %d from %s to %s", range, zone, node);
    }

    private static void printChanges(PrintWriter out, Map<String, Double> before, Map<String, Double> after) {
        Map<String, Double> changes = new TreeMap<>();
        after.forEach((label, share) -> changes.put(label, share - before.getOrDefault(label, 0.0)));
        before.forEach((label, share) -> changes.putIfAbsent(label, -share));
        List<String> changed = changes.keySet().stream()
                .filter(label -> Math.abs(changes.get(label)) >= MIN_SHARE_CHANGE)
                .sorted(Comparator.comparingDouble(label -> -Math.abs(changes.get(label))))
                .toList();
        out.println(changed.isEmpty() ? "the plan in force stays" : changed.size() + " shares change:");
        changed.forEach(label -> out.printf(
                Locale.ROOT,
                "%-48s %.3f -> %.3f%n",
                label,
                before.getOrDefault(label, 0.0),
                after.getOrDefault(label, 0.0)));
    }
}
