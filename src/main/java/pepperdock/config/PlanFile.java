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
 * A planning problem from a file ({@code docs/planning.md}). Work and capacity are seconds of work a second, taken to the
 * microsecond. Unknown keys are rejected: a misspelt bound would otherwise be a bound left out. Stateless.
 */
public final class PlanFile {

    private static final double MICRO = 1e6;
    private static final double SECONDS_MOST = 1e6;
    private static final int RATE_MOST = 1000;

    private PlanFile() {}

    /**
     * Reads and checks the problem.
     *
     * @throws ConfigException where a key is missing or unknown, or its value can't be used
     */
    public static Problem read(ConfigReader all) {
        all.only("zones", "crossings", "gatherers", "nodes", "ranges", "spare_node");
        List<String> zones = all.has("zones") ? distinct(all, "zones") : List.of("all");
        if (zones.isEmpty()) {
            throw new ConfigException(all.key("zones"), "empty");
        }
        Map<String, Integer> places = new HashMap<>();
        List<Problem.Node> nodes = new ArrayList<>();
        for (ConfigReader node : all.objects("nodes")) {
            node.only("name", "zone", "capacity", "slow", "state");
            String name = node.text("name");
            if (places.putIfAbsent(name, nodes.size()) != null) {
                throw new ConfigException(node.key("name"), "a second " + name);
            }
            String state = node.text("state", "in_service");
            if (!Set.of("in_service", "draining", "gone").contains(state)) {
                throw new ConfigException(node.key("state"), "none of in_service, draining, gone: " + state);
            }
            double slow = node.number("slow", 1);
            if (slow < 0.01 || slow > 1000) {
                throw new ConfigException(node.key("slow"), "not a factor from 0.01 to 1000");
            }
            nodes.add(new Problem.Node(
                    name, zone(node, zones), (long) (micros(node, "capacity") / slow), state.equals("in_service")));
        }
        if (nodes.isEmpty()) {
            throw new ConfigException(all.key("nodes"), "empty or missing");
        }
        return new Problem(
                zones,
                crossings(all, zones),
                rates(all, zones),
                nodes,
                ranges(all, places),
                all.flag("spare_node", false));
    }

    private static List<Problem.Range> ranges(ConfigReader all, Map<String, Integer> places) {
        List<Problem.Range> ranges = new ArrayList<>();
        Set<Integer> numbers = new HashSet<>();
        for (ConfigReader range : all.objects("ranges")) {
            range.only("range", "work", "holders");
            int number = range.whole("range", 0, 1 << 24);
            if (!numbers.add(number)) {
                throw new ConfigException(range.key("range"), "a second " + number);
            }
            List<Integer> holders = new ArrayList<>();
            for (String holder : distinct(range, "holders")) {
                if (!places.containsKey(holder)) {
                    throw new ConfigException(range.key("holders"), "no such node: " + holder);
                }
                holders.add(places.get(holder));
            }
            if (holders.isEmpty()) {
                throw new ConfigException(range.key("holders"), "empty or missing");
            }
            ranges.add(new Problem.Range(number, micros(range, "work"), holders));
        }
        if (ranges.isEmpty()) {
            throw new ConfigException(all.key("ranges"), "empty or missing");
        }
        return ranges;
    }

    /** Between zones 1 and within none, where nothing else is said; barred ones are infinite. */
    private static double[][] crossings(ConfigReader all, List<String> zones) {
        double[][] cost = new double[zones.size()][zones.size()];
        for (int from = 0; from < cost.length; from++) {
            Arrays.fill(cost[from], 1);
            cost[from][from] = 0;
        }
        for (ConfigReader crossing : all.objects("crossings")) {
            crossing.only("from", "to", "cost", "barred");
            double value = crossing.number("cost", 1);
            if (value < 0 || value > SECONDS_MOST) {
                throw new ConfigException(crossing.key("cost"), "not from 0 to " + (long) SECONDS_MOST);
            }
            cost[place(crossing, "from", zones)][place(crossing, "to", zones)] =
                    crossing.flag("barred", false) ? Double.POSITIVE_INFINITY : value;
        }
        return cost;
    }

    private static long[] rates(ConfigReader all, List<String> zones) {
        long[] rates = new long[zones.size()];
        for (ConfigReader gatherer : all.objects("gatherers")) {
            gatherer.only("name", "zone", "rate");
            rates[zone(gatherer, zones)] += gatherer.whole("rate", 0, RATE_MOST, 1);
        }
        if (Arrays.stream(rates).sum() == 0) {
            if (all.has("gatherers")) {
                throw new ConfigException(all.key("gatherers"), "none with a rate above 0");
            }
            Arrays.fill(rates, 1);
        }
        return rates;
    }

    private static int zone(ConfigReader keys, List<String> zones) {
        return keys.has("zone") || zones.size() > 1 ? place(keys, "zone", zones) : 0;
    }

    private static int place(ConfigReader keys, String name, List<String> zones) {
        int at = zones.indexOf(keys.text(name));
        if (at < 0) {
            throw new ConfigException(keys.key(name), "no such zone: " + keys.text(name));
        }
        return at;
    }

    private static long micros(ConfigReader keys, String name) {
        double seconds = keys.number(name);
        if (!(seconds >= 0 && seconds <= SECONDS_MOST)) {
            throw new ConfigException(keys.key(name), "not from 0 to " + (long) SECONDS_MOST);
        }
        return Math.round(seconds * MICRO);
    }

    private static List<String> distinct(ConfigReader keys, String name) {
        List<String> all = keys.texts(name);
        if (new HashSet<>(all).size() < all.size()) {
            throw new ConfigException(keys.key(name), "one of them twice");
        }
        return all;
    }
}
