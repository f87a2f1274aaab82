package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A small fleet and one instance in front of it, driven through the interface alone. */
final class SchedulerFixture {

    static final double AIM = 2;
    static final double DEADLINE = 6;

    RetrySafety effect = RetrySafety.IDEMPOTENT;
    double windowS = 1;
    double floor = 1;
    double need = 1;
    double lateWorth;
    int secondStep;
    boolean duplicate;
    boolean cancel = true;
    int maxAttempts = 4;
    int instances = 1;
    int shards = 4;
    int batch = 1;
    int cells = 1;
    double budgetFree;
    double budgetShare;
    double budgetSpanS;
    double coldFrom = 0.2;
    double fallS = 1;
    boolean mustAsk;
    List<Double> tenantRates = List.of();
    int tenant;
    long seed = 7;
    double now = 100;
    final RecordingActions did = new RecordingActions();
    Scheduler module;
    private long nextNo;

    SchedulerSettings settings() {
        var kind = new QueryClass(AIM, DEADLINE, 1, lateWorth, effect, windowS, floor, need, 0.9, secondStep);
        return new SchedulerSettings(
                instances,
                0,
                0.005,
                mustAsk,
                List.of(kind),
                tenantRates,
                0.1,
                List.of(),
                new ReplicaLayout(shards, cells, 1, batch),
                new SchedulerLimits(cancel, duplicate, false, maxAttempts, 1000, 1),
                new ProtocolRules(0.02, 1, coldFrom, 10, 2, fallS, budgetFree, budgetShare, budgetSpanS, 10));
    }

    static Endpoint listed(String id, EndpointState readiness, double bootAt) {
        return new Endpoint(id, 0, 0, 0, readiness, 1, bootAt);
    }

    /** Starts with the named searchers, each holding every shard. */
    SchedulerFixture start(String... searchers) {
        module = Scheduler.create(settings(), seed, did);
        at(now);
        module.onEndpointList(
                EndpointListKind.CACHED,
                Arrays.stream(searchers)
                        .map(s -> listed(s, EndpointState.HEALTHY, 0))
                        .toList());
        module.endBatch();
        return this;
    }

    SchedulerFixture at(double time) {
        now = time;
        module.beginBatch(time);
        return this;
    }

    void change(Endpoint... entries) {
        module.onEndpointList(EndpointListKind.CHANGES, List.of(entries));
    }

    /** A query with parts {@code id * 100 + i} at shard i, of the given weights; the batch stays open. */
    void query(long id, double remainingS, double... weights) {
        long no = nextNo++;
        module.onQuery(new QueryArrival(id, 0, tenant, "", remainingS, no, weights.length));
        for (int i = 0; i < weights.length; i++) {
            module.onPart(new PartArrival(id * 100 + i, no, i % shards, weights[i]));
        }
        lastNo = no;
    }

    long lastNo;

    void end(long part, int attempt, AttemptOutcome outcome, double spentS) {
        String searcher = did.sends.stream()
                .filter(s -> s.part() == part)
                .skip(attempt)
                .findFirst()
                .map(RecordingActions.Sent::searcher)
                .orElse("none");
        module.onAttemptResult(new AttemptResult(part, attempt, searcher, outcome, spentS, LoadReport.NONE));
    }

    /** Lets time pass in sweeps until {@code until}. */
    void sweep(double until) {
        for (double t = now + 0.025; t <= until + 1e-9; t += 0.025) {
            at(t);
            module.onTimer("sweep");
            module.endBatch();
        }
    }

    static double[] equal(int parts) {
        double[] weights = new double[parts];
        Arrays.fill(weights, 1.0 / parts);
        return weights;
    }

    /** Serves one-part queries one after another, so that the module knows the pace of sound searchers. */
    void serve(int queries, double spentS) {
        serve(queries, 1, spentS);
    }

    void serve(int queries, int parts, double spentS) {
        for (int i = 0; i < queries; i++) {
            long id = 900_000 + nextNo;
            double asked = now;
            query(id, DEADLINE, equal(parts));
            module.endBatch();
            sweep(now + spentS);
            at(Math.max(now, asked + spentS));
            for (long part : parts(id, parts)) {
                end(part, 0, AttemptOutcome.OK, spentS);
            }
            module.endBatch();
            at(now + 0.005);
        }
        did.clear();
    }

    /** Brings two queries of eight parts out and the ceiling, by one part turned away as full, to sixteen. */
    static SchedulerFixture atTheCeiling(double floor) {
        SchedulerFixture scene = new SchedulerFixture();
        scene.floor = floor;
        scene.cancel = false;
        scene.start("a", "b");
        scene.serve(80, 8, 0.05);
        scene.query(1, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        scene.at(scene.now + 0.01);
        scene.end(100, 0, AttemptOutcome.OVERLOADED, 0.01);
        scene.module.endBatch();
        scene.query(2, 6, SchedulerFixture.equal(8));
        scene.module.endBatch();
        assertEquals(17, scene.did.sends.size());
        return scene;
    }

    static List<Long> parts(long query, int count) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(query * 100 + i);
        }
        return ids;
    }

    /** Which searchers got parts, and how many. */
    Map<String, Long> counts() {
        return did.sends.stream()
                .collect(Collectors.groupingBy(RecordingActions.Sent::searcher, Collectors.counting()));
    }
}
