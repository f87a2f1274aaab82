package pepperdock.plan;

import java.util.List;

/**
 * Why there is no plan: work that no node may take, or that together exceeds the capacity of all nodes that may take any of it.
 * Minimal: without any one piece of the work, or with any one of the nodes unbounded, there is no conflict in the set. Immutable.
 *
 * @param away the node that is assumed to be away, or null where the fleet as it is does not suffice
 * @param work the pieces of work that are too much
 * @param nodes indexes of the nodes whose capacity they exceed; empty where no node may take the work
 * @param need the work over the capacity of the nodes; null where there are none
 */
public record Conflict(String away, List<Work> work, List<Integer> nodes, Ratio need) {

    /** The work of one zone's gatherers on one range; indexes of both in the problem. */
    public record Work(int range, int zone) {}

    /** Copies the lists. */
    public Conflict {
        work = List.copyOf(work);
        nodes = List.copyOf(nodes);
    }
}
