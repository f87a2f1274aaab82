package pepperdock.plan;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;
import pepperdock.plan.Conflict.Work;
import pepperdock.plan.Problem.Range;
import pepperdock.plan.UtilisationLevels.Assignment;
import pepperdock.plan.UtilisationLevels.Demand;

/**
 * Solves a {@link Problem}: finds its {@link Plan}, or the {@link Conflict} that shows that there is none. Throws an
 * {@link ArithmeticException} if a linear program itself fails. Each instance is used by one thread.
 */
public final class Planner {

    /** Tolerance, relative to a node's load, where the loads found by one linear program bound the next one. */
    private static final double BOUND_TOLERANCE = 1e-9;

    /** Relative tolerance of the check that a flow is feasible. */
    private static final double FEASIBILITY_TOLERANCE = 1e-7;

    private final Problem problem;
    private final Set<Work> subset;
    private final BigInteger totalRate;
    /** The index of the demand of each range and zone; -1 if it has no work, or if no node may serve it. */
    private final int[][] demandIndex;

    private final List<Demand> demands = new ArrayList<>();
    private final List<Integer> demandZones = new ArrayList<>();

    /** Creates a planner for the pieces of work in {@code subset}, or for all work if {@code subset} is null. */
    private Planner(Problem problem, Collection<Work> subset) {
        this.problem = problem;
        this.subset = subset == null ? null : new HashSet<>(subset);
        totalRate = BigInteger.valueOf(Arrays.stream(problem.rates()).sum());
        demandIndex = new int[problem.ranges().size()][problem.zones().size()];
    }

    /** Returns the plan with the lexicographically least utilisations, without slack. */
    public static Plan plan(Problem problem) {
        return plan(problem, 0);
    }

    /**
     * Returns a plan whose shares may load each node above the least utilisation, by up to {@code slack} times the
     * greatest utilisation, to stay closer to equal shares: in a ring, balancing the last digit of measured work moves
     * the shares of all ranges. The utilisations reported are the bounds without the slack.
     */
    public static Plan plan(Problem problem, double slack) {
        Conflict conflict = findConflict(problem, null);
        for (int n = 0;
                conflict == null && problem.spareNode() && n < problem.nodes().size();
                n++) {
            if (problem.nodes().get(n).inService()) {
                conflict = findConflict(
                        problem.withNodeAway(n), problem.nodes().get(n).name());
            }
        }
        return conflict != null ? Plan.unsolved(conflict) : new Planner(problem, null).solve(slack);
    }

    // ---- Conflicts ------------------------------------------------------------

    private static Conflict findConflict(Problem problem, String away) {
        List<Work> allWork = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            for (int z = 0; z < problem.zones().size(); z++) {
                int zone = z;
                if (problem.ranges().get(r).work() > 0 && problem.rates()[z] > 0) {
                    allWork.add(new Work(r, z));
                    if (problem.ranges().get(r).holders().stream().noneMatch(n -> problem.mayServe(zone, n))) {
                        return new Conflict(away, List.of(new Work(r, z)), List.of(), null);
                    }
                }
            }
        }
        Planner planner = new Planner(problem, allWork);
        Assignment assignment = planner.assign();
        if (!planner.exceedsCapacity(assignment)) {
            return null;
        }
        // The work confined to the bottleneck exceeds its capacity by itself, so the search is limited to that work.
        List<Work> minimalWork = minimalInfeasibleSubset(
                problem,
                allWork.stream()
                        .filter(w -> Arrays.stream(planner.demands
                                        .get(planner.demandIndex[w.range()][w.zone()])
                                        .nodes())
                                .allMatch(assignment.bottleneck()::get))
                        .toList());
        Planner minimalPlanner = new Planner(problem, minimalWork);
        Assignment minimalAssignment = minimalPlanner.assign();
        return new Conflict(
                away,
                minimalWork,
                minimalAssignment.bottleneck().stream().boxed().toList(),
                minimalPlanner.greatestUtilisation(minimalAssignment));
    }

    private Ratio greatestUtilisation(Assignment assignment) {
        return unscaled(assignment.utilisation()[assignment.bottleneck().nextSetBit(0)]);
    }

    private boolean exceedsCapacity(Assignment assignment) {
        return !assignment.bottleneck().isEmpty()
                && greatestUtilisation(assignment).aboveOne();
    }

    private static boolean exceedsCapacity(Problem problem, List<Work> subset) {
        Planner planner = new Planner(problem, subset);
        return planner.exceedsCapacity(planner.assign());
    }

    /**
     * Returns a minimal subset that still exceeds the capacity, by delta debugging: drops chunks of decreasing size as
     * long as the rest exceeds the capacity, until no single piece of work can be dropped.
     */
    private static List<Work> minimalInfeasibleSubset(Problem problem, List<Work> all) {
        List<Work> remaining = new ArrayList<>(all);
        for (int chunk = Integer.highestOneBit(remaining.size()); chunk >= 1; chunk /= 2) {
            for (int start = 0; start < remaining.size(); ) {
                List<Work> candidate = new ArrayList<>(remaining.subList(0, start));
                candidate.addAll(remaining.subList(Math.min(remaining.size(), start + chunk), remaining.size()));
                if (!candidate.isEmpty() && exceedsCapacity(problem, candidate)) {
                    remaining = candidate;
                } else {
                    start += chunk;
                }
            }
        }
        return remaining;
    }

    // ---- Shares ------------------------------------------------------------

    /**
     * Finds the max-min fair assignment of the demands. Work of the same zone that may go to the same nodes is merged
     * into one demand, and multiplied by the zone's rate instead of divided by the total, so that it stays an integer.
     */
    private Assignment assign() {
        Map<List<Integer>, Integer> indexByZoneAndNodes = new LinkedHashMap<>();
        List<Long> work = new ArrayList<>();
        List<int[]> eligibleNodes = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            Range range = problem.ranges().get(r);
            for (int z = 0; z < problem.zones().size(); z++) {
                int zone = z;
                int[] eligible = range.holders().stream()
                        .filter(n -> problem.mayServe(zone, n))
                        .mapToInt(n -> n)
                        .sorted()
                        .toArray();
                long scaledWork = Math.multiplyExact(range.work(), problem.rates()[z]);
                demandIndex[r][z] = -1;
                if (scaledWork > 0 && eligible.length > 0 && (subset == null || subset.contains(new Work(r, z)))) {
                    List<Integer> zoneAndNodes = new ArrayList<>(List.of(z));
                    Arrays.stream(eligible).forEach(zoneAndNodes::add);
                    Integer existing = indexByZoneAndNodes.putIfAbsent(zoneAndNodes, work.size());
                    if (existing == null) {
                        demandIndex[r][z] = work.size();
                        work.add(scaledWork);
                        eligibleNodes.add(eligible);
                        demandZones.add(z);
                    } else {
                        demandIndex[r][z] = existing;
                        work.set(existing, Math.addExact(work.get(existing), scaledWork));
                    }
                }
            }
        }
        for (int d = 0; d < work.size(); d++) {
            demands.add(new Demand(work.get(d), eligibleNodes.get(d)));
        }
        return UtilisationLevels.solve(
                problem.nodes().stream().mapToLong(Problem.Node::capacity).toArray(), demands);
    }

    /** Divides by the total rate, which {@link #assign} leaves out of the work. */
    private Ratio unscaled(Ratio scaled) {
        return new Ratio(scaled.work(), scaled.capacity().multiply(totalRate));
    }

    private Plan solve(double slack) {
        Assignment assignment = assign();
        double[][] flow = minimiseMovesFromEqualShares(assignment, minimiseCrossingCost(assignment), slack);
        List<Ratio> utilisation = new ArrayList<>();
        Ratio greatest = Ratio.ZERO;
        for (int n = 0; n < problem.nodes().size(); n++) {
            Ratio ratio =
                    problem.nodes().get(n).inService() ? unscaled(assignment.utilisation()[n]) : null;
            utilisation.add(ratio);
            greatest = ratio != null && ratio.compareTo(greatest) > 0 ? ratio : greatest;
        }
        double crossings = 0;
        for (int d = 0; d < flow.length; d++) {
            for (int i = 0; i < flow[d].length; i++) {
                crossings += flow[d][i]
                        / totalRate.doubleValue()
                        / 1e6
                        * crossingCost(d, demands.get(d).nodes()[i]);
            }
        }
        List<List<double[]>> shares = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            List<double[]> zones = new ArrayList<>();
            for (int z = 0; z < problem.zones().size(); z++) {
                zones.add(sharesAmongHolders(r, z, flow));
            }
            shares.add(zones);
        }
        return new Plan(shares, utilisation, greatest, crossings, null);
    }

    private double[] sharesAmongHolders(int range, int zone, double[][] flow) {
        List<Integer> holders = problem.ranges().get(range).holders();
        double[] shares = new double[holders.size()];
        int demand = demandIndex[range][zone];
        for (int i = 0; i < shares.length; i++) {
            if (demand >= 0) {
                int position = Arrays.binarySearch(demands.get(demand).nodes(), holders.get(i));
                shares[i] = position < 0 ? 0 : flow[demand][position];
            } else {
                shares[i] = problem.mayServe(zone, holders.get(i)) ? 1 : 0;
            }
        }
        double sum = Arrays.stream(shares).sum();
        return sum == 0 ? shares : Arrays.stream(shares).map(s -> s / sum).toArray();
    }

    private double crossingCost(int demand, int node) {
        return problem.crossingCost()[demandZones.get(demand)][
                problem.nodes().get(node).zone()];
    }

    /**
     * Returns, among the flows within these loads and this crossing cost, one that moves the least work away from equal
     * shares. Without this step, a linear program ends at a vertex, where whole ranges go to one replica for no reason.
     * The variables are the amounts moved: {@code more} and {@code less} than the equal share. Returns
     * {@code initialFlow} if the solver finds no feasible optimum.
     */
    private double[][] minimiseMovesFromEqualShares(Assignment assignment, double[][] initialFlow, double slack) {
        double allowance = assignment.bottleneck().isEmpty()
                ? 0
                : slack * assignment.utilisation()[assignment.bottleneck().nextSetBit(0)].value();
        double workUnit = demands.stream().mapToDouble(Demand::work).max().orElse(1);
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Expression crossingCosts = model.newExpression("crossings");
        double crossingCostBound = 0;
        double equalCrossingCost = 0;
        Map<Integer, Expression> loads = new HashMap<>();
        Map<Integer, Double> equalLoads = new HashMap<>();
        for (int d = 0; d < demands.size(); d++) {
            int[] nodes = demands.get(d).nodes();
            double equal = demands.get(d).work() / workUnit / nodes.length;
            Expression total = model.newExpression("d" + d).level(0);
            for (int i = 0; i < nodes.length; i++) {
                Variable more =
                        model.newVariable("more" + d + "to" + nodes[i]).lower(0).weight(1);
                Variable less = model.newVariable("less" + d + "to" + nodes[i])
                        .lower(0)
                        .upper(equal)
                        .weight(1);
                total.set(more, 1).set(less, -1);
                loads.computeIfAbsent(nodes[i], n -> model.newExpression("n" + n))
                        .set(more, 1)
                        .set(less, -1);
                equalLoads.merge(nodes[i], equal, Double::sum);
                crossingCosts.set(more, crossingCost(d, nodes[i])).set(less, -crossingCost(d, nodes[i]));
                crossingCostBound += initialFlow[d][i] / workUnit * crossingCost(d, nodes[i]);
                equalCrossingCost += equal * crossingCost(d, nodes[i]);
            }
        }
        loads.forEach((node, load) -> load.upper((assignment.utilisation()[node].value() + allowance)
                        * problem.nodes().get(node).capacity()
                        / workUnit
                        * (1 + BOUND_TOLERANCE)
                - equalLoads.get(node)));
        crossingCosts.upper(crossingCostBound * (1 + BOUND_TOLERANCE) + BOUND_TOLERANCE - equalCrossingCost);
        Optimisation.Result result = model.minimise();
        if (!result.getState().isOptimal()) {
            return initialFlow;
        }
        double[][] flow = applyMoves(result, workUnit);
        return isFeasible(flow, assignment, allowance) ? flow : initialFlow;
    }

    /**
     * Returns the flow of equal shares plus the moves of a solution, whose variables alternate {@code more} and
     * {@code less}.
     */
    private double[][] applyMoves(Optimisation.Result result, double workUnit) {
        double[][] flow = new double[demands.size()][];
        for (int d = 0, column = 0; d < flow.length; d++) {
            flow[d] = new double[demands.get(d).nodes().length];
            for (int i = 0; i < flow[d].length; i++, column += 2) {
                flow[d][i] = Math.max(
                        0,
                        (double) demands.get(d).work() / flow[d].length
                                + (result.doubleValue(column) - result.doubleValue(column + 1)) * workUnit);
            }
        }
        return flow;
    }

    /**
     * Returns whether a flow assigns all work and keeps every node within its bound. Recomputed here because the solver
     * may report a point as optimal that exceeds a bound by a sixth.
     */
    private boolean isFeasible(double[][] flow, Assignment assignment, double allowance) {
        double[] load = new double[problem.nodes().size()];
        for (int d = 0; d < flow.length; d++) {
            double sum = Arrays.stream(flow[d]).sum();
            if (Math.abs(sum - demands.get(d).work())
                    > FEASIBILITY_TOLERANCE * demands.get(d).work()) {
                return false;
            }
            for (int i = 0; i < flow[d].length; i++) {
                load[demands.get(d).nodes()[i]] += flow[d][i];
            }
        }
        for (int n = 0; n < load.length; n++) {
            double bound = (assignment.utilisation()[n].value() + allowance)
                    * problem.nodes().get(n).capacity();
            if (load[n] > bound * (1 + FEASIBILITY_TOLERANCE) + FEASIBILITY_TOLERANCE) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the flow of least crossing cost among those with these loads, or the given flow if all nodes of each
     * demand have the same cost.
     */
    private double[][] minimiseCrossingCost(Assignment assignment) {
        boolean allCostsEqual = true;
        for (int d = 0; d < demands.size(); d++) {
            for (int node : demands.get(d).nodes()) {
                allCostsEqual &=
                        crossingCost(d, node) == crossingCost(d, demands.get(d).nodes()[0]);
            }
        }
        if (allCostsEqual) {
            return assignment.flow();
        }
        double workUnit = demands.stream().mapToDouble(Demand::work).max().orElse(1);
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Map<Integer, Expression> loads = new HashMap<>();
        for (int d = 0; d < demands.size(); d++) {
            Expression total = model.newExpression("d" + d).level(demands.get(d).work() / workUnit);
            for (int node : demands.get(d).nodes()) {
                Variable amount =
                        model.newVariable("x" + d + "to" + node).lower(0).weight(crossingCost(d, node));
                total.set(amount, 1);
                double maxLoad = assignment.utilisation()[node].value()
                        * problem.nodes().get(node).capacity()
                        / workUnit;
                loads.computeIfAbsent(node, n -> model.newExpression("n" + n).upper(maxLoad * (1 + BOUND_TOLERANCE)))
                        .set(amount, 1);
            }
        }
        Optimisation.Result result = model.minimise();
        if (!result.getState().isOptimal()) {
            throw new ArithmeticException(
                    "no optimal solution of the linear program of least crossing cost: it ended in state "
                            + result.getState());
        }
        double[][] flow = new double[demands.size()][];
        for (int d = 0, column = 0; d < flow.length; d++) {
            flow[d] = new double[demands.get(d).nodes().length];
            for (int i = 0; i < flow[d].length; i++, column++) {
                flow[d][i] = Math.max(0, result.doubleValue(column)) * workUnit;
            }
        }
        return flow;
    }
}
