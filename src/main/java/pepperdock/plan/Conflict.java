package pepperdock.plan;

import java.util.List;

/**
 * The reason why a problem has no plan: work that no node may serve, or that exceeds the total capacity of all nodes
 * that may serve any of it. The set is minimal: it is no conflict any more without any one piece of the work, or with
 * any one of the nodes unbounded. Immutable.
 *
 * @param away the name of the node that is assumed to be out of service, or null if the fleet does not suffice as it is
 * @param work the pieces of work that exceed the capacity
 * @param nodes the indexes of the nodes whose capacity is exceeded; empty if no node may serve the work
 * @param requiredUtilisation the work divided by the capacity of the nodes; null if there are no such nodes
 */
public record Conflict(String away, List<Work> work, List<Integer> nodes, Ratio requiredUtilisation) {

    /** The work that the gatherers of one zone send to one range, both given by their index in the problem. */
    public record Work(int range, int zone) {}

    /** Copies the lists of work and nodes. */
    public Conflict {
        work = List.copyOf(work);
        nodes = List.copyOf(nodes);
    }
}
