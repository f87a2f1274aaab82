package pepperdock.benchmark;

import java.util.SplittableRandom;

/**
 * How long emulated workers take for a part: a least time, an exponentially distributed rest, and now and then a straggler.
 * Drawn from the seed, the part's id and the worker alone, so that it does not hang on the order in which parts come.
 *
 * @param leastS least time, in seconds
 * @param meanRestS mean of the rest, in seconds
 * @param stragglerShare share of the parts that take longer
 * @param stragglerS by how much they do, in seconds
 */
record Behaviour(double leastS, double meanRestS, double stragglerShare, double stragglerS, long seed) {

    /** At the most so many means of the rest: a draw of 1 in 160,000 must not stand for a straggler. */
    private static final double REST_MOST = 12;

    /** Without stragglers, so that no part is sent twice where copies are forbidden. */
    static Behaviour even(long seed) {
        return new Behaviour(0.004, 0.001, 0, 0, seed);
    }

    /** One part in 10,000 is a straggler: of queries with 1,000 parts, one in ten has one. */
    static Behaviour stragglers(long seed) {
        return new Behaviour(0.004, 0.001, 1e-4, 0.06, seed);
    }

    /** How long this worker takes for the part of that id, in seconds. */
    double takesS(String id, int worker) {
        SplittableRandom draw = new SplittableRandom(seed ^ (long) id.hashCode() << 20 ^ worker);
        double rest = Math.min(REST_MOST, -Math.log(1 - draw.nextDouble())) * meanRestS;
        return leastS + rest + (draw.nextDouble() < stragglerShare ? stragglerS : 0);
    }
}
