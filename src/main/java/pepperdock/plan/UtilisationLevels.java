package pepperdock.plan;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/**
 * Spreads work that only some nodes may take so that the nodes' utilisations are least in the order of the greatest, then the
 * next, and so on (lexicographically least, which is unique). The greatest is, by the theorem of Hall and Rado, the maximum over
 * all sets of nodes of the work that may go nowhere else over the set's capacity. One linear program finds it and a spread that
 * reaches it; the nodes that cannot shed load to any node below it are such a set. They and their work are final: the next level
 * is the same problem without them.
 *
 * <p>Works on demands merged by who may take them, and on one connected component of the fleet at a time. Used by one thread.
 */
final class UtilisationLevels {

    /** A load this close to the level, relative to it, is at the level; the solver's own accuracy is far finer. */
    private static final double TOLERANCE = 1e-7;

    /** Work that any of these nodes may take, in ascending order. */
    record Demand(long work, int[] nodes) {}

    /**
     * The result.
     *
     * @param flow {@code flow[d][i]}: what the i-th node of demand d gets, in units of work
     * @param utilisation of each node
     * @param first the nodes of the greatest utilisation
     */
    record Spread(double[][] flow, Ratio[] utilisation, BitSet first) {}

    private final long[] capacity;
    private final List<Demand> demands;
    private final double[][] flow;
    private final Ratio[] utilisation;
    private final BitSet first = new BitSet();

    private UtilisationLevels(long[] capacity, List<Demand> demands) {
        this.capacity = capacity;
        this.demands = demands;
        flow = new double[demands.size()][];
        for (int d = 0; d < flow.length; d++) {
            flow[d] = new double[demands.get(d).nodes().length];
        }
        utilisation = new Ratio[capacity.length];
        Arrays.fill(utilisation, Ratio.ZERO);
    }

    /** Each demand has work above 0 and a node at least, each node it names capacity above 0. */
    static Spread spread(long[] capacity, List<Demand> demands) {
        UtilisationLevels levels = new UtilisationLevels(capacity, demands);
        BitSet all = new BitSet();
        for (int d = 0; d < demands.size(); d++) {
            all.set(d);
        }
        levels.pieces(all, new BitSet());
        return new Spread(levels.flow, levels.utilisation, levels.first);
    }

    /** Splits what is left into connected components and levels each by itself; nodes in {@code done} take no more. */
    private void pieces(BitSet left, BitSet done) {
        Map<Integer, Integer> parent = new HashMap<>();
        for (int d = left.nextSetBit(0); d >= 0; d = left.nextSetBit(d + 1)) {
            int root = -1;
            for (int node : demands.get(d).nodes()) {
                if (!done.get(node)) {
                    int top = find(parent, node);
                    if (root < 0) {
                        root = top;
                    } else if (root != top) {
                        parent.put(top, root);
                    }
                }
            }
        }
        Map<Integer, BitSet> pieces = new HashMap<>();
        for (int d = left.nextSetBit(0); d >= 0; d = left.nextSetBit(d + 1)) {
            for (int node : demands.get(d).nodes()) {
                if (!done.get(node)) {
                    pieces.computeIfAbsent(find(parent, node), r -> new BitSet())
                            .set(d);
                    break;
                }
            }
        }
        pieces.values().forEach(piece -> level(piece, done));
    }

    private static int find(Map<Integer, Integer> parent, int node) {
        int top = node;
        while (parent.getOrDefault(top, top) != top) {
            top = parent.get(top);
        }
        parent.put(node, top);
        return top;
    }

    /** Finds the greatest utilisation of a component and its nodes, and goes on with the rest. */
    private void level(BitSet piece, BitSet done) {
        double u = program(piece, done);
        BitSet tight = tight(piece, done, u);
        BigInteger work = BigInteger.ZERO;
        BitSet rest = new BitSet();
        for (int d = piece.nextSetBit(0); d >= 0; d = piece.nextSetBit(d + 1)) {
            boolean inside = true;
            for (int node : demands.get(d).nodes()) {
                inside &= done.get(node) || tight.get(node);
            }
            if (inside) {
                work = work.add(BigInteger.valueOf(demands.get(d).work()));
            } else {
                rest.set(d);
                Arrays.fill(flow[d], 0);
            }
        }
        BigInteger room =
                tight.stream().mapToObj(n -> BigInteger.valueOf(capacity[n])).reduce(BigInteger.ZERO, BigInteger::add);
        Ratio exact = new Ratio(work, room);
        if (Math.abs(exact.value() - u) > 1e-6 * Math.max(u, 1e-9)) {
            throw new ArithmeticException("the program's level " + u + " is not that of its set, " + exact.value());
        }
        tight.stream().forEach(n -> utilisation[n] = exact);
        keepFirst(exact, tight);
        if (!rest.isEmpty()) {
            BitSet after = (BitSet) done.clone();
            after.or(tight);
            pieces(rest, after);
        }
    }

    /** Keeps the set of the greatest level: what a conflict is made of. */
    private void keepFirst(Ratio level, BitSet set) {
        if (first.isEmpty() || level.compareTo(utilisation[first.nextSetBit(0)]) > 0) {
            first.clear();
            first.or(set);
        }
    }

    /** The least utilisation that a spread of a component's work over the nodes not done can keep; fills the flow. */
    private double program(BitSet piece, BitSet done) {
        double workUnit =
                piece.stream().mapToDouble(d -> demands.get(d).work()).max().orElse(1);
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Variable u = model.newVariable("u").lower(0).weight(1);
        Map<Integer, Expression> loads = new HashMap<>();
        List<int[]> places = new ArrayList<>();
        for (int d = piece.nextSetBit(0); d >= 0; d = piece.nextSetBit(d + 1)) {
            Demand demand = demands.get(d);
            Expression all = model.newExpression("d" + d).level(demand.work() / workUnit);
            for (int i = 0; i < demand.nodes().length; i++) {
                int node = demand.nodes()[i];
                flow[d][i] = 0;
                if (!done.get(node)) {
                    Variable x = model.newVariable("x" + places.size()).lower(0);
                    places.add(new int[] {d, i});
                    all.set(x, 1);
                    loads.computeIfAbsent(
                                    node,
                                    n -> model.newExpression("n" + n).upper(0).set(u, -capacity[n] / workUnit))
                            .set(x, 1);
                }
            }
        }
        Optimisation.Result result = model.minimise();
        if (!result.getState().isOptimal()) {
            throw new ArithmeticException("the program ended " + result.getState());
        }
        for (int x = 0; x < places.size(); x++) {
            flow[places.get(x)[0]][places.get(x)[1]] = Math.max(0, result.doubleValue(x + 1)) * workUnit;
        }
        return result.doubleValue(0);
    }

    /** The nodes at the level that cannot shed any of their load, by way of others at the level, to a node below it. */
    private BitSet tight(BitSet piece, BitSet done, double u) {
        double[] load = new double[capacity.length];
        BitSet nodes = new BitSet();
        for (int d = piece.nextSetBit(0); d >= 0; d = piece.nextSetBit(d + 1)) {
            for (int i = 0; i < flow[d].length; i++) {
                if (!done.get(demands.get(d).nodes()[i])) {
                    load[demands.get(d).nodes()[i]] += flow[d][i];
                    nodes.set(demands.get(d).nodes()[i]);
                }
            }
        }
        BitSet sheds = new BitSet();
        nodes.stream().filter(n -> load[n] < u * capacity[n] * (1 - TOLERANCE)).forEach(sheds::set);
        boolean grows = true;
        while (grows) {
            grows = false;
            for (int d = piece.nextSetBit(0); d >= 0; d = piece.nextSetBit(d + 1)) {
                int[] of = demands.get(d).nodes();
                boolean out = false;
                for (int node : of) {
                    out |= !done.get(node) && sheds.get(node);
                }
                for (int i = 0; out && i < of.length; i++) {
                    if (!done.get(of[i]) && !sheds.get(of[i]) && flow[d][i] > TOLERANCE * u * capacity[of[i]]) {
                        sheds.set(of[i]);
                        grows = true;
                    }
                }
            }
        }
        nodes.andNot(sheds);
        if (nodes.isEmpty()) {
            throw new ArithmeticException("no set of nodes holds the level " + u);
        }
        return nodes;
    }
}
