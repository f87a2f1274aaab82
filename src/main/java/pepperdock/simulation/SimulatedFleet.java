package pepperdock.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pepperdock.config.PlanConfig;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.NoOpBackend;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.core.WorkerEndpoint;
import pepperdock.plan.background.PlannerThread;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.ReplicaLayout;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.SchedulerLimits;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Simulates a day of a fleet: worker nodes in a ring, gatherers, and queries of three classes like those of the
 * platform.
 */
public final class SimulatedFleet {

    /**
     * The parameters of a simulated day.
     *
     * @param load offered work, including the cost of calls, divided by the capacity of all nodes
     * @param speeds least and greatest speed of a node, relative to the usual speed of 1; drawn uniformly between them
     * @param slowShare share of the nodes that are additionally {@code slowBy} times slower all day
     * @param plan the settings of the planner, or null for equal shares without a planner
     */
    public record Day(
            int nodes,
            int gatherers,
            double load,
            double[] speeds,
            double slowShare,
            double slowBy,
            double lengthS,
            long seed,
            PlanConfig plan) {}

    /**
     * The result of a day: the value served in time divided by the value requested, latencies of answers in seconds,
     * and the utilisation of the busiest node.
     */
    public record Result(double service, double median, double p99, double utilisation, int queries, int unanswered) {}

    private static final int CORES = 2;
    private static final double CALL_S = 0.054;
    private static final int BATCH = 8;
    private static final int RANGES_PER_NODE = 3;
    private static final int SEARCH_PARTS = 36;
    private static final double NETWORK_DELAY_S = 0.0003;
    private static final double WARM_UP_S = 10;
    private static final double[] SHARE = {0.4, 0.2, 0.4};
    private static final double[] PART_S = {0.125, 0.14, 0.1};
    private static final double WORK_VARIATION = 0.35;
    private static final List<QueryClass> CLASSES = List.of(
            new QueryClass(1.5, 3, 3, 0.1, RetrySafety.IDEMPOTENT, 0, 0.6, 1, 0.95, 0),
            new QueryClass(2.5, 6, 5, 0.3, RetrySafety.IDEMPOTENT, 0, 1, 1, 0.9, 0),
            new QueryClass(1.5, 3, 1, 0, RetrySafety.IDEMPOTENCY_KEY, 1.5, 1, 1, 0.9, 0));

    private final Day day;
    private final ManualClock clock = new ManualClock(1000);
    private final Map<String, WorkerNode> nodes = new HashMap<>();
    private final List<Gatherer> gatherers = new ArrayList<>();
    private final SplittableRandom arrivals;
    private final SplittableRandom shapes;
    private final SplittableRandom work;
    private final int ranges;
    private final List<Double> latencies = new ArrayList<>();
    private double requestedValue;
    private double servedValue;
    private int queries;
    private int unanswered;
    private long nextId;

    private SimulatedFleet(Day day) {
        this.day = day;
        SplittableRandom root = new SplittableRandom(day.seed());
        SplittableRandom build = root.split();
        arrivals = root.split();
        shapes = root.split();
        work = root.split();
        ranges = RANGES_PER_NODE * day.nodes();
        List<WorkerEndpoint> hosts = new ArrayList<>();
        double capacity = 0;
        for (int n = 0; n < day.nodes(); n++) {
            double speed = day.speeds()[0] + (day.speeds()[1] - day.speeds()[0]) * build.nextDouble();
            speed /= build.nextDouble() < day.slowShare() ? day.slowBy() : 1;
            capacity += CORES * speed;
            WorkerNode node = new WorkerNode(
                    "n" + n, new WorkerNode.Kind(CORES, speed, 17 * CORES, CALL_S, 0.001, 1300, 15, 0.3, 10), clock);
            nodes.put(node.id, node);
            hosts.add(new WorkerEndpoint(node.id, "", 0, 0, n, EndpointState.HEALTHY, 1, 0));
        }
        int parts = Math.min(SEARCH_PARTS, ranges);
        double rate = day.load()
                * capacity
                / (SHARE[0] * queryS(0, parts) + SHARE[1] * queryS(1, reportParts()) + SHARE[2] * queryS(2, 1));
        int maxHeld = (int) Math.max(
                3 * (1 + parts), 2 * rate / day.gatherers() * (1 + SHARE[0] * parts + SHARE[1] * reportParts()));
        SchedulerSettings settings = new SchedulerSettings(
                day.gatherers(),
                0,
                0.005,
                true,
                CLASSES,
                List.of(),
                1,
                List.of(),
                new ReplicaLayout(ranges, day.nodes(), 2, BATCH),
                new SchedulerLimits(true, true, false, 4, maxHeld, 1),
                new ProtocolRules(0.02, 0.5, 0.16, 14, 2, 1, 0, 0, 0, 10));
        for (int g = 0; g < day.gatherers(); g++) {
            Gatherer core = new Gatherer(settings, day.seed() * 31 + g, clock, new NodeConnections(g), () -> {});
            connections.get(g).core = core;
            gatherers.add(core);
            if (day.plan() != null) {
                new PlannerThread(day.plan(), settings.layout(), clock, core, Runnable::run, Runnable::run).start();
            }
            core.onEndpointList(EndpointListKind.COMPLETE, hosts);
        }
        scheduleArrival(rate);
    }

    private final List<NodeConnections> connections = new ArrayList<>();

    private int reportParts() {
        return Math.min(7, ranges);
    }

    /**
     * Returns the work of a query with that many parts. Two neighbouring nodes hold each range, so about one call is
     * made for every {@code RANGES_PER_NODE} parts.
     */
    private double queryS(int queryClass, int parts) {
        return parts * PART_S[queryClass]
                + CALL_S * Math.min(parts, Math.min(day.nodes(), parts / (double) RANGES_PER_NODE + 2));
    }

    /** Simulates a day; equal days give equal results. */
    public static Result play(Day day) {
        SimulatedFleet fleet = new SimulatedFleet(day);
        fleet.clock.advance(day.lengthS() + 10);
        double greatestUtilisation = fleet.nodes.values().stream()
                .mapToDouble(n -> n.coreSeconds() / CORES / day.lengthS())
                .max()
                .orElse(0);
        double[] sorted = fleet.latencies.stream().mapToDouble(x -> x).sorted().toArray();
        return new Result(
                fleet.servedValue / Math.max(1e-9, fleet.requestedValue),
                quantile(sorted, 0.5),
                quantile(sorted, 0.99),
                greatestUtilisation,
                fleet.queries,
                fleet.unanswered);
    }

    private static double quantile(double[] sorted, double share) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }

    /** Schedules the next arrival. Open loop: arrivals do not depend on how earlier queries end. */
    private void scheduleArrival(double rate) {
        clock.after(-Math.log(1 - arrivals.nextDouble()) / rate, () -> {
            if (clock.now() < 1000 + day.lengthS()) {
                submitQuery(gatherers.get(arrivals.nextInt(gatherers.size())));
                scheduleArrival(rate);
            }
        });
    }

    private void submitQuery(Gatherer core) {
        double draw = shapes.nextDouble();
        int queryClass = draw < SHARE[0] ? 0 : draw < SHARE[0] + SHARE[1] ? 1 : 2;
        int count = queryClass == 0 ? Math.min(SEARCH_PARTS, ranges) : queryClass == 1 ? reportParts() : 1;
        List<QueryRequest.RequestedPart> parts = requestedParts(queryClass, count);
        QueryClass c = CLASSES.get(queryClass);
        double submittedAt = clock.now();
        boolean counted = submittedAt > 1000 + WARM_UP_S;
        if (counted) {
            queries++;
            requestedValue += c.priorityWeight() * count;
        }
        String id = "q" + nextId++;
        core.submit(
                new QueryRequest(id, queryClass, queryClass == 2 ? id : "", c.deadlineS(), parts, new byte[0], null),
                new QueryListener() {
                    @Override
                    public void onAnswer(Query q, boolean whole) {
                        if (counted) {
                            double weightAnswered = q.parts().stream()
                                    .filter(p -> p.value() != null)
                                    .mapToDouble(p -> p.weight())
                                    .sum();
                            double latencyS = clock.now() - submittedAt;
                            latencies.add(latencyS);
                            servedValue += c.priorityWeight()
                                    * count
                                    * (latencyS <= c.latencyObjectiveS() ? 1 : c.lateAnswerWeight())
                                    * (whole ? 1 : c.partialAnswerWeight() * weightAnswered);
                        }
                    }

                    @Override
                    public void onRejected(Query q, double pauseS) {
                        unanswered += counted ? 1 : 0;
                    }

                    @Override
                    public void onFailed(Query q, boolean overdue) {
                        unanswered += counted ? 1 : 0;
                    }
                });
    }

    /** Returns adjacent ranges from a randomly drawn one; in the first class the weights decrease along the ranges. */
    private List<QueryRequest.RequestedPart> requestedParts(int queryClass, int count) {
        int first = shapes.nextInt(ranges);
        double[] weights = new double[count];
        for (int i = 0; i < count; i++) {
            weights[i] = queryClass == 0 ? 1 / Math.pow(1 + i, 1.2) : 1;
        }
        double sum = Arrays.stream(weights).sum();
        List<QueryRequest.RequestedPart> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(new QueryRequest.RequestedPart((first + i) % ranges, weights[i] / sum));
        }
        return parts;
    }

    /** The connections of one gatherer to the nodes. */
    private final class NodeConnections extends NoOpBackend {
        private final int gatherer;
        private Gatherer core;

        NodeConnections(int gatherer) {
            this.gatherer = gatherer;
            connections.add(this);
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            double partsS = 0;
            for (Attempt a : call) {
                double sigma = Math.sqrt(Math.log(1 + WORK_VARIATION * WORK_VARIATION));
                partsS += PART_S[a.part().query().request().queryClass()]
                        * Math.exp(sigma * normal() - sigma * sigma / 2);
            }
            double workS = partsS;
            clock.after(
                    NETWORK_DELAY_S,
                    () -> nodes.get(worker)
                            .call(
                                    gatherer,
                                    workS,
                                    outcome -> clock.after(
                                            NETWORK_DELAY_S,
                                            () -> call.forEach(a -> core.onAttemptEnded(
                                                    a,
                                                    outcome,
                                                    LoadReport.NONE,
                                                    outcome == AttemptOutcome.OK ? new byte[1] : null)))));
        }

        private double normal() {
            return work.nextGaussian();
        }
    }
}
