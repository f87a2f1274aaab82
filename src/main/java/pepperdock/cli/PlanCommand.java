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

/** Shares for a problem from a file: as a table, as JSON, explained for a range, or against a plan in force. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Reckon shares for the problem in a file (docs/planning.md).")
final class PlanCommand implements Callable<Integer> {

    private static final double MICRO = 1e6;
    /** Shares that differ by less are the same plan. */
    private static final double SAME = 0.0005;

    private static final int MOST_NAMED = 12;

    @Parameters(paramLabel = "FILE", description = "The problem, as JSON.")
    private String file;

    @Option(names = "--json", description = "Put the plan out as JSON; --against reads it.")
    private boolean json;

    @Option(names = "--explain", paramLabel = "RANGE", description = "Say where the work of one range goes, and why.")
    private Integer explain;

    @Option(names = "--against", paramLabel = "FILE", description = "Compare with a plan in force, as --json wrote it.")
    private String against;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        Problem problem = PlanFile.read(read(file));
        Map<String, Double> inForce = against == null ? Map.of() : shares(read(against));
        int range = explain == null ? -1 : place(problem, explain);
        Plan plan = Planner.plan(problem);
        if (!plan.solved()) {
            if (json) {
                out.println(new GsonBuilder().setPrettyPrinting().create().toJson(conflict(problem, plan.conflict())));
            } else {
                spec.commandLine().getErr().println(words(problem, plan.conflict()));
            }
            return Cli.NO_SOLUTION;
        }
        if (json) {
            out.println(new GsonBuilder().setPrettyPrinting().create().toJson(object(problem, plan)));
        } else if (range >= 0) {
            explain(out, problem, plan, range);
        } else if (against == null) {
            table(out, problem, plan);
        }
        if (against != null && !json) {
            difference(out, inForce, flat(problem, plan));
        }
        return 0;
    }

    private static ConfigReader read(String file) {
        try {
            return ConfigReader.of("", Config.parse(Files.readString(Path.of(file)), file));
        } catch (IOException e) {
            throw new ConfigException(file, "can't be read");
        }
    }

    private static int place(Problem problem, int number) {
        for (int r = 0; r < problem.ranges().size(); r++) {
            if (problem.ranges().get(r).number() == number) {
                return r;
            }
        }
        throw new ConfigException("--explain", "no range " + number);
    }

    // ---- Plans in words ------------------------------------------------------------

    private static void table(PrintWriter out, Problem p, Plan plan) {
        out.printf(Locale.ROOT, "%-24s %-12s %12s %12s %10s%n", "node", "zone", "capacity s/s", "work s/s", "used");
        for (int n = 0; n < p.nodes().size(); n++) {
            Problem.Node node = p.nodes().get(n);
            double used = node.inService() ? plan.utilisation().get(n).value() : 0;
            out.printf(
                    Locale.ROOT,
                    "%-24s %-12s %12.3f %12.3f %10s%n",
                    node.name(),
                    p.zones().get(node.zone()),
                    node.capacity() / MICRO,
                    used * node.capacity() / MICRO,
                    node.inService() ? String.format(Locale.ROOT, "%.1f %%", 100 * used) : "away");
        }
        out.printf(
                Locale.ROOT,
                "greatest use %.1f %%, crossings %.3f a second%n%n",
                100 * plan.greatest().value(),
                plan.crossings());
        out.printf(Locale.ROOT, "%-8s %-12s %10s  %s%n", "range", "from zone", "work s/s", "shares");
        for (int r = 0; r < p.ranges().size(); r++) {
            for (int z = 0; z < p.zones().size(); z++) {
                out.printf(
                        Locale.ROOT,
                        "%-8d %-12s %10.3f  %s%n",
                        p.ranges().get(r).number(),
                        p.zones().get(z),
                        work(p, r, z),
                        shares(p, plan, r, z));
            }
        }
    }

    private static double work(Problem p, int r, int z) {
        double rates = java.util.Arrays.stream(p.rates()).sum();
        return p.ranges().get(r).work() * (p.rates()[z] / rates) / MICRO;
    }

    private static String shares(Problem p, Plan plan, int r, int z) {
        List<String> words = new ArrayList<>();
        for (int i = 0; i < p.ranges().get(r).holders().size(); i++) {
            words.add(String.format(
                    Locale.ROOT,
                    "%s %.3f",
                    p.nodes().get(p.ranges().get(r).holders().get(i)).name(),
                    plan.shares().get(r).get(z)[i]));
        }
        return String.join(", ", words);
    }

    private static void explain(PrintWriter out, Problem p, Plan plan, int r) {
        out.printf(
                Locale.ROOT,
                "range %d, %.3f s of work a second%n",
                p.ranges().get(r).number(),
                p.ranges().get(r).work() / MICRO);
        for (int z = 0; z < p.zones().size(); z++) {
            out.printf(
                    Locale.ROOT,
                    "from zone %s (%.3f s/s): %s%n",
                    p.zones().get(z),
                    work(p, r, z),
                    shares(p, plan, r, z));
        }
        for (int n : p.ranges().get(r).holders()) {
            Problem.Node node = p.nodes().get(n);
            if (!node.inService()) {
                out.println("  " + node.name() + " is not in service: no share");
                continue;
            }
            long others =
                    p.ranges().stream().filter(x -> x.holders().contains(n)).count() - 1;
            long alone = p.ranges().stream()
                    .filter(x -> x.work() > 0
                            && x.holders().stream()
                                    .allMatch(h -> h == n || !p.nodes().get(h).inService()))
                    .count();
            out.printf(
                    Locale.ROOT,
                    "  %s is used to %.1f %% of %.3f s/s, holds %d other ranges, %d with work that it alone"
                            + " can serve%n",
                    node.name(),
                    100 * plan.utilisation().get(n).value(),
                    node.capacity() / MICRO,
                    others,
                    alone);
        }
    }

    private static String words(Problem p, Conflict c) {
        StringBuilder words = new StringBuilder("no solution")
                .append(c.away() == null ? "" : " with node " + c.away() + " away")
                .append(": ");
        String work = named(c.work().stream()
                .map(w -> "range " + p.ranges().get(w.range()).number()
                        + (p.zones().size() > 1 ? " from zone " + p.zones().get(w.zone()) : "")
                        + String.format(Locale.ROOT, " (%.3f s/s)", work(p, w.range(), w.zone())))
                .toList());
        if (c.nodes().isEmpty()) {
            Conflict.Work w = c.work().get(0);
            return words.append(work)
                    .append(" has no holder that may take it: ")
                    .append(p.ranges().get(w.range()).holders().stream()
                            .map(n -> p.nodes().get(n))
                            .map(n -> n.name()
                                    + (!n.inService() || n.name().equals(c.away())
                                            ? " is not in service"
                                            : n.capacity() == 0 ? " has no capacity" : " may not be crossed to"))
                            .collect(Collectors.joining(", ")))
                    .toString();
        }
        return words.append(work)
                .append(" need more than ")
                .append(named(c.nodes().stream()
                        .map(n -> p.nodes().get(n).name()
                                + String.format(
                                        Locale.ROOT,
                                        " (%.3f s/s)",
                                        p.nodes().get(n).capacity() / MICRO))
                        .toList()))
                .append(String.format(
                        Locale.ROOT,
                        " can do: %.1f %% of it",
                        100 * c.requiredUtilisation().value()))
                .toString();
    }

    private static String named(List<String> all) {
        return String.join(", ", all.subList(0, Math.min(MOST_NAMED, all.size())))
                + (all.size() > MOST_NAMED ? " and " + (all.size() - MOST_NAMED) + " more" : "");
    }

    // ---- Plans as JSON ------------------------------------------------------------

    private static JsonObject object(Problem p, Plan plan) {
        JsonObject all = new JsonObject();
        all.addProperty("greatest_use", plan.greatest().value());
        all.addProperty("crossings", plan.crossings());
        JsonArray nodes = new JsonArray();
        for (int n = 0; n < p.nodes().size(); n++) {
            JsonObject node = new JsonObject();
            node.addProperty("name", p.nodes().get(n).name());
            if (p.nodes().get(n).inService()) {
                node.addProperty("use", plan.utilisation().get(n).value());
            }
            nodes.add(node);
        }
        all.add("nodes", nodes);
        JsonArray ranges = new JsonArray();
        for (int r = 0; r < p.ranges().size(); r++) {
            for (int z = 0; z < p.zones().size(); z++) {
                JsonObject one = new JsonObject();
                one.addProperty("range", p.ranges().get(r).number());
                one.addProperty("zone", p.zones().get(z));
                JsonObject to = new JsonObject();
                for (int i = 0; i < p.ranges().get(r).holders().size(); i++) {
                    to.addProperty(
                            p.nodes().get(p.ranges().get(r).holders().get(i)).name(),
                            plan.shares().get(r).get(z)[i]);
                }
                one.add("to", to);
                ranges.add(one);
            }
        }
        all.add("shares", ranges);
        return all;
    }

    private static JsonObject conflict(Problem p, Conflict c) {
        JsonObject all = new JsonObject();
        all.addProperty("no_solution", words(p, c));
        JsonArray work = new JsonArray();
        for (Conflict.Work w : c.work()) {
            JsonObject one = new JsonObject();
            one.addProperty("range", p.ranges().get(w.range()).number());
            one.addProperty("zone", p.zones().get(w.zone()));
            work.add(one);
        }
        all.add("work", work);
        JsonArray nodes = new JsonArray();
        c.nodes().forEach(n -> nodes.add(new JsonPrimitive(p.nodes().get(n).name())));
        all.add("nodes", nodes);
        return all;
    }

    /** A plan put out earlier: share by range, zone and node. */
    private static Map<String, Double> shares(ConfigReader all) {
        Map<String, Double> shares = new TreeMap<>();
        for (ConfigReader one : all.objects("shares")) {
            ConfigReader to = one.needed("to");
            for (String node : to.names()) {
                shares.put(label(one.whole("range", 0, 1 << 24), one.text("zone"), node), to.number(node));
            }
        }
        return shares;
    }

    private static Map<String, Double> flat(Problem p, Plan plan) {
        Map<String, Double> shares = new TreeMap<>();
        for (int r = 0; r < p.ranges().size(); r++) {
            for (int z = 0; z < p.zones().size(); z++) {
                for (int i = 0; i < p.ranges().get(r).holders().size(); i++) {
                    shares.put(
                            label(
                                    p.ranges().get(r).number(),
                                    p.zones().get(z),
                                    p.nodes()
                                            .get(p.ranges().get(r).holders().get(i))
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

    private static void difference(PrintWriter out, Map<String, Double> before, Map<String, Double> after) {
        Map<String, Double> changes = new TreeMap<>();
        after.forEach((label, share) -> changes.put(label, share - before.getOrDefault(label, 0.0)));
        before.forEach((label, share) -> changes.putIfAbsent(label, -share));
        List<String> changed = changes.keySet().stream()
                .filter(l -> Math.abs(changes.get(l)) >= SAME)
                .sorted(Comparator.comparingDouble(l -> -Math.abs(changes.get(l))))
                .toList();
        out.println(changed.isEmpty() ? "the plan in force stays" : changed.size() + " shares change:");
        changed.forEach(l -> out.printf(
                Locale.ROOT, "%-48s %.3f -> %.3f%n", l, before.getOrDefault(l, 0.0), after.getOrDefault(l, 0.0)));
    }
}
