package pepperdock.benchmark;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what clients and workers saw of each query, and judges them once the run is over: one final answer each, as many
 * parts at the workers as were asked for, no part twice. For runs in which nothing may be repeated; states and counts only.
 */
final class Tally {

    /** Of a query: the parts it asked for, and how often each end came. */
    private static final class Seen {
        private int asked;
        private int answers;
        private int partsInAnswer;
    }

    private final Map<String, Seen> queries = new TreeMap<>();
    /** By the id that a part bears on the wire: how often it came to a worker. */
    private final Map<String, Integer> parts = new HashMap<>();

    synchronized void asked(String query, int fanOut) {
        queries.computeIfAbsent(query, q -> new Seen()).asked += fanOut;
    }

    /** A final answer; {@code parts} is how many it holds. */
    synchronized void answered(String query, int parts) {
        Seen seen = queries.computeIfAbsent(query, q -> new Seen());
        seen.answers++;
        seen.partsInAnswer += parts;
    }

    /** A part came to a worker; its id is the query's, a point, and the shard. */
    synchronized void received(String wireId) {
        parts.merge(wireId, 1, Integer::sum);
    }

    /** What is wrong, a line each; empty where all is as it must be. */
    synchronized List<String> findings() {
        List<String> found = new ArrayList<>();
        Map<String, Integer> received = new HashMap<>();
        parts.forEach((id, times) -> {
            received.merge(id.substring(0, id.lastIndexOf('.')), times, Integer::sum);
            if (times > 1) {
                found.add("part " + id + " came " + times + " times");
            }
        });
        queries.forEach((id, seen) -> {
            if (seen.answers != 1) {
                found.add("query " + id + " had " + seen.answers + " final answers");
            }
            if (seen.partsInAnswer != seen.asked) {
                found.add(
                        "query " + id + " asked for " + seen.asked + " parts, its answer holds " + seen.partsInAnswer);
            }
            int came = received.getOrDefault(id, 0);
            if (came != seen.asked) {
                found.add("query " + id + " asked for " + seen.asked + " parts, workers had " + came);
            }
        });
        received.keySet().stream()
                .filter(id -> !queries.containsKey(id))
                .forEach(id -> found.add("workers had parts of " + id + ", which nobody asked"));
        return found;
    }

    synchronized int queries() {
        return queries.size();
    }
}
