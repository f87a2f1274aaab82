import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import pepperdock.config.PlanConfig;
import pepperdock.simulation.SimulatedFleet;
import pepperdock.simulation.SimulatedFleet.Day;
import pepperdock.simulation.SimulatedFleet.Result;

/**
 * Compares planned shares with equal shares in the simulator, paired by seed. Prints the mean service of both, the mean
 * difference with its 95 % interval (normal), latencies, and the utilization of the fullest node. A difference whose
 * interval contains 0 is marked as noise.
 * {@code java -cp target/pepperdock.jar tools/PlannedSharesComparison.java SEEDS SECONDS NODES[,NODES...] LOAD[,LOAD...]
 * [SHARE_LEAST]}
 */
public final class PlannedSharesComparison {

    /** Keeps a strong reference: the JDK discards an unreferenced logger together with its level. */
    private static final Logger QUIET = Logger.getLogger("pepperdock");

    private record Mix(String name, double[] speeds, double slowShare, double slowBy) { }

    private static final Mix[] MIXES = {
        new Mix("alike", new double[] {1, 1}, 0, 1),
        new Mix("0.7-1.1", new double[] {0.7, 1.1}, 0, 1),
        new Mix("a tenth 2x slow", new double[] {0.7, 1.1}, 0.1, 2),
    };

    public static void main(String[] args) {
        QUIET.setLevel(Level.OFF);
        double minimumShare = args.length > 4 ? Double.parseDouble(args[4]) : 0.1;
        int seeds = Integer.parseInt(args[0]);
        double seconds = Double.parseDouble(args[1]);
        System.out.printf("%6s %-16s %5s %9s %9s %18s %15s %15s %13s %6s%n", "nodes", "speeds", "load", "equal", "planned",
                "difference", "median s", "p99 s", "fullest", "q");
        for (String size : args[2].split(",")) {
            int nodes = Integer.parseInt(size);
            for (Mix mix : MIXES) {
                for (String load : args[3].split(",")) {
                    row(nodes, mix, Double.parseDouble(load), seeds, seconds, minimumShare);
                }
            }
        }
    }

    private static void row(int nodes, Mix mix, double load, int seeds, double seconds, double minimumShare) {
        Result[][] all = IntStream.range(0, 2 * seeds).parallel().mapToObj(i -> SimulatedFleet.play(new Day(nodes, nodes < 50 ? 2 : 4, load,
                mix.speeds(), mix.slowShare(), mix.slowBy(), seconds, 100 + i / 2,
                i % 2 == 0 ? null : new PlanConfig(5, 0.15, minimumShare))))
                .map(r -> new Result[] {r}).toArray(Result[][]::new);
        double[] mean = new double[9];
        double[] difference = new double[seeds];
        for (int i = 0; i < seeds; i++) {
            Result equal = all[2 * i][0];
            Result planned = all[2 * i + 1][0];
            difference[i] = planned.service() - equal.service();
            double[] values = {equal.service(), planned.service(), equal.median(), planned.median(),
                equal.p99(), planned.p99(), equal.utilisation(), planned.utilisation(), equal.queries()};
            for (int k = 0; k < values.length; k++) {
                mean[k] += values[k] / seeds;
            }
        }
        double d = java.util.Arrays.stream(difference).average().orElseThrow();
        double variance = java.util.Arrays.stream(difference).map(x -> (x - d) * (x - d)).sum() / Math.max(1, seeds - 1);
        double halfInterval = 1.96 * Math.sqrt(variance / seeds);
        System.out.printf(Locale.ROOT, "%6d %-16s %5.2f %9.4f %9.4f %+8.4f +-%6.4f%s %6.3f %7.3f %6.3f %7.3f %6.3f %5.3f %6.0f%n",
                nodes, mix.name(), load, mean[0], mean[1], d, halfInterval,
                Math.abs(d) <= halfInterval ? " noise" : d > 0 ? " BETTER" : " WORSE",
                mean[2], mean[3], mean[4], mean[5], mean[6], mean[7], mean[8]);
    }
}
