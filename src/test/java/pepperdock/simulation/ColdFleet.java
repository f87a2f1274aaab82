package pepperdock.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import pepperdock.core.ManualClock;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.AttemptResult;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.PartArrival;
import pepperdock.scheduler.QueryArrival;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerActions;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Simulates scheduler instances in front of workers that start cold. Records every part that reaches a worker, and
 * compares the parts that cold workers received in each fall window with the number that the settings allow at that
 * time.
 */
final class ColdFleet {

    /** Injected faults, which show that the check detects them. */
    enum Fault {
        NONE,
        /** The settings name one instance, so that each instance uses the whole allowance. */
        SINGLE_INSTANCE,
        /** The list carries no start times, so that no worker is known to be cold. */
        NO_START_TIMES
    }

    /**
     * The result of a simulation.
     *
     * @param worst greatest ratio of the parts that a cold worker received in a fall window to N + 2 root N + 2, where
     *     N is the number that the settings allow; over windows of which more than two thirds came from instances that
     *     knew of the start
     * @param worstToN the same ratio to N
     * @param sent parts sent to cold workers by instances that knew of their start
     * @param allowed parts of mean work that the settings allow the cold workers over their whole warm-up
     * @param served share of the queries answered, from the cold start to the end of the simulation
     */
    record Result(double worst, double worstToN, int sent, double allowed, double served) {}

    static final double COLD_AT = 15;
    static final double BURST_AT = 17;
    static final double BURST_S = 10;
    static final double RESTART_AT = 18;
    static final double COLD_FROM = 0.16;
    static final double WARM_UP_S = 14;
    static final double FALL_MULTIPLE = 2;
    static final double FALL_S = 1;

    private static final double END_AT = 30;
    static final int BATCH = 8;
    static final int SHARDS_PER_CELL = 3;
    private static final int QUEUE_CAPACITY_PER_CORE = 17;
    private static final double NETWORK_DELAY_S = 0.0003;
    private static final double WORK_VARIATION = 0.5;

    /**
     * A part that reached a worker: its class's work relative to the mean, and whether its sender knew of the worker's
     * start.
     */
    private record Arrival(double at, double weight, boolean knowsStart) {}

    private final ColdStartScenario scenario;
    private final long seed;
    private final ManualClock clock = new ManualClock(0);
    private final SplittableRandom root;
    private final SplittableRandom arrivals;
    private final SplittableRandom work;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final double meanWorkS;
    private final SchedulerSettings settings;
    private final double[] traffic;
    private long nextId;
    private int asked;
    private int answered;

    private ColdFleet(ColdStartScenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        settings = ColdFleetSettings.of(scenario);
        root = new SplittableRandom(seed);
        arrivals = root.split();
        work = root.split();
        SplittableRandom build = root.split();
        double sum = 0;
        double parts = 0;
        for (int c = 0; c < scenario.workS().length; c++) {
            sum += scenario.classShare()[c] * scenario.parts()[c] * scenario.workS()[c];
            parts += scenario.classShare()[c] * scenario.parts()[c];
        }
        meanWorkS = sum / parts;
        for (int n = 0; n < scenario.workers(); n++) {
            add("w" + n, n);
        }
        traffic = new double[scenario.instances()];
        for (int i = 0; i < scenario.instances(); i++) {
            traffic[i] = Math.pow(scenario.uneven(), build.nextDouble() - 0.5);
            instances.add(new Instance(i));
        }
        scheduleArrival(scenario.load() * scenario.workers() * scenario.cores() * scenario.speed() / sum);
        clock.after(COLD_AT, () -> startCold(build));
        clock.after(RESTART_AT, this::endAndReplace);
    }

    /** Simulates a scenario; the same scenario and seed give the same result. */
    static Result play(ColdStartScenario scenario, long seed) {
        ColdFleet fleet = new ColdFleet(scenario, seed);
        fleet.clock.advance(END_AT);
        return fleet.evaluate();
    }

    private Worker add(String id, int cell) {
        Worker worker = new Worker(id, cell);
        workers.put(id, worker);
        return worker;
    }

    private void startCold(SplittableRandom build) {
        int cold = (int) Math.round(scenario.coldShare() * scenario.workers());
        for (int n = 0; n < cold; n++) {
            workers.get("w" + n).start();
        }
        for (int n = 0; n < scenario.joining(); n++) {
            add("j" + n, build.nextInt(scenario.workers())).start();
        }
        for (Instance i : instances) {
            clock.after(scenario.toldWithinS() * build.nextDouble(), i::deliverEndpointList);
        }
    }

    private void endAndReplace() {
        int restarted = (int) Math.round(scenario.restartedShare() * instances.size());
        for (int i = 0; i < restarted; i++) {
            instances.set(i, new Instance(i));
        }
        int lost = (int) Math.round(scenario.lostShare() * instances.size());
        for (int i = 0; i < lost; i++) {
            traffic[i] = 0;
        }
    }

    private void scheduleArrival(double rate) {
        boolean burst = clock.now() >= BURST_AT && clock.now() < BURST_AT + BURST_S;
        double factor = burst ? scenario.burst() : 1;
        clock.after(-Math.log(1 - arrivals.nextDouble()) / rate / factor, () -> {
            double sum = 0;
            for (double t : traffic) {
                sum += t;
            }
            double draw = arrivals.nextDouble() * sum;
            int to = 0;
            while (to < traffic.length - 1 && draw >= traffic[to]) {
                draw -= traffic[to++];
            }
            instances.get(to).query();
            scheduleArrival(rate);
        });
    }

    private Result evaluate() {
        double worst = 0;
        double worstToN = 0;
        double allowed = 0;
        int sent = 0;
        for (Worker w : workers.values()) {
            if (w.startedAt < 0) {
                continue;
            }
            allowed +=
                    FALL_MULTIPLE * scenario.cores() * scenario.speed() * WARM_UP_S * (1 + COLD_FROM) / 2 / meanWorkS;
            ArrayDeque<Arrival> window = new ArrayDeque<>();
            double total = 0;
            double totalOfKnowing = 0;
            for (Arrival a : w.arrivals) {
                if (a.at < w.startedAt || a.at >= w.startedAt + WARM_UP_S) {
                    continue;
                }
                window.addLast(a);
                total += a.weight;
                totalOfKnowing += a.knowsStart ? a.weight : 0;
                sent += a.knowsStart ? 1 : 0;
                while (window.peekFirst().at <= a.at - FALL_S) {
                    Arrival expired = window.removeFirst();
                    total -= expired.weight;
                    totalOfKnowing -= expired.knowsStart ? expired.weight : 0;
                }
                double n = FALL_MULTIPLE * FALL_S * scenario.cores() * scenario.speed() * w.warmth(a.at) / meanWorkS;
                if (3 * totalOfKnowing > 2 * total) {
                    worst = Math.max(worst, total / (n + 2 * Math.sqrt(n) + 2));
                    worstToN = Math.max(worstToN, total / n);
                }
            }
        }
        return new Result(worst, worstToN, sent, allowed, answered / (double) Math.max(1, asked));
    }

    /** A worker: cores that process parts in order of arrival, and a bounded queue. */
    private final class Worker {
        private final String id;
        private final int cell;
        private final List<Arrival> arrivals = new ArrayList<>();
        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private double startedAt = Double.NEGATIVE_INFINITY;
        private int busyCores;

        Worker(String id, int cell) {
            this.id = id;
            this.cell = cell;
        }

        void start() {
            startedAt = clock.now();
        }

        Endpoint toEndpoint() {
            boolean started = startedAt > 0 && scenario.fault() != Fault.NO_START_TIMES;
            return new Endpoint(id, 0, 0, cell, EndpointState.HEALTHY, 1, started ? startedAt : 0);
        }

        double warmth(double at) {
            return Math.min(1, COLD_FROM + (1 - COLD_FROM) * Math.max(0, at - startedAt) / WARM_UP_S);
        }

        /** Takes a part with that much work; {@code done} is called once, with its outcome. */
        void receive(double workS, Arrival arrival, java.util.function.Consumer<AttemptOutcome> done) {
            arrivals.add(arrival);
            if (queue.size() >= QUEUE_CAPACITY_PER_CORE * scenario.cores()) {
                done.accept(AttemptOutcome.OVERLOADED);
                return;
            }
            queue.addLast(() -> clock.after(workS / scenario.speed() / warmth(clock.now()), () -> {
                busyCores--;
                done.accept(AttemptOutcome.OK);
                startQueuedParts();
            }));
            startQueuedParts();
        }

        private void startQueuedParts() {
            while (busyCores < scenario.cores() && !queue.isEmpty()) {
                busyCores++;
                queue.removeFirst().run();
            }
        }
    }

    /** A part as its instance records it. */
    private static final class PartRecord {
        private final int queryClass;
        private int attempts;

        PartRecord(int queryClass) {
            this.queryClass = queryClass;
        }
    }

    private record Sent(long part, int no, String worker, double at) {}

    /** One scheduler instance, its calls to the workers, and the cold workers that it knows of. */
    private final class Instance implements SchedulerActions {
        private final Scheduler scheduler;
        private final Map<Long, PartRecord> partRecords = new HashMap<>();
        private final List<Sent> batch = new ArrayList<>();
        private final TreeSet<String> knownStarts = new TreeSet<>();

        Instance(int no) {
            scheduler = Scheduler.create(settings, seed * 1009 + no * 31L + (long) clock.now(), this);
            deliverEndpointList();
        }

        /** Delivers the current endpoint list; an instance that starts later knows of all worker starts at once. */
        void deliverEndpointList() {
            runBatch(() -> {
                List<Endpoint> list = new ArrayList<>();
                for (Worker w : workers.values()) {
                    list.add(w.toEndpoint());
                    if (w.startedAt > 0) {
                        knownStarts.add(w.id);
                    }
                }
                scheduler.onEndpointList(EndpointListKind.COMPLETE, list);
            });
        }

        void query() {
            double draw = arrivals.nextDouble();
            int c = 0;
            while (c < scenario.classShare().length - 1 && draw >= scenario.classShare()[c]) {
                draw -= scenario.classShare()[c++];
            }
            int queryClass = c;
            int first = arrivals.nextInt(SHARDS_PER_CELL * scenario.workers());
            long id = nextId;
            nextId += 1000;
            asked += clock.now() >= COLD_AT ? 1 : 0;
            int count = scenario.parts()[queryClass];
            runBatch(() -> {
                double deadlineS = settings.classes().get(queryClass).deadlineS();
                scheduler.onQuery(new QueryArrival(id, queryClass, -1, "", deadlineS, id, count));
                for (int p = 0; p < count; p++) {
                    partRecords.put(id + p, new PartRecord(queryClass));
                    scheduler.onPart(new PartArrival(
                            id + p, id, (first + p) % (SHARDS_PER_CELL * scenario.workers()), 1.0 / count));
                }
            });
        }

        private void runBatch(Runnable events) {
            scheduler.beginBatch(clock.now());
            events.run();
            scheduler.endBatch();
            Map<String, List<Sent>> calls = new LinkedHashMap<>();
            for (Sent s : batch) {
                calls.computeIfAbsent(s.worker, w -> new ArrayList<>()).add(s);
            }
            batch.clear();
            calls.forEach((worker, sends) -> {
                for (int i = 0; i < sends.size(); i++) {
                    Sent s = sends.get(i);
                    double callS = i % BATCH == 0 ? scenario.callS() : 0;
                    clock.after(NETWORK_DELAY_S, () -> arriveAt(workers.get(worker), s, callS));
                }
            });
        }

        private void arriveAt(Worker worker, Sent sent, double callS) {
            double mean = scenario.workS()[partRecords.get(sent.part).queryClass];
            double sigma = Math.sqrt(Math.log(1 + WORK_VARIATION * WORK_VARIATION));
            double workS = callS + mean * Math.exp(sigma * work.nextGaussian() - sigma * sigma / 2);
            Arrival arrival = new Arrival(clock.now(), mean / meanWorkS, knownStarts.contains(worker.id));
            worker.receive(
                    workS,
                    arrival,
                    outcome -> clock.after(
                            NETWORK_DELAY_S,
                            () -> runBatch(() -> scheduler.onAttemptResult(new AttemptResult(
                                    sent.part,
                                    sent.no,
                                    sent.worker,
                                    outcome,
                                    clock.now() - sent.at,
                                    LoadReport.NONE)))));
        }

        @Override
        public void sendAttempt(long part, String endpoint, double until) {
            PartRecord partRecord = partRecords.get(part);
            batch.add(new Sent(part, partRecord.attempts++, endpoint, clock.now()));
        }

        @Override
        public void cancelAttempt(long part, int attempt) {}

        @Override
        public void answerQuery(long query, boolean whole) {
            answered += clock.now() >= COLD_AT ? 1 : 0;
        }

        @Override
        public void rejectQuery(long query, double pauseS) {}

        @Override
        public void failQuery(long query) {}

        @Override
        public void checkHealth(String endpoint) {}

        @Override
        public void closeIdleConnections(String endpoint) {}

        @Override
        public void setTimer(double afterS, String token) {
            clock.after(afterS, () -> runBatch(() -> scheduler.onTimer(token)));
        }

        @Override
        public void watchEndpointList() {}

        @Override
        public void log(String text) {}
    }
}
