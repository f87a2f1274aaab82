package pepperdock.benchmark;

import com.google.gson.JsonObject;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.NoOpBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;

/**
 * Measures the cost of the endpoint list to one gatherer by the length of the list: the bytes of a complete list, and
 * how long the event loop is blocked while it decodes and applies a complete list or a change of one entry. Opens no
 * sockets.
 */
public final class NodeListCost {

    /** Address block of the endpoints; arbitrary, as no socket is opened. */
    private static final int BLOCK = 1;

    private static final int ONE_CHANGE = 1;
    private static final double MICROS_PER_NANO = 1e-3;

    /**
     * The measurements at one length; times are processor time of the measuring thread, in microseconds.
     *
     * @param bytes size of a complete list
     * @param firstUs time for the first complete list, before the code is compiled
     * @param decodedUs mean time to decode a complete list
     * @param takenUs mean time to apply a complete list in the core and the scheduler module
     * @param changeUs mean time to decode and apply a change of one entry
     * @param allocated bytes allocated to decode and apply a complete list
     */
    public record Result(
            int workers,
            int bytes,
            double firstUs,
            double decodedUs,
            double takenUs,
            double changeUs,
            long allocated) {}

    private final DeploymentSettings deploymentSettings;
    private final ManualClock clock = new ManualClock(1000);
    private final Gatherer core;
    private int known;
    private final byte[] whole;
    private final byte[] change;

    private NodeListCost(int workers) {
        Deployment deployment = Deployment.ofTarget(workers, 1, 0.001, false);
        deploymentSettings = deployment.deploymentSettings();
        List<WorkerEndpoint> hosts = deployment.hosts(BLOCK);
        whole = EndpointListJson.write(hosts, deploymentSettings).getBytes(StandardCharsets.UTF_8);
        change = EndpointListJson.write(hosts.subList(0, ONE_CHANGE), deploymentSettings)
                .replace("\"whole\":true", "\"whole\":false")
                .getBytes(StandardCharsets.UTF_8);
        core = new Gatherer(deploymentSettings.scheduler(), 1, clock, new NoOpBackend(), () -> {});
        core.addEndpointListListener(listed -> known = listed.size());
    }

    /**
     * Measures at each length: handles each list {@code rounds} times after as many warm-up rounds. Passes each result
     * to {@code progress} as soon as it is available.
     */
    public static Results run(List<Integer> workers, int rounds, Consumer<String> progress) {
        Results results = new Results();
        List<LeastSquares.Point> points = new ArrayList<>();
        for (int workerCount : workers) {
            Result result = new NodeListCost(workerCount).measure(workerCount, rounds);
            points.add(new LeastSquares.Point(workerCount, result.decodedUs() + result.takenUs()));
            JsonObject row = row(result);
            results.row(row);
            progress.accept(row.toString());
        }
        if (points.size() > 1) {
            progress.accept(results.fit("us a whole list by workers", points));
        }
        return results;
    }

    private static JsonObject row(Result result) {
        JsonObject row = new JsonObject();
        row.addProperty("workers", result.workers());
        row.addProperty("bytes", result.bytes());
        row.addProperty("first_us", Math.round(result.firstUs()));
        row.addProperty("decoded_us", Math.round(result.decodedUs()));
        row.addProperty("taken_us", Math.round(result.takenUs()));
        row.addProperty("change_us", Math.round(result.changeUs()));
        row.addProperty("allocated_bytes", result.allocated());
        return row;
    }

    private Result measure(int workers, int rounds) {
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        double first = meanCpuMicros(() -> apply(decode(whole)), 1);
        meanCpuMicros(() -> apply(decode(whole)), rounds);
        double decoded = meanCpuMicros(() -> decode(whole), rounds);
        EndpointListJson list = decode(whole);
        double taken = meanCpuMicros(() -> apply(list), rounds);
        double changed = meanCpuMicros(() -> apply(decode(change)), rounds);
        long allocated = threads.getThreadAllocatedBytes(threadId);
        apply(decode(whole));
        allocated = threads.getThreadAllocatedBytes(threadId) - allocated;
        return new Result(workers, whole.length, first, decoded, taken, changed, allocated);
    }

    /** Returns how many workers the gatherer knows after it has applied the complete list and a change. */
    static int known(int workers) {
        NodeListCost cost = new NodeListCost(workers);
        cost.apply(cost.decode(cost.whole));
        cost.apply(cost.decode(cost.change));
        return cost.known;
    }

    private static double meanCpuMicros(Runnable task, int rounds) {
        java.lang.management.ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long from = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < rounds; i++) {
            task.run();
        }
        return (threads.getCurrentThreadCpuTime() - from) * MICROS_PER_NANO / rounds;
    }

    private EndpointListJson decode(byte[] body) {
        return EndpointListJson.parse(new String(body, StandardCharsets.UTF_8), deploymentSettings);
    }

    private void apply(EndpointListJson list) {
        core.onEndpointList(list.whole() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list.hosts());
        clock.advance(deploymentSettings.scheduler().tickS());
    }
}
