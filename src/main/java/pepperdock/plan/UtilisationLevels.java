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
 * Assigns work, each piece of which only some nodes may serve, so that the nodes' utilisations are max-min fair: the
 * greatest is least, then the next greatest, and so on (lexicographically least, which is unique). By the theorem of
 * Hall and Rado, the greatest utilisation is the maximum, over all sets of nodes, of the work confined to the set
 * divided by the set's capacity. One linear program finds it together with an assignment that attains it. The nodes
 * that cannot move load to any node below this level are such a set, the bottleneck. They and their work are final; the
 * next level is the same problem without them.
 *
 * <p>Works on demands merged by the nodes that may serve them, and on one connected component of the fleet at a time.
 * Each instance is used by one thread.
 */
final class UtilisationLevels {

    /** Relative distance within which a load counts as at the level; the solver's own accuracy is far finer. */
    private static final double TOLERANCE = 1e-7;

    /** Work that any of these nodes may serve; the nodes are in ascending order. */
    record Demand(long work, int[] nodes) {}

    /**
     * The max-min fair assignment.
     *
     * @param flow {@code flow[d][i]}: the work that the i-th node of demand d gets, in units of work
     * @param utilisation the utilisation of each node
     * @param bottleneck the nodes of the greatest utilisation
     */
    record Assignment(double[][] flow, Ratio[] utilisation, BitSet bottleneck) {}

    private final long[] capacity;
    private final List<Demand> demands;
    private final double[][] flow;
    private final Ratio[] utilisation;
    private final BitSet bottleneck = new BitSet();

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

    /**
     * Returns the max-min fair assignment. Each demand must have work above 0 and at least one node, and each of its
     * nodes capacity above 0.
     */
    static Assignment solve(long[] capacity, List<Demand> demands) {
        UtilisationLevels levels = new UtilisationLevels(capacity, demands);
        BitSet all = new BitSet();
        for (int d = 0; d < demands.size(); d++) {
            all.set(d);
        }
        levels.solveComponents(all, new BitSet());
        return new Assignment(levels.flow, levels.utilisation, levels.bottleneck);
    }

    /**
     * Splits the remaining demands into connected components and solves each by itself. The nodes in {@code fixed} take
     * no more work.
     */
    private void solveComponents(BitSet remaining, BitSet fixed) {
        Map<Integer, Integer> parent = new HashMap<>();
        for (int d = remaining.nextSetBit(0); d >= 0; d = remaining.nextSetBit(d + 1)) {
            int root = -1;
            for (int node : demands.get(d).nodes()) {
                if (!fixed.get(node)) {
                    int nodeRoot = findRoot(parent, node);
                    if (root < 0) {
                        root = nodeRoot;
                    } else if (root != nodeRoot) {
                        parent.put(nodeRoot, root);
                    }
                }
            }
        }
        Map<Integer, BitSet> components = new HashMap<>();
        for (int d = remaining.nextSetBit(0); d >= 0; d = remaining.nextSetBit(d + 1)) {
            for (int node : demands.get(d).nodes()) {
                if (!fixed.get(node)) {
                    components
                            .computeIfAbsent(findRoot(parent, node), r -> new BitSet())
                            .set(d);
                    break;
                }
            }
        }
        components.values().forEach(component -> solveComponent(component, fixed));
    }

    /** Returns the root of a node in the union-find forest, and compresses the path to it. */
    private static int findRoot(Map<Integer, Integer> parent, int node) {
        int root = node;
        while (parent.getOrDefault(root, root) != root) {
            root = parent.get(root);
        }
        parent.put(node, root);
        return root;
    }

    /**
     * Finds the greatest utilisation of a component and its bottleneck, then continues with the rest of the component.
     */
    private void solveComponent(BitSet component, BitSet fixed) {
        double level = solveMinMaxProgram(component, fixed);
        BitSet bottleneckNodes = findBottleneck(component, fixed, level);
        BigInteger confinedWork = BigInteger.ZERO;
        BitSet unconfined = new BitSet();
        for (int d = component.nextSetBit(0); d >= 0; d = component.nextSetBit(d + 1)) {
            boolean confined = true;
            for (int node : demands.get(d).nodes()) {
                confined &= fixed.get(node) || bottleneckNodes.get(node);
            }
            if (confined) {
                confinedWork =
                        confinedWork.add(BigInteger.valueOf(demands.get(d).work()));
            } else {
                unconfined.set(d);
                Arrays.fill(flow[d], 0);
            }
        }
        BigInteger bottleneckCapacity = bottleneckNodes.stream()
                .mapToObj(n -> BigInteger.valueOf(capacity[n]))
                .reduce(BigInteger.ZERO, BigInteger::add);
        Ratio exact = new Ratio(confinedWork, bottleneckCapacity);
        if (Math.abs(exact.value() - level) > 1e-6 * Math.max(level, 1e-9)) {
            throw new ArithmeticException(
                    "the linear program found utilisation " + level + ", but its bottleneck set has " + exact.value());
        }
        bottleneckNodes.stream().forEach(n -> utilisation[n] = exact);
        keepIfGreatest(exact, bottleneckNodes);
        if (!unconfined.isEmpty()) {
            BitSet nextFixed = (BitSet) fixed.clone();
            nextFixed.or(bottleneckNodes);
            solveComponents(unconfined, nextFixed);
        }
    }

    /** Keeps the bottleneck of the greatest level, from which a conflict is built. */
    private void keepIfGreatest(Ratio level, BitSet nodes) {
        if (bottleneck.isEmpty() || level.compareTo(utilisation[bottleneck.nextSetBit(0)]) > 0) {
            bottleneck.clear();
            bottleneck.or(nodes);
        }
    }

    /**
     * Returns the least utilisation that suffices to assign a component's work to its nodes outside {@code fixed}, and
     * writes the assignment that attains it into {@code flow}.
     */
    private double solveMinMaxProgram(BitSet component, BitSet fixed) {
        double workUnit =
                component.stream().mapToDouble(d -> demands.get(d).work()).max().orElse(1);
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Variable level = model.newVariable("u").lower(0).weight(1);
        Map<Integer, Expression> loads = new HashMap<>();
        List<int[]> amounts = new ArrayList<>();
        for (int d = component.nextSetBit(0); d >= 0; d = component.nextSetBit(d + 1)) {
            Demand demand = demands.get(d);
            Expression total = model.newExpression("d" + d).level(demand.work() / workUnit);
            for (int i = 0; i < demand.nodes().length; i++) {
                int node = demand.nodes()[i];
                flow[d][i] = 0;
                if (!fixed.get(node)) {
                    Variable amount = model.newVariable("x" + amounts.size()).lower(0);
                    amounts.add(new int[] {d, i});
                    total.set(amount, 1);
                    loads.computeIfAbsent(
                                    node,
                                    n -> model.newExpression("n" + n).upper(0).set(level, -capacity[n] / workUnit))
                            .set(amount, 1);
                }
            }
        }
        Optimisation.Result result = model.minimise();
        if (!result.getState().isOptimal()) {
            throw new ArithmeticException(
                    "no optimal solution of the linear program of the utilisation level: it ended in state "
                            + result.getState());
        }
        for (int i = 0; i < amounts.size(); i++) {
            flow[amounts.get(i)[0]][amounts.get(i)[1]] = Math.max(0, result.doubleValue(i + 1)) * workUnit;
        }
        return result.doubleValue(0);
    }

    /**
     * Returns the nodes at the level that cannot move any of their load to a node below it, neither directly nor
     * through other nodes at the level.
     */
    private BitSet findBottleneck(BitSet component, BitSet fixed, double level) {
        double[] load = new double[capacity.length];
        BitSet nodes = new BitSet();
        for (int d = component.nextSetBit(0); d >= 0; d = component.nextSetBit(d + 1)) {
            for (int i = 0; i < flow[d].length; i++) {
                if (!fixed.get(demands.get(d).nodes()[i])) {
                    load[demands.get(d).nodes()[i]] += flow[d][i];
                    nodes.set(demands.get(d).nodes()[i]);
                }
            }
        }
        BitSet relievable = new BitSet();
        nodes.stream()
                .filter(n -> load[n] < level * capacity[n] * (1 - TOLERANCE))
                .forEach(relievable::set);
        boolean changed = true;
        while (changed) {
            changed = false;
            for (int d = component.nextSetBit(0); d >= 0; d = component.nextSetBit(d + 1)) {
                int[] demandNodes = demands.get(d).nodes();
                boolean hasRelievableNode = false;
                for (int node : demandNodes) {
                    hasRelievableNode |= !fixed.get(node) && relievable.get(node);
                }
                for (int i = 0; hasRelievableNode && i < demandNodes.length; i++) {
                    if (!fixed.get(demandNodes[i])
                            && !relievable.get(demandNodes[i])
                            && flow[d][i] > TOLERANCE * level * capacity[demandNodes[i]]) {
                        relievable.set(demandNodes[i]);
                        changed = true;
                    }
                }
            }
        }
        nodes.andNot(relievable);
        if (nodes.isEmpty()) {
            throw new ArithmeticException("no set of nodes is a bottleneck at utilisation " + level);
        }
        return nodes;
    }
}
