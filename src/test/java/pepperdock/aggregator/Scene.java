package pepperdock.aggregator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A small fleet and one instance in front of it, driven through the interface alone. */
final class Scene {

    static final double AIM = 2;
    static final double DEADLINE = 6;

    Aggregator.Effect effect = Aggregator.Effect.SAFE;
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
    final Recorder did = new Recorder();
    Aggregator.Events module;
    private long nextNo;

    Aggregator.Settings settings() {
        var kind =
                new Aggregator.QueryClass(AIM, DEADLINE, 1, lateWorth, effect, windowS, floor, need, 0.9, secondStep);
        return new Aggregator.Settings(
                instances,
                0,
                0.005,
                mustAsk,
                List.of(kind),
                tenantRates,
                0.1,
                List.of(),
                new Aggregator.Layout(shards, cells, 1, batch),
                new Aggregator.Limits(cancel, duplicate, false, maxAttempts, 1000, 1),
                new Aggregator.Rules(0.02, 1, coldFrom, 10, 2, fallS, budgetFree, budgetShare, budgetSpanS, 10));
    }

    static Aggregator.Listed listed(String id, Aggregator.Readiness readiness, double bootAt) {
        return new Aggregator.Listed(id, 0, 0, 0, readiness, 1, bootAt);
    }

    /** Starts with the named searchers, each holding every shard. */
    Scene start(String... searchers) {
        module = Aggregator.create(settings(), seed, did);
        at(now);
        module.targets(
                Aggregator.ListKind.HELD,
                Arrays.stream(searchers)
                        .map(s -> listed(s, Aggregator.Readiness.HEALTHY, 0))
                        .toList());
        module.endBatch();
        return this;
    }

    Scene at(double time) {
        now = time;
        module.batch(time);
        return this;
    }

    void change(Aggregator.Listed... entries) {
        module.targets(Aggregator.ListKind.CHANGES, List.of(entries));
    }

    /** A query with parts {@code id * 100 + i} at shard i, of the given weights; the batch stays open. */
    void query(long id, double remainingS, double... weights) {
        long no = nextNo++;
        module.query(id, 0, tenant, "", remainingS, no, weights.length);
        for (int i = 0; i < weights.length; i++) {
            module.part(id * 100 + i, no, i % shards, weights[i]);
        }
        lastNo = no;
    }

    long lastNo;

    void end(long part, int attempt, Aggregator.Outcome outcome, double spentS) {
        String searcher = did.sends.stream()
                .filter(s -> s.part() == part)
                .skip(attempt)
                .findFirst()
                .map(Recorder.Sent::searcher)
                .orElse("none");
        module.attemptEnd(part, attempt, searcher, outcome, spentS, null);
    }

    /** Lets time pass in sweeps until {@code until}. */
    void sweep(double until) {
        for (double t = now + 0.025; t <= until + 1e-9; t += 0.025) {
            at(t);
            module.timer("sweep");
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
                end(part, 0, Aggregator.Outcome.OK, spentS);
            }
            module.endBatch();
            at(now + 0.005);
        }
        did.clear();
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
        return did.sends.stream().collect(Collectors.groupingBy(Recorder.Sent::searcher, Collectors.counting()));
    }
}
