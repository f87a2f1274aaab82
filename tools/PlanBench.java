import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pepperdock.plan.Plan;
import pepperdock.plan.Planner;
import pepperdock.plan.Problem;

/**
 * Times the planner on rings: nodes have 0.7 to 1.1 times the common speed, two adjacent nodes hold each range, work is
 * skewed. {@code java -cp target/pepperdock.jar tools/PlanBench.java ROUNDS NODES:RANGES[:LOAD] ...}; needs the built
 * jar.
 */
public final class PlanBench {

    private static final long NODE_MICROS = 2_000_000;

    public static void main(String[] args) {
        int rounds = Integer.parseInt(args[0]);
        System.out.printf(Locale.ROOT, "%8s %8s %6s %10s %10s %10s %10s%n", "nodes", "ranges", "load", "median ms", "most ms",
                "live MB", "use");
        for (int a = 1; a < args.length; a++) {
            String[] size = args[a].split(":");
            int nodes = Integer.parseInt(size[0]);
            int ranges = Integer.parseInt(size[1]);
            double load = size.length > 2 ? Double.parseDouble(size[2]) : 0.6;
            double[] elapsedMs = new double[rounds];
            Plan plan = null;
            for (int i = -1; i < rounds; i++) {
                Problem p = ring(nodes, ranges, load, 1000 + i);
                long from = System.nanoTime();
                plan = Planner.plan(p);
                if (i >= 0) {
                    elapsedMs[i] = (System.nanoTime() - from) / 1e6;
                }
            }
            System.gc();
            Runtime r = Runtime.getRuntime();
            java.util.Arrays.sort(elapsedMs);
            System.out.printf(Locale.ROOT, "%8d %8d %6.2f %10.1f %10.1f %10.1f %10s%n", nodes, ranges, load,
                    elapsedMs[rounds / 2], elapsedMs[rounds - 1], (r.totalMemory() - r.freeMemory()) / 1e6,
                    plan.solved() ? String.format(Locale.ROOT, "%.3f", plan.greatest().value())
                            : "none (" + plan.conflict().work().size() + ")");
        }
    }

    private static Problem ring(int nodes, int ranges, double load, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Problem.Node> all = new ArrayList<>();
        long capacity = 0;
        for (int n = 0; n < nodes; n++) {
            long one = (long) (NODE_MICROS * (0.7 + 0.4 * random.nextDouble()));
            capacity += one;
            all.add(new Problem.Node("n" + n, 0, one, true));
        }
        double[] weight = random.doubles(ranges).map(x -> 0.2 + x * x * x * 2).toArray();
        double sum = java.util.Arrays.stream(weight).sum();
        List<Problem.Range> work = new ArrayList<>();
        for (int r = 0; r < ranges; r++) {
            work.add(new Problem.Range(r, (long) (load * capacity * weight[r] / sum), List.of(r % nodes, (r + 1) % nodes)));
        }
        return new Problem(List.of("room"), new double[][] {{0}}, new long[] {1}, all, work, false);
    }
}
