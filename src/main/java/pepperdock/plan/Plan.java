package pepperdock.plan;

import java.util.List;

/**
 * The solution of a problem: shares that fit the capacities, or the conflict that shows that there are none.
 *
 * @param shares for each range, in the problem's order, and each zone, the share of each of the range's replicas; the
 *     shares add up to 1 in each zone, and are equal among the replicas in service if there is no work
 * @param utilisation the utilisation of each node, its work divided by its capacity; null for a node out of service
 * @param greatest the greatest utilisation of any node, or 0 if there is none
 * @param crossings the cost per second of the work sent between zones
 * @param conflict null if there is a plan; otherwise, all other components are empty
 */
public record Plan(
        List<List<double[]>> shares, List<Ratio> utilisation, Ratio greatest, double crossings, Conflict conflict) {

    /** Returns whether the plan has shares, and no conflict. */
    public boolean solved() {
        return conflict == null;
    }

    /** Returns a result without shares. */
    static Plan unsolved(Conflict conflict) {
        return new Plan(List.of(), List.of(), Ratio.ZERO, 0, conflict);
    }
}
