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
import pepperdock.plan.Upkeep;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.ReplicaLayout;

/**
 * Plans beside the loop: {@link Upkeep} says on the loop when and from what, a thread of its own solves, and what comes back
 * is handed to the core on the loop again. While there is no plan the core goes on with equal shares, or with the last ones.
 */
public final class PlannerThread {

    private static final System.Logger LOG = System.getLogger("pepperdock.plan");
    private static final double LOOK_S = 0.1;
    /** Of the greatest utilisation: what measured work and speeds are off by without meaning anything. */
    private static final double SLACK = 0.1;
    /** Ranges or nodes that a line of the log names. */
    private static final int NAMED = 8;

    private final Clock loop;
    private final Gatherer core;
    private final Upkeep upkeep;
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
        upkeep = new Upkeep(
                new Upkeep.Ring(layout.shards(), layout.cells(), layout.replicasPerShard()),
                config.everyS(),
                config.leastChange(),
                config.shareLeast());
    }

    /** A daemon thread that solves one problem at a time. */
    public static Consumer<Runnable> thread() {
        ExecutorService one = Executors.newSingleThreadExecutor(task -> {
            Thread t = new Thread(task, "planner");
            t.setDaemon(true);
            return t;
        });
        return one::execute;
    }

    /** On the loop, before the first list comes. */
    public void start() {
        core.addEndpointListListener(hosts -> {
            upkeep.listed(hosts.stream().map(PlannerThread::member).toList());
            look();
        });
        core.setServedAttemptListener((attempt, spentS) ->
                upkeep.served(attempt.worker(), attempt.part().shard(), spentS));
        again();
    }

    private static Upkeep.Member member(WorkerEndpoint h) {
        return new Upkeep.Member(h.id(), h.cell(), h.state() == EndpointState.HEALTHY);
    }

    private void again() {
        loop.after(LOOK_S, () -> {
            look();
            again();
        });
    }

    private void look() {
        Upkeep.Job job = upkeep.due(loop.now());
        if (job != null) {
            solver.accept(() -> {
                Plan plan = solve(job);
                back.accept(() -> use(job, plan));
            });
        }
    }

    private static Plan solve(Upkeep.Job job) {
        try {
            return Planner.plan(job.problem(), SLACK);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "solving failed", e);
            return null;
        }
    }

    private void use(Upkeep.Job job, Plan plan) {
        Upkeep.Shares shares = upkeep.solved(job, plan);
        if (shares == null) {
            LOG.log(System.Logger.Level.INFO, "plan thrown away, the list has changed meanwhile");
            look();
        } else {
            boolean solved = plan != null && plan.solved();
            LOG.log(solved ? System.Logger.Level.INFO : System.Logger.Level.WARNING, outcome(job.problem(), plan));
            core.updatePlannedShares(shares::of);
        }
    }

    /**
     * What operators read of a plan that is in use from now on, or of why there is none: logged alike, a fleet that can't be
     * planned for looked like one that was. {@code plan} is null where solving failed.
     */
    static String outcome(Problem problem, Plan plan) {
        int nodes = problem.nodes().size();
        if (plan != null && plan.solved()) {
            return "new plan for " + nodes + " nodes";
        }
        String why = "solving failed";
        if (plan != null) {
            List<Integer> ranges = plan.conflict().work().stream()
                    .map(w -> problem.ranges().get(w.range()).number())
                    .distinct()
                    .sorted()
                    .toList();
            List<String> full = plan.conflict().nodes().stream()
                    .map(n -> problem.nodes().get(n).name())
                    .toList();
            why = "range" + (ranges.size() == 1 ? " " : "s ") + named(ranges)
                    + (full.isEmpty() ? ": no holder in service" : ": more work than " + named(full) + " can do");
        }
        return "no plan for " + nodes + " nodes, shares are equal: " + why;
    }

    private static String named(List<?> all) {
        String first = all.stream().limit(NAMED).map(Object::toString).collect(Collectors.joining(", "));
        return all.size() <= NAMED ? first : first + " and " + (all.size() - NAMED) + " more";
    }
}
