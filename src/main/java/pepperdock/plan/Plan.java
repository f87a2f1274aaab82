package pepperdock.plan;

import java.util.List;

/**
 * Shares that fit the capacities, or the conflict that shows that none do.
 *
 * @param shares for each range, in the problem's order, for each zone, what part each of the range's replicas gets; they add
 *     up to 1 in each zone, equal among the replicas in service where there is no work
 * @param utilisation of each node, work over capacity; a node that is out of service has none (null)
 * @param greatest of these, or 0
 * @param crossings cost of the work sent between zones, a second
 * @param conflict null where there is a plan; with it, all else is empty
 */
public record Plan(
        List<List<double[]>> shares, List<Ratio> utilisation, Ratio greatest, double crossings, Conflict conflict) {

    /** Whether there are shares. */
    public boolean solved() {
        return conflict == null;
    }

    /** Without shares. */
    static Plan none(Conflict conflict) {
        return new Plan(List.of(), List.of(), Ratio.ZERO, 0, conflict);
    }
}
