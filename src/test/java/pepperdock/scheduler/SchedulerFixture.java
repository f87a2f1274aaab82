package pepperdock.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A small fleet with one scheduler, which is driven through {@link Scheduler} only. */
final class SchedulerFixture {

    static final double OBJECTIVE_S = 2;
    static final double DEADLINE_S = 6;

    RetrySafety retrySafety = RetrySafety.IDEMPOTENT;
    double idempotencyWindowS = 1;
    double minimumCoverage = 1;
    double completeCoverage = 1;
    double lateAnswerWeight;
    int secondStageParts;
    boolean hedging;
    boolean cancellation = true;
    int maxAttempts = 4;
    int instances = 1;
    int shards = 4;
    int maxPartsPerCall = 1;
    int cells = 1;
    double retryBudgetFree;
    double retryBudgetShare;
    double retryBudgetWindowS;
    double warmUpInitialShare = 0.2;
    double warmUpOverloadWindowS = 1;
    boolean pollsEndpointList;
    List<Double> tenantRates = List.of();
    int tenant;
    long seed = 7;
    double now = 100;
    final RecordingActions actions = new RecordingActions();
    Scheduler scheduler;
    private long nextSequenceNumber;

    SchedulerSettings settings() {
        var queryClass = new QueryClass(
                OBJECTIVE_S,
                DEADLINE_S,
                1,
                lateAnswerWeight,
                retrySafety,
                idempotencyWindowS,
                minimumCoverage,
                completeCoverage,
                0.9,
                secondStageParts);
        return new SchedulerSettings(
                instances,
                0,
                0.005,
                pollsEndpointList,
                List.of(queryClass),
                tenantRates,
                0.1,
                List.of(),
                new ReplicaLayout(shards, cells, 1, maxPartsPerCall),
                new SchedulerLimits(cancellation, hedging, false, maxAttempts, 1000, 1),
                new ProtocolRules(
                        0.02,
                        1,
                        warmUpInitialShare,
                        10,
                        2,
                        warmUpOverloadWindowS,
                        retryBudgetFree,
                        retryBudgetShare,
                        retryBudgetWindowS,
                        10));
    }

    static Endpoint endpoint(String id, EndpointState state, double startedAtS) {
        return new Endpoint(id, 0, 0, 0, state, 1, startedAtS);
    }

    /** Creates the scheduler and lists the named endpoints, each a replica of every shard. */
    SchedulerFixture start(String... endpoints) {
        scheduler = Scheduler.create(settings(), seed, actions);
        beginBatch(now);
        scheduler.onEndpointList(
                EndpointListKind.CACHED,
                Arrays.stream(endpoints)
                        .map(s -> endpoint(s, EndpointState.HEALTHY, 0))
                        .toList());
        scheduler.endBatch();
        return this;
    }

    /** Sets the time and opens a batch. */
    SchedulerFixture beginBatch(double time) {
        now = time;
        scheduler.beginBatch(time);
        return this;
    }

    /** Reports changed entries of the endpoint list. */
    void updateEndpoints(Endpoint... entries) {
        scheduler.onEndpointList(EndpointListKind.CHANGES, List.of(entries));
    }

    /** Reports a query with parts {@code id * 100 + i} at shard i, of the given weights; the batch stays open. */
    void query(long id, double remainingS, double... weights) {
        long number = nextSequenceNumber++;
        scheduler.onQuery(new QueryArrival(id, 0, tenant, "", remainingS, number, weights.length));
        for (int i = 0; i < weights.length; i++) {
            scheduler.onPart(new PartArrival(id * 100 + i, number, i % shards, weights[i]));
        }
        lastSequenceNumber = number;
    }

    long lastSequenceNumber;

    /** Reports the result of an attempt that was sent. */
    void endAttempt(long part, int attempt, AttemptOutcome outcome, double elapsedS) {
        String endpointId = actions.sends.stream()
                .filter(s -> s.part() == part)
                .skip(attempt)
                .findFirst()
                .map(RecordingActions.Sent::endpointId)
                .orElse("none");
        scheduler.onAttemptResult(new AttemptResult(part, attempt, endpointId, outcome, elapsedS, LoadReport.NONE));
    }

    /** Advances the time to {@code until} in sweeps. */
    void sweep(double until) {
        for (double time = now + 0.025; time <= until + 1e-9; time += 0.025) {
            beginBatch(time);
            scheduler.onTimer("sweep");
            scheduler.endBatch();
        }
    }

    /** Returns the weights of a query whose parts have equal weights. */
    static double[] equalWeights(int parts) {
        double[] weights = new double[parts];
        Arrays.fill(weights, 1.0 / parts);
        return weights;
    }

    /**
     * Serves queries of one part one after another, so that the scheduler learns the part time of healthy endpoints.
     */
    void serve(int queries, double elapsedS) {
        serve(queries, 1, elapsedS);
    }

    /** Serves queries of several parts one after another. */
    void serve(int queries, int parts, double elapsedS) {
        for (int i = 0; i < queries; i++) {
            long id = 900_000 + nextSequenceNumber;
            double queryStart = now;
            query(id, DEADLINE_S, equalWeights(parts));
            scheduler.endBatch();
            sweep(now + elapsedS);
            beginBatch(Math.max(now, queryStart + elapsedS));
            for (long part : partIds(id, parts)) {
                endAttempt(part, 0, AttemptOutcome.OK, elapsedS);
            }
            scheduler.endBatch();
            beginBatch(now + 0.005);
        }
        actions.clear();
    }

    /**
     * Returns a fixture with two queries of eight parts outstanding, whose limit was decreased to sixteen parts by one
     * part rejected as overloaded.
     */
    static SchedulerFixture atConcurrencyLimit(double minimumCoverage) {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.minimumCoverage = minimumCoverage;
        fixture.cancellation = false;
        fixture.start("a", "b");
        fixture.serve(80, 8, 0.05);
        fixture.query(1, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        fixture.beginBatch(fixture.now + 0.01);
        fixture.endAttempt(100, 0, AttemptOutcome.OVERLOADED, 0.01);
        fixture.scheduler.endBatch();
        fixture.query(2, 6, SchedulerFixture.equalWeights(8));
        fixture.scheduler.endBatch();
        assertEquals(17, fixture.actions.sends.size());
        return fixture;
    }

    /** Returns the ids of the first {@code count} parts of a query. */
    static List<Long> partIds(long query, int count) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(query * 100 + i);
        }
        return ids;
    }

    /** Returns the number of attempts sent to each endpoint. */
    Map<String, Long> sentTo() {
        return actions.sends.stream()
                .collect(Collectors.groupingBy(RecordingActions.Sent::endpointId, Collectors.counting()));
    }
}
