package pepperdock.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pepperdock.plan.Problem;

/**
 * Reads a planning problem from a file ({@code docs/planning.md}). Work and capacity are in seconds of work per second,
 * rounded to the microsecond. Unknown keys are rejected, as a misspelt bound would otherwise be silently ignored.
 * Stateless.
 */
public final class PlanFile {

    private static final double MICROS_PER_S = 1e6;
    private static final double MAX_SECONDS = 1e6;
    private static final int MAX_RATE = 1000;

    private PlanFile() {}

    /**
     * Reads and checks a planning problem.
     *
     * @throws ConfigException if a key is missing or unknown, or its value can't be used
     */
    public static Problem read(ConfigReader problem) {
        problem.rejectUnknownKeys("zones", "crossings", "gatherers", "nodes", "ranges", "spare_node");
        List<String> zones = problem.has("zones") ? readDistinct(problem, "zones") : List.of("all");
        if (zones.isEmpty()) {
            throw new ConfigException(problem.key("zones"), "must have at least one zone");
        }
        Map<String, Integer> nodeIndexes = new HashMap<>();
        List<Problem.Node> nodes = new ArrayList<>();
        for (ConfigReader node : problem.objects("nodes")) {
            node.rejectUnknownKeys("name", "zone", "capacity", "slow", "state");
            String name = node.text("name");
            if (nodeIndexes.putIfAbsent(name, nodes.size()) != null) {
                throw new ConfigException(
                        node.key("name"), "must be unique, but is also the name of an earlier node: " + name);
            }
            String state = node.text("state", "in_service");
            if (!Set.of("in_service", "draining", "gone").contains(state)) {
                throw new ConfigException(node.key("state"), "must be in_service, draining or gone, but is " + state);
            }
            double slow = node.number("slow", 1);
            if (slow < 0.01 || slow > 1000) {
                throw new ConfigException(node.key("slow"), "must be a factor from 0.01 to 1000, but is " + slow);
            }
            nodes.add(new Problem.Node(
                    name,
                    readZone(node, zones),
                    (long) (readMicros(node, "capacity") / slow),
                    state.equals("in_service")));
        }
        if (nodes.isEmpty()) {
            throw new ConfigException(problem.key("nodes"), "must have at least one node");
        }
        return new Problem(
                zones,
                readCrossings(problem, zones),
                readRates(problem, zones),
                nodes,
                readRanges(problem, nodeIndexes),
                problem.flag("spare_node", false));
    }

    private static List<Problem.Range> readRanges(ConfigReader problem, Map<String, Integer> nodeIndexes) {
        List<Problem.Range> ranges = new ArrayList<>();
        Set<Integer> numbers = new HashSet<>();
        for (ConfigReader range : problem.objects("ranges")) {
            range.rejectUnknownKeys("range", "work", "holders");
            int number = range.integer("range", 0, 1 << 24);
            if (!numbers.add(number)) {
                throw new ConfigException(
                        range.key("range"), "must be unique, but is also the number of an earlier range: " + number);
            }
            List<Integer> holders = new ArrayList<>();
            for (String holder : readDistinct(range, "holders")) {
                if (!nodeIndexes.containsKey(holder)) {
                    throw new ConfigException(
                            range.key("holders"), "must name only nodes of the problem, but names " + holder);
                }
                holders.add(nodeIndexes.get(holder));
            }
            if (holders.isEmpty()) {
                throw new ConfigException(range.key("holders"), "must have at least one node");
            }
            ranges.add(new Problem.Range(number, readMicros(range, "work"), holders));
        }
        if (ranges.isEmpty()) {
            throw new ConfigException(problem.key("ranges"), "must have at least one range");
        }
        return ranges;
    }

    /** Reads the cost of crossings by zone; by default 1 between zones and 0 within one, infinite where barred. */
    private static double[][] readCrossings(ConfigReader problem, List<String> zones) {
        double[][] cost = new double[zones.size()][zones.size()];
        for (int from = 0; from < cost.length; from++) {
            Arrays.fill(cost[from], 1);
            cost[from][from] = 0;
        }
        for (ConfigReader crossing : problem.objects("crossings")) {
            crossing.rejectUnknownKeys("from", "to", "cost", "barred");
            double value = crossing.number("cost", 1);
            if (value < 0 || value > MAX_SECONDS) {
                throw new ConfigException(
                        crossing.key("cost"), "must be from 0 to " + (long) MAX_SECONDS + ", but is " + value);
            }
            cost[zoneIndex(crossing, "from", zones)][zoneIndex(crossing, "to", zones)] =
                    crossing.flag("barred", false) ? Double.POSITIVE_INFINITY : value;
        }
        return cost;
    }

    private static long[] readRates(ConfigReader problem, List<String> zones) {
        long[] rates = new long[zones.size()];
        for (ConfigReader gatherer : problem.objects("gatherers")) {
            gatherer.rejectUnknownKeys("name", "zone", "rate");
            rates[readZone(gatherer, zones)] += gatherer.integer("rate", 0, MAX_RATE, 1);
        }
        if (Arrays.stream(rates).sum() == 0) {
            if (problem.has("gatherers")) {
                throw new ConfigException(problem.key("gatherers"), "must have at least one with a rate above 0");
            }
            Arrays.fill(rates, 1);
        }
        return rates;
    }

    private static int readZone(ConfigReader keys, List<String> zones) {
        return keys.has("zone") || zones.size() > 1 ? zoneIndex(keys, "zone", zones) : 0;
    }

    private static int zoneIndex(ConfigReader keys, String name, List<String> zones) {
        int index = zones.indexOf(keys.text(name));
        if (index < 0) {
            throw new ConfigException(keys.key(name), "must be one of the zones, but is " + keys.text(name));
        }
        return index;
    }

    private static long readMicros(ConfigReader keys, String name) {
        double seconds = keys.number(name);
        if (!(seconds >= 0 && seconds <= MAX_SECONDS)) {
            throw new ConfigException(
                    keys.key(name), "must be from 0 to " + (long) MAX_SECONDS + ", but is " + seconds);
        }
        return Math.round(seconds * MICROS_PER_S);
    }

    private static List<String> readDistinct(ConfigReader keys, String name) {
        List<String> values = keys.texts(name);
        if (new HashSet<>(values).size() < values.size()) {
            throw new ConfigException(keys.key(name), "must not have the same name twice");
        }
        return values;
    }
}
