package pepperdock.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import pepperdock.core.ManualClock;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.AttemptResult;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.PartArrival;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryArrival;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.ReplicaLayout;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerActions;
import pepperdock.scheduler.SchedulerLimits;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Simulates one day of a single scheduler with emulated endpoints and faults drawn from a seed. Every action of the
 * scheduler is added to one hash, in order and with its time.
 */
final class DecisionTraceDay implements SchedulerActions {

    /** The load and faults of a day. The names of the constants appear in the file of recorded hashes. */
    enum Kind {
        CALM(0.5, 0, 0, 0, false),
        OVERLOAD(2.5, 0, 0, 0, false),
        OUTLIERS(0.7, 0.3, 0, 0, false),
        RESTARTS(0.7, 0, 0.4, 0, false),
        LIST_OUTAGE(0.6, 0.1, 0.2, 0.6, true),
        EVERYTHING(1.3, 0.25, 0.2, 0.4, true);

        private final double load;
        private final double outlierShare;
        private final double restartsPerS;
        private final double listFailureShare;
        private final boolean clientsLeave;

        Kind(double load, double outlierShare, double restartsPerS, double listFailureShare, boolean clientsLeave) {
            this.load = load;
            this.outlierShare = outlierShare;
            this.restartsPerS = restartsPerS;
            this.listFailureShare = listFailureShare;
            this.clientsLeave = clientsLeave;
        }
    }

    /** The hash of a day's actions, and the number of times that each kind was taken. */
    record Trace(String hash, Map<String, Integer> actionCounts) {}

    private static final double START_S = 1000;
    private static final double LENGTH_S = 40;
    private static final double DRAIN_S = 10;
    private static final int CELLS = 8;
    private static final int SHARDS = 24;
    private static final int ENDPOINTS_PER_CELL = 2;
    private static final double MEAN_PART_S = 0.08;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final List<QueryClass> CLASSES = List.of(
            new QueryClass(1.0, 3, 3, 0.1, RetrySafety.IDEMPOTENT, 0, 0.6, 1, 0.95, 0),
            new QueryClass(1.5, 4, 5, 0.3, RetrySafety.IDEMPOTENT, 0, 0.8, 1, 0.9, 2),
            new QueryClass(1.0, 3, 1, 0, RetrySafety.IDEMPOTENCY_KEY, 1.5, 1, 1, 0.9, 0),
            new QueryClass(0.8, 2, 1, 0.5, RetrySafety.NOT_IDEMPOTENT, 0, 1, 1, 0.9, 0));
    private static final int[] PART_COUNTS = {12, 6, 1, 1};

    /** An endpoint whose calls are served one after another. */
    private static final class EmulatedEndpoint {
        private final String id;
        private final int cell;
        private double busyUntil;
        private double slowdown = 1;
        private double errorShare;
        private boolean silent;
        private boolean unreachable;
        private double startedAtS;
        private EndpointState state = EndpointState.HEALTHY;

        private EmulatedEndpoint(String id, int cell) {
            this.id = id;
            this.cell = cell;
        }

        private Endpoint listed() {
            return new Endpoint(id, cell % 2, 0, cell, state, 1, startedAtS);
        }
    }

    private final Kind kind;
    private final ManualClock clock = new ManualClock(START_S);
    private final SplittableRandom arrivals;
    private final SplittableRandom faults;
    private final SplittableRandom work;
    private final Map<String, EmulatedEndpoint> endpoints = new TreeMap<>();
    private final Map<Long, Integer> attemptsOfPart = new HashMap<>();
    private final Map<Long, Integer> classOfQuery = new HashMap<>();
    private final Map<Long, Long> sequenceNumbers = new HashMap<>();
    private final Map<Long, Boolean> secondStage = new HashMap<>();
    private final Map<String, Integer> actionCounts = new TreeMap<>();
    private final List<Runnable> afterBatch = new ArrayList<>();
    private final Scheduler scheduler;
    private long hash = FNV_OFFSET_BASIS;
    private long nextId = 1;

    private DecisionTraceDay(Kind kind, long seed) {
        this.kind = kind;
        SplittableRandom root = new SplittableRandom(seed);
        arrivals = root.split();
        faults = root.split();
        work = root.split();
        for (int i = 0; i < CELLS * ENDPOINTS_PER_CELL; i++) {
            EmulatedEndpoint endpoint = new EmulatedEndpoint("endpoint-" + i, i % CELLS);
            endpoints.put(endpoint.id, endpoint);
        }
        scheduler = Scheduler.create(settings(), seed * 31, this);
        inBatch(() -> scheduler.onEndpointList(EndpointListKind.CACHED, listedEndpoints()));
        scheduleArrival();
        scheduleFault();
        scheduleRestart();
    }

    /** Simulates a day; the same kind and seed give the same trace. */
    static Trace play(Kind kind, long seed) {
        DecisionTraceDay day = new DecisionTraceDay(kind, seed);
        day.clock.advance(LENGTH_S + DRAIN_S);
        return new Trace(String.format(Locale.ROOT, "%016x", day.hash), day.actionCounts);
    }

    private SchedulerSettings settings() {
        return new SchedulerSettings(
                3,
                0,
                0.005,
                kind.listFailureShare > 0,
                CLASSES,
                List.of(8.0, 30.0),
                0.1,
                List.of(),
                new ReplicaLayout(SHARDS, CELLS, 2, 4),
                new SchedulerLimits(true, true, false, 4, 400, 1),
                new ProtocolRules(0.02, 0.5, 0.16, 6, 2, 1, 20, 0.2, 5, 10));
    }

    private List<Endpoint> listedEndpoints() {
        return endpoints.values().stream().map(EmulatedEndpoint::listed).toList();
    }

    /** Reports one event in its own batch, then runs the consequences of the scheduler's actions. */
    private void inBatch(Runnable event) {
        scheduler.beginBatch(clock.now());
        event.run();
        scheduler.endBatch();
        List<Runnable> consequences = List.copyOf(afterBatch);
        afterBatch.clear();
        consequences.forEach(Runnable::run);
    }

    private boolean dayIsOver() {
        return clock.now() >= START_S + LENGTH_S;
    }

    // ---- Queries

    private void scheduleArrival() {
        double partsPerQuery = 0.25 * (PART_COUNTS[0] + PART_COUNTS[1] + PART_COUNTS[2] + PART_COUNTS[3]);
        double queriesPerS = kind.load * endpoints.size() / MEAN_PART_S / partsPerQuery;
        clock.after(-Math.log(1 - arrivals.nextDouble()) / queriesPerS, () -> {
            if (!dayIsOver()) {
                inBatch(this::arrive);
                scheduleArrival();
            }
        });
    }

    private void arrive() {
        int queryClass = arrivals.nextInt(CLASSES.size());
        long id = nextId++;
        long sequenceNumber = nextId++;
        classOfQuery.put(id, queryClass);
        sequenceNumbers.put(id, sequenceNumber);
        int parts = PART_COUNTS[queryClass];
        double deadlineS = CLASSES.get(queryClass).deadlineS() * (arrivals.nextInt(5) == 0 ? 0.5 : 1);
        scheduler.onQuery(new QueryArrival(
                id,
                queryClass,
                arrivals.nextInt(3) - 1,
                queryClass == 2 ? "key-" + id : "",
                deadlineS,
                sequenceNumber,
                parts));
        sendParts(sequenceNumber, parts);
        if (kind.clientsLeave && arrivals.nextInt(10) == 0) {
            clock.after(arrivals.nextDouble() * deadlineS, () -> inBatch(() -> scheduler.onQueryCancelled(id)));
        }
    }

    private void sendParts(long sequenceNumber, int parts) {
        int firstShard = arrivals.nextInt(SHARDS);
        double weightSum = 0;
        for (int i = 0; i < parts; i++) {
            weightSum += 1.0 / (1 + i);
        }
        for (int i = 0; i < parts; i++) {
            double weight = 1.0 / (1 + i) / weightSum;
            scheduler.onPart(new PartArrival(nextId++, sequenceNumber, (firstShard + i) % SHARDS, weight));
        }
    }

    // ---- Faults

    private void scheduleFault() {
        clock.after(0.5, () -> {
            if (dayIsOver()) {
                return;
            }
            for (EmulatedEndpoint endpoint : endpoints.values()) {
                boolean faulty = faults.nextDouble() < kind.outlierShare;
                int faultKind = faults.nextInt(4);
                endpoint.slowdown = faulty && faultKind == 0 ? 12 : 1;
                endpoint.errorShare = faulty && faultKind == 1 ? 0.8 : 0;
                endpoint.silent = faulty && faultKind == 2;
                endpoint.unreachable = faulty && faultKind == 3;
            }
            scheduleFault();
        });
    }

    private void scheduleRestart() {
        if (kind.restartsPerS == 0) {
            return;
        }
        clock.after(-Math.log(1 - faults.nextDouble()) / kind.restartsPerS, () -> {
            if (dayIsOver()) {
                return;
            }
            List<EmulatedEndpoint> all = List.copyOf(endpoints.values());
            EmulatedEndpoint endpoint = all.get(faults.nextInt(all.size()));
            endpoint.state = EndpointState.DRAINING;
            reportChange(endpoint);
            clock.after(1, () -> {
                endpoint.state = EndpointState.HEALTHY;
                endpoint.startedAtS = clock.now();
                reportChange(endpoint);
            });
            scheduleRestart();
        });
    }

    private void reportChange(EmulatedEndpoint endpoint) {
        if (faults.nextDouble() < kind.listFailureShare) {
            inBatch(() -> scheduler.onEndpointList(EndpointListKind.FAILED, List.of()));
        } else {
            inBatch(() -> scheduler.onEndpointList(EndpointListKind.CHANGES, List.of(endpoint.listed())));
        }
    }

    // ---- Actions

    private void record(String action, Object... values) {
        actionCounts.merge(action, 1, Integer::sum);
        StringBuilder line = new StringBuilder(action);
        line.append(String.format(Locale.ROOT, " %.6f", clock.now()));
        for (Object value : values) {
            line.append(value instanceof Double d ? String.format(Locale.ROOT, " %.6f", d) : " " + value);
        }
        for (int i = 0; i < line.length(); i++) {
            hash = (hash ^ line.charAt(i)) * FNV_PRIME;
        }
    }

    @Override
    public void sendAttempt(long part, String endpointId, double until) {
        record("send", part, endpointId, until);
        int attempt = attemptsOfPart.merge(part, 1, Integer::sum) - 1;
        EmulatedEndpoint endpoint = endpoints.get(endpointId);
        double sentAt = clock.now();
        if (endpoint.unreachable) {
            end(part, attempt, endpointId, AttemptOutcome.CONNECT_FAILED, sentAt, 0.05);
            return;
        }
        double backlogS = Math.max(0, endpoint.busyUntil - sentAt);
        if (backlogS > 1) {
            end(part, attempt, endpointId, AttemptOutcome.OVERLOADED, sentAt, 0.005);
            return;
        }
        boolean warmingUp = sentAt < endpoint.startedAtS + 6;
        double serviceS = MEAN_PART_S * (0.5 + work.nextDouble()) * endpoint.slowdown * (warmingUp ? 3 : 1);
        endpoint.busyUntil = sentAt + backlogS + serviceS;
        if (endpoint.silent) {
            end(part, attempt, endpointId, AttemptOutcome.TIMEOUT, sentAt, Math.max(0.001, until - sentAt));
            return;
        }
        boolean error = work.nextDouble() < endpoint.errorShare;
        AttemptOutcome outcome = error ? AttemptOutcome.ERROR : AttemptOutcome.OK;
        end(part, attempt, endpointId, outcome, sentAt, error ? 0.01 : backlogS + serviceS);
    }

    private void end(long part, int attempt, String endpointId, AttemptOutcome outcome, double sentAt, double afterS) {
        afterBatch.add(() -> clock.after(
                afterS,
                () -> inBatch(() -> scheduler.onAttemptResult(new AttemptResult(
                        part, attempt, endpointId, outcome, clock.now() - sentAt, LoadReport.NONE)))));
    }

    @Override
    public void cancelAttempt(long part, int attempt) {
        record("cancel", part, attempt);
    }

    @Override
    public void answerQuery(long query, boolean whole) {
        record("answer", query, whole);
        int queryClass = classOfQuery.get(query);
        int nextParts = CLASSES.get(queryClass).secondStageParts();
        if (nextParts > 0 && secondStage.put(query, true) == null) {
            afterBatch.add(() ->
                    clock.after(0.01, () -> inBatch(() -> sendParts(sequenceNumbers.get(query), nextParts))));
        }
    }

    @Override
    public void rejectQuery(long query, double pauseS) {
        record("reject", query, pauseS);
    }

    @Override
    public void failQuery(long query) {
        record("fail", query);
    }

    @Override
    public void checkHealth(String endpointId) {
        record("check", endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        record("close", endpointId);
    }

    @Override
    public void setTimer(double afterS, String token) {
        record("timer", afterS);
        afterBatch.add(() -> clock.after(afterS, () -> inBatch(() -> scheduler.onTimer(token))));
    }

    @Override
    public void watchEndpointList() {
        record("watch");
        boolean fails = faults.nextDouble() < kind.listFailureShare;
        afterBatch.add(() -> clock.after(
                0.1,
                () -> inBatch(() -> scheduler.onEndpointList(
                        fails ? EndpointListKind.FAILED : EndpointListKind.COMPLETE,
                        fails ? List.of() : listedEndpoints()))));
    }

    @Override
    public void log(String text) {
        record("log", text);
    }
}
