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
 * The cost of the node list to one gatherer, by its length: bytes of a whole list, and how long the loop stands while it is
 * decoded and taken in, whole and as a change of one entry. No sockets; the backend opens nothing.
 */
public final class NodeListCost {

    /** Any block: nothing is opened. */
    private static final int BLOCK = 1;

    private static final int ONE_CHANGE = 1;
    private static final double MICROS_A_NANO = 1e-3;

    /**
     * What was measured at one length; times are processor time of the one thread, in microseconds.
     *
     * @param bytes of a whole list
     * @param firstUs the first whole list, by code that is not compiled yet
     * @param decodedUs mean of decoding a whole list
     * @param takenUs mean of taking a whole list in, core and module
     * @param changeUs mean of decoding and taking in a change of one entry
     * @param allocated bytes allocated for a whole list, decoded and taken in
     */
    public record Result(
            int workers,
            int bytes,
            double firstUs,
            double decodedUs,
            double takenUs,
            double changeUs,
            long allocated) {}

    private final DeploymentSettings site;
    private final ManualClock clock = new ManualClock(1000);
    private final Gatherer core;
    private int known;
    private final byte[] whole;
    private final byte[] change;

    private NodeListCost(int workers) {
        Deployment deployment = Deployment.ofTarget(workers, 1, 0.001, false);
        site = deployment.site();
        List<WorkerEndpoint> hosts = deployment.hosts(BLOCK);
        whole = EndpointListJson.write(hosts, site).getBytes(StandardCharsets.UTF_8);
        change = EndpointListJson.write(hosts.subList(0, ONE_CHANGE), site)
                .replace("\"whole\":true", "\"whole\":false")
                .getBytes(StandardCharsets.UTF_8);
        core = new Gatherer(site.scheduler(), 1, clock, new NoOpBackend(), () -> {});
        core.addEndpointListListener(listed -> known = listed.size());
    }

    /** Measures at each length, each list so many times after as many to warm up; tells each result as it is had. */
    public static Results run(List<Integer> workers, int rounds, Consumer<String> progress) {
        Results results = new Results();
        List<LeastSquares.Point> points = new ArrayList<>();
        for (int n : workers) {
            Result r = new NodeListCost(n).measure(n, rounds);
            points.add(new LeastSquares.Point(n, r.decodedUs() + r.takenUs()));
            JsonObject row = row(r);
            results.row(row);
            progress.accept(row.toString());
        }
        if (points.size() > 1) {
            progress.accept(results.fit("us a whole list by workers", points));
        }
        return results;
    }

    private static JsonObject row(Result r) {
        JsonObject row = new JsonObject();
        row.addProperty("workers", r.workers());
        row.addProperty("bytes", r.bytes());
        row.addProperty("first_us", Math.round(r.firstUs()));
        row.addProperty("decoded_us", Math.round(r.decodedUs()));
        row.addProperty("taken_us", Math.round(r.takenUs()));
        row.addProperty("change_us", Math.round(r.changeUs()));
        row.addProperty("allocated_bytes", r.allocated());
        return row;
    }

    private Result measure(int workers, int rounds) {
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long self = Thread.currentThread().getId();
        double first = micros(() -> take(decode(whole)), 1);
        micros(() -> take(decode(whole)), rounds);
        double decoded = micros(() -> decode(whole), rounds);
        EndpointListJson list = decode(whole);
        double taken = micros(() -> take(list), rounds);
        double changed = micros(() -> take(decode(change)), rounds);
        long allocated = threads.getThreadAllocatedBytes(self);
        take(decode(whole));
        allocated = threads.getThreadAllocatedBytes(self) - allocated;
        return new Result(workers, whole.length, first, decoded, taken, changed, allocated);
    }

    /** How many workers the gatherer knows once the whole list and a change have been taken in. */
    static int known(int workers) {
        NodeListCost cost = new NodeListCost(workers);
        cost.take(cost.decode(cost.whole));
        cost.take(cost.decode(cost.change));
        return cost.known;
    }

    private static double micros(Runnable task, int rounds) {
        java.lang.management.ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long from = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < rounds; i++) {
            task.run();
        }
        return (threads.getCurrentThreadCpuTime() - from) * MICROS_A_NANO / rounds;
    }

    private EndpointListJson decode(byte[] body) {
        return EndpointListJson.parse(new String(body, StandardCharsets.UTF_8), site);
    }

    private void take(EndpointListJson list) {
        core.onEndpointList(list.whole() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list.hosts());
        clock.advance(site.scheduler().tickS());
    }
}
