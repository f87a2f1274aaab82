package pepperdock.plan;

import java.math.BigInteger;
import java.util.List;

/** The greatest utilisation by looking at every set of nodes: what the planner must equal to the last digit. */
final class BruteForce {

    private BruteForce() {}

    /**
     * Most, over all sets of nodes in service without {@code unbounded} (-1: none), of the work that may go nowhere else
     * over the set's capacity; null where some work may go nowhere at all.
     */
    static Ratio greatest(Problem p, List<Conflict.Work> some, int unbounded) {
        BigInteger rates = BigInteger.valueOf(java.util.Arrays.stream(p.rates()).sum());
        Ratio most = Ratio.ZERO;
        for (int set = 0; set < 1 << p.nodes().size(); set++) {
            BigInteger work = BigInteger.ZERO;
            for (Conflict.Work w : some) {
                boolean inside = true;
                for (int n : p.ranges().get(w.range()).holders()) {
                    inside &= !p.mayServe(w.zone(), n) || (set >> n & 1) == 1;
                }
                if (inside) {
                    work = work.add(BigInteger.valueOf(p.ranges().get(w.range()).work())
                            .multiply(BigInteger.valueOf(p.rates()[w.zone()])));
                }
            }
            long capacity = 0;
            for (int n = 0; n < p.nodes().size(); n++) {
                capacity += (set >> n & 1) == 1 && p.nodes().get(n).inService()
                        ? p.nodes().get(n).capacity()
                        : 0;
            }
            if (work.signum() > 0 && capacity == 0) {
                return null;
            }
            if (capacity > 0 && (unbounded < 0 || (set >> unbounded & 1) == 0)) {
                Ratio ratio = new Ratio(work, BigInteger.valueOf(capacity).multiply(rates));
                most = ratio.compareTo(most) > 0 ? ratio : most;
            }
        }
        return most;
    }
}
