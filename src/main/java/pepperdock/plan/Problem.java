package pepperdock.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * The input of the planner. Immutable.
 *
 * @param zones names of the zones; nodes and gatherers refer to theirs by its index
 * @param crossing {@code crossing[from][to]}: cost of a second of work sent there by a gatherer of {@code from};
 *     infinite where none may be sent
 * @param rates the queries that come to the gatherers of each zone, in any unit; integers, one of them above 0
 * @param spareNode whether capacity must suffice with any one node away, too
 */
public record Problem(
        List<String> zones,
        double[][] crossing,
        long[] rates,
        List<Node> nodes,
        List<Range> ranges,
        boolean spareNode) {

    /** A node; its capacity in microseconds of work a second is that of now, divided by the factor by which it is slow. */
    public record Node(String name, int zone, long capacity, boolean inService) {}

    /** An account range: microseconds of work a second, and the indexes of the nodes that hold its replicas. */
    public record Range(int number, long work, List<Integer> holders) {
        /** Copies the list. */
        public Range {
            holders = List.copyOf(holders);
        }
    }

    /** Copies the lists. */
    public Problem {
        zones = List.copyOf(zones);
        nodes = List.copyOf(nodes);
        ranges = List.copyOf(ranges);
    }

    /** Whether work of a zone's gatherers may go to a node. */
    boolean mayServe(int zone, int node) {
        return nodes.get(node).inService()
                && nodes.get(node).capacity() > 0
                && Double.isFinite(crossing[zone][nodes.get(node).zone()]);
    }

    /** The same with one node away. */
    Problem without(int node) {
        List<Node> left = new ArrayList<>(nodes);
        Node removed = left.get(node);
        left.set(node, new Node(removed.name(), removed.zone(), removed.capacity(), false));
        return new Problem(zones, crossing, rates, left, ranges, false);
    }
}
