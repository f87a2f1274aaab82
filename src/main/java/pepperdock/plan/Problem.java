package pepperdock.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * The input of the planner. Immutable.
 *
 * @param zones the names of the zones; nodes and gatherers refer to their zone by its index
 * @param crossingCost {@code crossingCost[from][to]}: the cost of a second of work that a gatherer in zone {@code from}
 *     sends to a node in zone {@code to}; infinite if it may not send any
 * @param rates the rate of queries that arrive at the gatherers of each zone, in any unit, as integers; at least one must be
 *     above 0
 * @param spareNode whether the capacity must also suffice with any one node out of service
 */
public record Problem(
        List<String> zones,
        double[][] crossingCost,
        long[] rates,
        List<Node> nodes,
        List<Range> ranges,
        boolean spareNode) {

    /**
     * A node. Its capacity is in microseconds of work per second, already divided by the factor by which the node is
     * slow.
     */
    public record Node(String name, int zone, long capacity, boolean inService) {}

    /** An account range: its work in microseconds per second, and the indexes of the nodes that hold its replicas. */
    public record Range(int number, long work, List<Integer> holders) {
        /** Copies the list of holders. */
        public Range {
            holders = List.copyOf(holders);
        }
    }

    /** Copies the lists of zones, nodes and ranges. */
    public Problem {
        zones = List.copyOf(zones);
        nodes = List.copyOf(nodes);
        ranges = List.copyOf(ranges);
    }

    /** Returns whether the gatherers of a zone may send work to a node. */
    boolean mayServe(int zone, int node) {
        return nodes.get(node).inService()
                && nodes.get(node).capacity() > 0
                && Double.isFinite(crossingCost[zone][nodes.get(node).zone()]);
    }

    /** Returns this problem with one node out of service, and without the requirement of a spare node. */
    Problem withNodeAway(int node) {
        List<Node> changedNodes = new ArrayList<>(nodes);
        Node removed = changedNodes.get(node);
        changedNodes.set(node, new Node(removed.name(), removed.zone(), removed.capacity(), false));
        return new Problem(zones, crossingCost, rates, changedNodes, ranges, false);
    }
}
