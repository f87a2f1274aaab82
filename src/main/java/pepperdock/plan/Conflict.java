package pepperdock.plan;

import java.util.List;

/**
 * Why there is no plan: work that no holder may take, or that together is more than all nodes that may take any of it can
 * do. Smallest in that without any one piece of the work, or with any one of the nodes unbounded, the rest of the set holds
 * together.
 *
 * @param away the node that is thought away, or null where the fleet as it is does not suffice
 * @param work the pieces of work that are too much
 * @param nodes places of the nodes whose capacity they exceed; empty where no holder may take the work
 * @param need the work over the capacity of the nodes; null where there are none
 */
public record Conflict(String away, List<Work> work, List<Integer> nodes, Ratio need) {

    /** What one zone's gatherers ask of one range; places of both in the problem. */
    public record Work(int range, int zone) {}

    public Conflict {
        work = List.copyOf(work);
        nodes = List.copyOf(nodes);
    }
}
