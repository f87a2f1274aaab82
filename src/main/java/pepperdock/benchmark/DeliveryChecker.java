package pepperdock.benchmark;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what clients and workers saw of each query, and checks the counts after the run: each query has one final
 * answer, workers received as many parts as the query requested, and no part arrived twice. Suitable for runs in which
 * no part may be sent again; checks states and counts, not times.
 */
final class DeliveryChecker {

    /** Holds the number of parts that a query requested, its final answers, and the parts in them. */
    private static final class QueryCounts {
        private int asked;
        private int answers;
        private int partsInAnswers;
    }

    private final Map<String, QueryCounts> queries = new TreeMap<>();
    /** Number of times that a worker received each part, by the part's id on the wire. */
    private final Map<String, Integer> parts = new HashMap<>();

    synchronized void recordQuery(String query, int fanOut) {
        queries.computeIfAbsent(query, q -> new QueryCounts()).asked += fanOut;
    }

    /** Records a final answer that contains {@code parts} parts. */
    synchronized void recordAnswer(String query, int parts) {
        QueryCounts counts = queries.computeIfAbsent(query, q -> new QueryCounts());
        counts.answers++;
        counts.partsInAnswers += parts;
    }

    /** Records a part that a worker received. Its id is the query's id, a dot, and the shard. */
    synchronized void recordPart(String wireId) {
        parts.merge(wireId, 1, Integer::sum);
    }

    /** Returns a line for each violation; an empty list if there is none. */
    synchronized List<String> findings() {
        List<String> violations = new ArrayList<>();
        Map<String, Integer> received = new HashMap<>();
        parts.forEach((id, times) -> {
            received.merge(id.substring(0, id.lastIndexOf('.')), times, Integer::sum);
            if (times > 1) {
                violations.add("part " + id + " reached workers " + times + " times");
            }
        });
        queries.forEach((id, counts) -> {
            if (counts.answers != 1) {
                violations.add("query " + id + " had " + counts.answers + " final answers");
            }
            if (counts.partsInAnswers != counts.asked) {
                violations.add("query " + id + " asked for " + counts.asked + " parts, its answer contains "
                        + counts.partsInAnswers);
            }
            int receivedParts = received.getOrDefault(id, 0);
            if (receivedParts != counts.asked) {
                violations.add(
                        "query " + id + " asked for " + counts.asked + " parts, workers received " + receivedParts);
            }
        });
        received.keySet().stream()
                .filter(id -> !queries.containsKey(id))
                .forEach(id -> violations.add("workers received parts of query " + id + ", which no client sent"));
        return violations;
    }

    synchronized int queries() {
        return queries.size();
    }
}
