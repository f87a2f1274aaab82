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
 * Computes plans without blocking the loop. {@link ReplanPolicy} decides on the loop's thread when to plan and for
 * which problem, the thread "planner" solves the problem, and the result is passed to the core on the loop's thread.
 * Until then, the core uses equal shares or those of the last plan.
 */
public final class PlannerThread {

    private static final System.Logger LOG = System.getLogger("pepperdock.plan");
    private static final double CHECK_INTERVAL_S = 0.1;
    /** Fraction of the greatest utilisation that lies within the measurement error of work and speeds. */
    private static final double SLACK = 0.1;
    /** Maximum number of ranges or of nodes that a log line names. */
    private static final int MAX_NAMED = 8;

    private final Clock loop;
    private final Gatherer core;
    private final ReplanPolicy replanPolicy;
    private final Consumer<Runnable> solverExecutor;
    private final Consumer<Runnable> loopExecutor;

    /**
     * Creates a planner that is idle until {@link #start}.
     *
     * @param solverExecutor runs a task outside the loop; in simulated time it may be the loop's own thread
     * @param loopExecutor runs a task on the loop
     */
    public PlannerThread(
            PlanConfig config,
            ReplicaLayout layout,
            Clock loop,
            Gatherer core,
            Consumer<Runnable> solverExecutor,
            Consumer<Runnable> loopExecutor) {
        this.loop = loop;
        this.core = core;
        this.solverExecutor = solverExecutor;
        this.loopExecutor = loopExecutor;
        replanPolicy = new ReplanPolicy(
                new ReplanPolicy.ReplicaRing(layout.shards(), layout.cells(), layout.replicasPerShard()),
                config.everyS(),
                config.leastChange(),
                config.shareLeast());
    }

    /** Returns an executor with one daemon thread, named "planner", which solves one problem at a time. */
    public static Consumer<Runnable> thread() {
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "planner");
            thread.setDaemon(true);
            return thread;
        });
        return executor::execute;
    }

    /** Starts planning. Must be called on the loop's thread, before the first endpoint list arrives. */
    public void start() {
        core.addEndpointListListener(endpoints -> {
            replanPolicy.onEndpointList(
                    endpoints.stream().map(PlannerThread::member).toList());
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
            solverExecutor.accept(() -> {
                Plan plan = solve(job);
                loopExecutor.accept(() -> putInUse(job, plan));
            });
        }
    }

    private static Plan solve(ReplanPolicy.Job job) {
        try {
            return Planner.plan(job.problem(), SLACK);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "the planner failed to solve a problem", e);
            return null;
        }
    }

    private void putInUse(ReplanPolicy.Job job, Plan plan) {
        ReplanPolicy.RangeShares shares = replanPolicy.onPlan(job, plan);
        if (shares == null) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "plan discarded: the endpoint list has changed since the plan was started");
            planIfDue();
        } else {
            boolean solved = plan != null && plan.solved();
            LOG.log(solved ? System.Logger.Level.INFO : System.Logger.Level.WARNING, outcomeLine(job.problem(), plan));
            core.updatePlannedShares(shares::of);
        }
    }

    /**
     * Returns the log line for a plan that is now in use, or for the reason why there is none.
     *
     * @param plan the plan, or null if solving failed
     */
    static String outcomeLine(Problem problem, Plan plan) {
        int nodes = problem.nodes().size();
        if (plan != null && plan.solved()) {
            return "new plan for " + nodes + " nodes";
        }
        String reason = "solving failed";
        if (plan != null) {
            List<Integer> ranges = plan.conflict().work().stream()
                    .map(work -> problem.ranges().get(work.range()).number())
                    .distinct()
                    .sorted()
                    .toList();
            List<String> overloadedNodes = plan.conflict().nodes().stream()
                    .map(node -> problem.nodes().get(node).name())
                    .toList();
            reason = "range" + (ranges.size() == 1 ? " " : "s ") + namesOf(ranges)
                    + (overloadedNodes.isEmpty()
                            ? ": no replica in service"
                            : ": more work than the capacity of " + namesOf(overloadedNodes) + " allows");
        }
        return "no plan for " + nodes + " nodes, shares are equal: " + reason;
    }

    private static String namesOf(List<?> all) {
        String first = all.stream().limit(MAX_NAMED).map(Object::toString).collect(Collectors.joining(", "));
        return all.size() <= MAX_NAMED ? first : first + " and " + (all.size() - MAX_NAMED) + " more";
    }
}
