package pepperdock.plan;

import java.util.List;

/**
 * What shares are reckoned from.
 *
 * @param zones names of the zones; nodes and gatherers name theirs by its place here
 * @param crossing {@code crossing[from][to]}: cost of a second of work sent there by a gatherer of {@code from};
 *     infinite where none may be sent
 * @param rates how much of all queries comes to the gatherers of each zone, in any unit; whole, one of them above 0
 * @param spareNode whether capacity must suffice with any one node away, too
 */
public record Problem(
        List<String> zones,
        double[][] crossing,
        long[] rates,
        List<Node> nodes,
        List<Range> ranges,
        boolean spareNode) {

    /** Whole microseconds of work a second that a node can do now: its capacity over the factor by which it is slow. */
    public record Node(String name, int zone, long capacity, boolean inService) {}

    /** An account range: whole microseconds of work a second, and the places of its holders among the nodes. */
    public record Range(int number, long work, List<Integer> holders) {
        public Range {
            holders = List.copyOf(holders);
        }
    }

    public Problem {
        zones = List.copyOf(zones);
        nodes = List.copyOf(nodes);
        ranges = List.copyOf(ranges);
    }

    /** Whether work of a zone's gatherers may go to a node. */
    boolean open(int zone, int node) {
        return nodes.get(node).inService()
                && nodes.get(node).capacity() > 0
                && Double.isFinite(crossing[zone][nodes.get(node).zone()]);
    }

    /** The same with one node away. */
    Problem without(int node) {
        List<Node> left = new java.util.ArrayList<>(nodes);
        Node gone = left.get(node);
        left.set(node, new Node(gone.name(), gone.zone(), gone.capacity(), false));
        return new Problem(zones, crossing, rates, left, ranges, false);
    }
}
