package pepperdock.plan.background;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import pepperdock.config.PlanConfig;
import pepperdock.core.Clock;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.plan.Plan;
import pepperdock.plan.Planner;
import pepperdock.plan.Problem;
import pepperdock.plan.ReplanPolicy;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.ReplicaLayout;

/**
 * Plans beside the loop: {@link ReplanPolicy} decides on the loop's thread when and from what, the thread "planner" solves, and the
 * result is passed to the core on the loop's thread. Until then the core goes on with equal shares, or with the last ones.
 */
public final class PlannerThread {

    private static final System.Logger LOG = System.getLogger("pepperdock.plan");
    private static final double CHECK_INTERVAL_S = 0.1;
    /** Part of the greatest utilisation that is within the error of measured work and speeds. */
    private static final double SLACK = 0.1;
    /** Ranges or nodes that a line of the log names. */
    private static final int MAX_NAMED = 8;

    private final Clock loop;
    private final Gatherer core;
    private final ReplanPolicy replanPolicy;
    private final Consumer<Runnable> solver;
    private final Consumer<Runnable> back;

    /** {@code solver} runs a task apart from the loop, {@code back} one on it; the same thread serves for simulated time. */
    public PlannerThread(
            PlanConfig config,
            ReplicaLayout layout,
            Clock loop,
            Gatherer core,
            Consumer<Runnable> solver,
            Consumer<Runnable> back) {
        this.loop = loop;
        this.core = core;
        this.solver = solver;
        this.back = back;
        replanPolicy = new ReplanPolicy(
                new ReplanPolicy.ReplicaRing(layout.shards(), layout.cells(), layout.replicasPerShard()),
                config.everyS(),
                config.leastChange(),
                config.shareLeast());
    }

    /** A daemon thread that solves one problem at a time. */
    public static Consumer<Runnable> thread() {
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "planner");
            thread.setDaemon(true);
            return thread;
        });
        return executor::execute;
    }

    /** Begins to plan; on the loop's thread, before the first endpoint list comes. */
    public void start() {
        core.addEndpointListListener(hosts -> {
            replanPolicy.onEndpointList(
                    hosts.stream().map(PlannerThread::member).toList());
            planIfDue();
        });
        core.setServedAttemptListener((attempt, spentS) ->
                replanPolicy.onPartServed(attempt.worker(), attempt.part().shard(), spentS));
        scheduleCheck();
    }

    private static ReplanPolicy.Member member(WorkerEndpoint endpoint) {
        return new ReplanPolicy.Member(endpoint.id(), endpoint.cell(), endpoint.state() == EndpointState.HEALTHY);
    }

    private void scheduleCheck() {
        loop.after(CHECK_INTERVAL_S, () -> {
            planIfDue();
            scheduleCheck();
        });
    }

    private void planIfDue() {
        ReplanPolicy.Job job = replanPolicy.nextJob(loop.now());
        if (job != null) {
            solver.accept(() -> {
                Plan plan = solve(job);
                back.accept(() -> putInUse(job, plan));
            });
        }
    }

    private static Plan solve(ReplanPolicy.Job job) {
        try {
            return Planner.plan(job.problem(), SLACK);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "solving failed", e);
            return null;
        }
    }

    private void putInUse(ReplanPolicy.Job job, Plan plan) {
        ReplanPolicy.RangeShares shares = replanPolicy.onPlan(job, plan);
        if (shares == null) {
            LOG.log(System.Logger.Level.INFO, "plan thrown away, the list has changed meanwhile");
            planIfDue();
        } else {
            boolean solved = plan != null && plan.solved();
            LOG.log(solved ? System.Logger.Level.INFO : System.Logger.Level.WARNING, outcome(job.problem(), plan));
            core.updatePlannedShares(shares::of);
        }
    }

    /**
     * The line of the log for a plan that is in use from now on, or for why there is none.
     *
     * @param plan null where solving failed
     */
    static String outcome(Problem problem, Plan plan) {
        int nodes = problem.nodes().size();
        if (plan != null && plan.solved()) {
            return "new plan for " + nodes + " nodes";
        }
        String why = "solving failed";
        if (plan != null) {
            List<Integer> ranges = plan.conflict().work().stream()
                    .map(work -> problem.ranges().get(work.range()).number())
                    .distinct()
                    .sorted()
                    .toList();
            List<String> full = plan.conflict().nodes().stream()
                    .map(node -> problem.nodes().get(node).name())
                    .toList();
            why = "range" + (ranges.size() == 1 ? " " : "s ") + named(ranges)
                    + (full.isEmpty() ? ": no holder in service" : ": more work than " + named(full) + " can do");
        }
        return "no plan for " + nodes + " nodes, shares are equal: " + why;
    }

    private static String named(List<?> all) {
        String first = all.stream().limit(MAX_NAMED).map(Object::toString).collect(Collectors.joining(", "));
        return all.size() <= MAX_NAMED ? first : first + " and " + (all.size() - MAX_NAMED) + " more";
    }
}
