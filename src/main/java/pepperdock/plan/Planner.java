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
import pepperdock.plan.Levels.Demand;
import pepperdock.plan.Levels.Spread;
import pepperdock.plan.Problem.Range;

/** From a problem to its plan or its conflict. Throws ArithmeticException where the linear program itself fails. */
public final class Planner {

    /** Room for rounding where loads found by one program bound the next, in shares of a node's load. */
    private static final double ROUNDING = 1e-9;

    private final Problem problem;
    private final Set<Work> some;
    private final BigInteger rates;
    /** For each range and zone the place of its demand; -1 where there is no work, or nobody to do it. */
    private final int[][] demandOf;
    private final List<Demand> demands = new ArrayList<>();
    private final List<Integer> zoneOf = new ArrayList<>();

    /** Reckons with these pieces of work only; null for all. */
    private Planner(Problem problem, Collection<Work> some) {
        this.problem = problem;
        this.some = some == null ? null : new HashSet<>(some);
        rates = BigInteger.valueOf(Arrays.stream(problem.rates()).sum());
        demandOf = new int[problem.ranges().size()][problem.zones().size()];
    }

    public static Plan plan(Problem problem) {
        Conflict conflict = conflict(problem, null);
        for (int n = 0; conflict == null && problem.spareNode() && n < problem.nodes().size(); n++) {
            if (problem.nodes().get(n).inService()) {
                conflict = conflict(problem.without(n), problem.nodes().get(n).name());
            }
        }
        return conflict != null ? Plan.none(conflict) : new Planner(problem, null).shares();
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
        // What the fullest set alone may take is too much by itself; only that need be searched.
        List<Work> kept = smallest(problem, all.stream().filter(w -> Arrays.stream(
                whole.demands.get(whole.demandOf[w.range()][w.zone()]).nodes()).allMatch(spread.first()::get)).toList());
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

    /** Takes away ever smaller pieces as long as the rest is too much; of what is left, none can be spared. */
    private static List<Work> smallest(Problem problem, List<Work> all) {
        List<Work> kept = new ArrayList<>(all);
        for (int piece = Integer.highestOneBit(kept.size()); piece >= 1; piece /= 2) {
            for (int from = 0; from < kept.size();) {
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

    /** Demands merged by zone and open holders; work is in units of the rates' sum, to stay whole. */
    private Spread spread() {
        Map<List<Integer>, Integer> places = new LinkedHashMap<>();
        List<Long> work = new ArrayList<>();
        List<int[]> holders = new ArrayList<>();
        for (int r = 0; r < problem.ranges().size(); r++) {
            Range range = problem.ranges().get(r);
            for (int z = 0; z < problem.zones().size(); z++) {
                int zone = z;
                int[] open = range.holders().stream().filter(n -> problem.open(zone, n)).mapToInt(n -> n).sorted().toArray();
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
        return Levels.spread(problem.nodes().stream().mapToLong(Problem.Node::capacity).toArray(), demands);
    }

    private Ratio unscaled(Ratio scaled) {
        return new Ratio(scaled.work(), scaled.capacity().multiply(rates));
    }

    private Plan shares() {
        Spread spread = spread();
        double[][] flow = nearest(spread);
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
                crossings += flow[d][i] / rates.doubleValue() / 1e6 * cost(d, demands.get(d).nodes()[i]);
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

    /** Among the spreads with these loads one of least crossings; the given one where all cost alike. */
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
                double most = spread.utilisation()[node].value() * problem.nodes().get(node).capacity() / unit;
                loads.computeIfAbsent(node, n -> model.newExpression("n" + n).upper(most * (1 + ROUNDING))).set(x, 1);
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
