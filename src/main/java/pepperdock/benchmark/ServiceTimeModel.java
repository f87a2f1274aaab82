package pepperdock.benchmark;

import java.util.SplittableRandom;

/**
 * Draws how long an emulated worker takes for a part: a minimum, an exponentially distributed extra time, and for
 * stragglers a fixed delay. The draw depends only on the seed, the part's id and the worker, not on the order in which
 * parts arrive.
 *
 * @param minimumS minimum time, in seconds
 * @param meanExtraS mean of the extra time, in seconds
 * @param stragglerShare share of the parts that are stragglers
 * @param stragglerS additional time of a straggler, in seconds
 */
record ServiceTimeModel(double minimumS, double meanExtraS, double stragglerShare, double stragglerS, long seed) {

    /** Upper limit of the extra time, in means: otherwise 1 draw in 160,000 would look like a straggler. */
    private static final double MAX_EXTRA_MEANS = 12;

    /** Returns a model without stragglers, for runs in which copies are forbidden and no part may be sent twice. */
    static ServiceTimeModel even(long seed) {
        return new ServiceTimeModel(0.004, 0.001, 0, 0, seed);
    }

    /** Returns a model in which 1 part in 10,000 is a straggler, so that 1 in 10 queries with 1,000 parts has one. */
    static ServiceTimeModel stragglers(long seed) {
        return new ServiceTimeModel(0.004, 0.001, 1e-4, 0.06, seed);
    }

    /** Returns how long the worker takes for the part with this id, in seconds. */
    double serviceTimeS(String id, int worker) {
        SplittableRandom random = new SplittableRandom(seed ^ (long) id.hashCode() << 20 ^ worker);
        double extraS = Math.min(MAX_EXTRA_MEANS, -Math.log(1 - random.nextDouble())) * meanExtraS;
        return minimumS + extraS + (random.nextDouble() < stragglerShare ? stragglerS : 0);
    }
}
