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
import pepperdock.plan.UtilisationLevels.Demand;
import pepperdock.plan.UtilisationLevels.Spread;

/**
 * Solves a problem: finds its plan or its conflict. An {@link ArithmeticException} means that the linear program itself failed.
 * One planner is used by one thread.
 */
public final class Planner {

    /** Tolerance where loads found by one program bound the next, relative to a node's load. */
    private static final double ROUNDING = 1e-9;

    /** Tolerance of the check of a flow, relative. */
    private static final double CHECK_TOLERANCE = 1e-7;

    private final Problem problem;
    private final Set<Work> some;
    private final BigInteger rates;
    /** For each range and zone the index of its demand; -1 where there is no work, or no node that may take it. */
    private final int[][] demandOf;

    private final List<Demand> demands = new ArrayList<>();
    private final List<Integer> zoneOf = new ArrayList<>();

    /** For these pieces of work only; null for all. */
    private Planner(Problem problem, Collection<Work> some) {
        this.problem = problem;
        this.some = some == null ? null : new HashSet<>(some);
        rates = BigInteger.valueOf(Arrays.stream(problem.rates()).sum());
        demandOf = new int[problem.ranges().size()][problem.zones().size()];
    }

    /** The plan of least utilisations, without slack. */
    public static Plan plan(Problem problem) {
        return plan(problem, 0);
    }

    /**
     * A plan whose shares may load each node more than necessary, by {@code slack} of the greatest utilisation, to stay closer to
     * equal ones: in a ring, levelling the last digit of measured work moves shares all round it. The utilisations reported are
     * bounds without the slack.
     */
    public static Plan plan(Problem problem, double slack) {
        Conflict conflict = conflict(problem, null);
        for (int n = 0;
                conflict == null && problem.spareNode() && n < problem.nodes().size();
                n++) {
            if (problem.nodes().get(n).inService()) {
                conflict = conflict(problem.without(n), problem.nodes().get(n).name());
            }
        }
        return conflict != null ? Plan.none(conflict) : new Planner(problem, null).shares(slack);
    }

    // ---- Conflicts ------------------------------------------------------------

    private static Conflict conflict(Problem problem, String away) {
        List<Work> all = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            for (int z = 0; z < problem.zones().size(); z++) {
                int zone = z;
                if (problem.ranges().get(r).work() > 0 && problem.rates()[z] > 0) {
                    all.add(new Work(r, z));
                    if (problem.ranges().get(r).holders().stream().noneMatch(n -> problem.open(zone, n))) {
                        return new Conflict(away, List.of(new Work(r, z)), List.of(), null);
                    }
                }
            }
        }
        Planner whole = new Planner(problem, all);
        Spread spread = whole.spread();
        if (!whole.tooMuch(spread)) {
            return null;
        }
        // The work that only the fullest set may take exceeds it by itself; only that needs to be searched.
        List<Work> kept = smallest(
                problem,
                all.stream()
                        .filter(w -> Arrays.stream(whole.demands
                                        .get(whole.demandOf[w.range()][w.zone()])
                                        .nodes())
                                .allMatch(spread.first()::get))
                        .toList());
        Planner least = new Planner(problem, kept);
        Spread of = least.spread();
        return new Conflict(away, kept, of.first().stream().boxed().toList(), least.greatest(of));
    }

    private Ratio greatest(Spread spread) {
        return unscaled(spread.utilisation()[spread.first().nextSetBit(0)]);
    }

    private boolean tooMuch(Spread spread) {
        return !spread.first().isEmpty() && greatest(spread).aboveOne();
    }

    private static boolean tooMuch(Problem problem, List<Work> some) {
        Planner planner = new Planner(problem, some);
        return planner.tooMuch(planner.spread());
    }

    /** Delta debugging: drops ever smaller pieces as long as the rest is too much; of what is left, none can be dropped. */
    private static List<Work> smallest(Problem problem, List<Work> all) {
        List<Work> kept = new ArrayList<>(all);
        for (int piece = Integer.highestOneBit(kept.size()); piece >= 1; piece /= 2) {
            for (int from = 0; from < kept.size(); ) {
                List<Work> rest = new ArrayList<>(kept.subList(0, from));
                rest.addAll(kept.subList(Math.min(kept.size(), from + piece), kept.size()));
                if (!rest.isEmpty() && tooMuch(problem, rest)) {
                    kept = rest;
                } else {
                    from += piece;
                }
            }
        }
        return kept;
    }

    // ---- Shares ------------------------------------------------------------

    /** Levels the demands, merged by zone and nodes in service; work is multiplied by the rates, to stay an integer. */
    private Spread spread() {
        Map<List<Integer>, Integer> places = new LinkedHashMap<>();
        List<Long> work = new ArrayList<>();
        List<int[]> holders = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            Range range = problem.ranges().get(r);
            for (int z = 0; z < problem.zones().size(); z++) {
                int zone = z;
                int[] open = range.holders().stream()
                        .filter(n -> problem.open(zone, n))
                        .mapToInt(n -> n)
                        .sorted()
                        .toArray();
                long scaled = Math.multiplyExact(range.work(), problem.rates()[z]);
                demandOf[r][z] = -1;
                if (scaled > 0 && open.length > 0 && (some == null || some.contains(new Work(r, z)))) {
                    List<Integer> key = new ArrayList<>(List.of(z));
                    Arrays.stream(open).forEach(key::add);
                    Integer place = places.putIfAbsent(key, work.size());
                    if (place == null) {
                        demandOf[r][z] = work.size();
                        work.add(scaled);
                        holders.add(open);
                        zoneOf.add(z);
                    } else {
                        demandOf[r][z] = place;
                        work.set(place, Math.addExact(work.get(place), scaled));
                    }
                }
            }
        }
        for (int d = 0; d < work.size(); d++) {
            demands.add(new Demand(work.get(d), holders.get(d)));
        }
        return UtilisationLevels.spread(
                problem.nodes().stream().mapToLong(Problem.Node::capacity).toArray(), demands);
    }

    private Ratio unscaled(Ratio scaled) {
        return new Ratio(scaled.work(), scaled.capacity().multiply(rates));
    }

    private Plan shares(double slack) {
        Spread spread = spread();
        double[][] flow = evenest(spread, nearest(spread), slack);
        List<Ratio> utilisation = new ArrayList<>();
        Ratio greatest = Ratio.ZERO;
        for (int n = 0; n < problem.nodes().size(); n++) {
            Ratio ratio = problem.nodes().get(n).inService() ? unscaled(spread.utilisation()[n]) : null;
            utilisation.add(ratio);
            greatest = ratio != null && ratio.compareTo(greatest) > 0 ? ratio : greatest;
        }
        double crossings = 0;
        for (int d = 0; d < flow.length; d++) {
            for (int i = 0; i < flow[d].length; i++) {
                crossings += flow[d][i]
                        / rates.doubleValue()
                        / 1e6
                        * cost(d, demands.get(d).nodes()[i]);
            }
        }
        List<List<double[]>> shares = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            List<double[]> zones = new ArrayList<>();
            for (int z = 0; z < problem.zones().size(); z++) {
                zones.add(share(r, z, flow));
            }
            shares.add(zones);
        }
        return new Plan(shares, utilisation, greatest, crossings, null);
    }

    private double[] share(int r, int zone, double[][] flow) {
        List<Integer> holders = problem.ranges().get(r).holders();
        double[] share = new double[holders.size()];
        int d = demandOf[r][zone];
        for (int i = 0; i < share.length; i++) {
            if (d >= 0) {
                int at = Arrays.binarySearch(demands.get(d).nodes(), holders.get(i));
                share[i] = at < 0 ? 0 : flow[d][at];
            } else {
                share[i] = problem.open(zone, holders.get(i)) ? 1 : 0;
            }
        }
        double sum = Arrays.stream(share).sum();
        return sum == 0 ? share : Arrays.stream(share).map(s -> s / sum).toArray();
    }

    private double cost(int demand, int node) {
        return problem.crossing()[zoneOf.get(demand)][problem.nodes().get(node).zone()];
    }

    /**
     * Among the spreads with these loads and crossings one that moves least work away from equal shares: a linear program
     * otherwise ends at a vertex, where ranges go whole to one replica for no reason. The variables are what is moved:
     * {@code more} and {@code less} than the equal share.
     */
    private double[][] evenest(Spread spread, double[][] near, double slack) {
        double room = spread.first().isEmpty()
                ? 0
                : slack * spread.utilisation()[spread.first().nextSetBit(0)].value();
        double unit = demands.stream().mapToDouble(Demand::work).max().orElse(1);
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Expression crossings = model.newExpression("crossings");
        double most = 0;
        double equalCrossings = 0;
        Map<Integer, Expression> loads = new HashMap<>();
        Map<Integer, Double> equalLoads = new HashMap<>();
        for (int d = 0; d < demands.size(); d++) {
            int[] of = demands.get(d).nodes();
            double equal = demands.get(d).work() / unit / of.length;
            Expression all = model.newExpression("d" + d).level(0);
            for (int i = 0; i < of.length; i++) {
                Variable more =
                        model.newVariable("more" + d + "to" + of[i]).lower(0).weight(1);
                Variable less = model.newVariable("less" + d + "to" + of[i])
                        .lower(0)
                        .upper(equal)
                        .weight(1);
                all.set(more, 1).set(less, -1);
                loads.computeIfAbsent(of[i], n -> model.newExpression("n" + n))
                        .set(more, 1)
                        .set(less, -1);
                equalLoads.merge(of[i], equal, Double::sum);
                crossings.set(more, cost(d, of[i])).set(less, -cost(d, of[i]));
                most += near[d][i] / unit * cost(d, of[i]);
                equalCrossings += equal * cost(d, of[i]);
            }
        }
        loads.forEach((node, load) -> load.upper((spread.utilisation()[node].value() + room)
                        * problem.nodes().get(node).capacity()
                        / unit
                        * (1 + ROUNDING)
                - equalLoads.get(node)));
        crossings.upper(most * (1 + ROUNDING) + ROUNDING - equalCrossings);
        Optimisation.Result result = model.minimise();
        if (!result.getState().isOptimal()) {
            return near;
        }
        double[][] flow = new double[demands.size()][];
        for (int d = 0, x = 0; d < flow.length; d++) {
            flow[d] = new double[demands.get(d).nodes().length];
            for (int i = 0; i < flow[d].length; i++, x += 2) {
                flow[d][i] = Math.max(
                        0,
                        (double) demands.get(d).work() / flow[d].length
                                + (result.doubleValue(x) - result.doubleValue(x + 1)) * unit);
            }
        }
        return keeps(flow, spread, room) ? flow : near;
    }

    /**
     * Whether a flow carries all work and keeps the nodes' bounds, computed anew: the solver may call a point optimal that
     * exceeds a bound by a sixth.
     */
    private boolean keeps(double[][] flow, Spread spread, double room) {
        double[] load = new double[problem.nodes().size()];
        for (int d = 0; d < flow.length; d++) {
            double sum = Arrays.stream(flow[d]).sum();
            if (Math.abs(sum - demands.get(d).work())
                    > CHECK_TOLERANCE * demands.get(d).work()) {
                return false;
            }
            for (int i = 0; i < flow[d].length; i++) {
                load[demands.get(d).nodes()[i]] += flow[d][i];
            }
        }
        for (int n = 0; n < load.length; n++) {
            double bound = (spread.utilisation()[n].value() + room)
                    * problem.nodes().get(n).capacity();
            if (load[n] > bound * (1 + CHECK_TOLERANCE) + CHECK_TOLERANCE) {
                return false;
            }
        }
        return true;
    }

    /** Among the spreads with these loads one of least crossings; the given one where all cost the same. */
    private double[][] nearest(Spread spread) {
        boolean alike = true;
        for (int d = 0; d < demands.size(); d++) {
            for (int node : demands.get(d).nodes()) {
                alike &= cost(d, node) == cost(d, demands.get(d).nodes()[0]);
            }
        }
        if (alike) {
            return spread.flow();
        }
        double unit = demands.stream().mapToDouble(Demand::work).max().orElse(1);
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Map<Integer, Expression> loads = new HashMap<>();
        for (int d = 0; d < demands.size(); d++) {
            Expression all = model.newExpression("d" + d).level(demands.get(d).work() / unit);
            for (int node : demands.get(d).nodes()) {
                Variable x = model.newVariable("x" + d + "to" + node).lower(0).weight(cost(d, node));
                all.set(x, 1);
                double most = spread.utilisation()[node].value()
                        * problem.nodes().get(node).capacity()
                        / unit;
                loads.computeIfAbsent(node, n -> model.newExpression("n" + n).upper(most * (1 + ROUNDING)))
                        .set(x, 1);
            }
        }
        Optimisation.Result result = model.minimise();
        if (!result.getState().isOptimal()) {
            throw new ArithmeticException("the program for crossings ended " + result.getState());
        }
        double[][] flow = new double[demands.size()][];
        for (int d = 0, x = 0; d < flow.length; d++) {
            flow[d] = new double[demands.get(d).nodes().length];
            for (int i = 0; i < flow[d].length; i++, x++) {
                flow[d][i] = Math.max(0, result.doubleValue(x)) * unit;
            }
        }
        return flow;
    }
}
