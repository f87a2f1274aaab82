package pepperdock.plan;

import java.math.BigInteger;
import java.util.List;

/** Finds the greatest utilisation by enumerating every set of nodes. The planner must find exactly the same ratio. */
final class BruteForce {

    private BruteForce() {}

    /**
     * Returns the maximum, over all sets of nodes in service, of the work confined to the set divided by the set's
     * capacity. Returns null if no node may serve some of the work.
     *
     * @param unbounded the node whose capacity is unbounded, so that sets with it don't count; -1 for none
     */
    static Ratio greatest(Problem problem, List<Conflict.Work> subset, int unbounded) {
        BigInteger rates =
                BigInteger.valueOf(java.util.Arrays.stream(problem.rates()).sum());
        Ratio greatest = Ratio.ZERO;
        for (int nodeSet = 0; nodeSet < 1 << problem.nodes().size(); nodeSet++) {
            BigInteger work = BigInteger.ZERO;
            for (Conflict.Work pieceOfWork : subset) {
                boolean confined = true;
                for (int n : problem.ranges().get(pieceOfWork.range()).holders()) {
                    confined &= !problem.mayServe(pieceOfWork.zone(), n) || (nodeSet >> n & 1) == 1;
                }
                if (confined) {
                    work = work.add(BigInteger.valueOf(
                                    problem.ranges().get(pieceOfWork.range()).work())
                            .multiply(BigInteger.valueOf(problem.rates()[pieceOfWork.zone()])));
                }
            }
            long capacity = 0;
            for (int n = 0; n < problem.nodes().size(); n++) {
                capacity += (nodeSet >> n & 1) == 1 && problem.nodes().get(n).inService()
                        ? problem.nodes().get(n).capacity()
                        : 0;
            }
            if (work.signum() > 0 && capacity == 0) {
                return null;
            }
            if (capacity > 0 && (unbounded < 0 || (nodeSet >> unbounded & 1) == 0)) {
                Ratio ratio = new Ratio(work, BigInteger.valueOf(capacity).multiply(rates));
                greatest = ratio.compareTo(greatest) > 0 ? ratio : greatest;
            }
        }
        return greatest;
    }
}
