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
 * Instances of the module in front of workers that start cold, in simulated time. Records every part that reaches a worker and
 * judges from that record what the cold ones got within each fall window, against what the settings allow them then.
 */
final class ColdFleet {

    /** Planted faults, to show that the judging finds them. */
    enum Fault {
        NONE,
        /** The settings name one instance, so that each takes the whole allowance for its own. */
        ALONE,
        /** The list carries no start times, so that no worker is known to be cold. */
        UNDATED
    }

    /**
     * What came of it.
     *
     * @param worst greatest ratio of what a cold worker got in a fall window to N + 2 root N + 2, over windows of which more
     *     than two thirds came from instances that had been told
     * @param worstToN the same to N alone
     * @param sent parts sent to cold workers by instances that had been told
     * @param allowed what the settings allow the cold workers over their whole warm-up, in parts of mean work
     * @param served share of the queries answered, from the cold start to the end
     */
    record Result(double worst, double worstToN, int sent, double allowed, double served) {}

    static final double COLD_AT = 15;
    static final double BURST_AT = 17;
    static final double BURST_S = 10;
    static final double RESTART_AT = 18;
    static final double COLD_FROM = 0.16;
    static final double WARM_UP_S = 14;
    static final double MULTIPLE = 2;
    static final double FALL_S = 1;

    private static final double END_AT = 30;
    static final int BATCH = 8;
    static final int SHARDS_A_CELL = 3;
    private static final int ROOM_A_CORE = 17;
    private static final double DELAY_S = 0.0003;
    private static final double CV = 0.5;

    /** A part that reached a worker: its class's work over the mean, and whether its sender knew of the worker's start. */
    private record Arrival(double at, double weight, boolean told) {}

    private final ColdDay day;
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

    private ColdFleet(ColdDay day, long seed) {
        this.day = day;
        this.seed = seed;
        settings = ColdFleetSettings.of(day);
        root = new SplittableRandom(seed);
        arrivals = root.split();
        work = root.split();
        SplittableRandom build = root.split();
        double sum = 0;
        double parts = 0;
        for (int c = 0; c < day.workS().length; c++) {
            sum += day.classShare()[c] * day.parts()[c] * day.workS()[c];
            parts += day.classShare()[c] * day.parts()[c];
        }
        meanWorkS = sum / parts;
        for (int n = 0; n < day.workers(); n++) {
            add("w" + n, n);
        }
        traffic = new double[day.instances()];
        for (int i = 0; i < day.instances(); i++) {
            traffic[i] = Math.pow(day.uneven(), build.nextDouble() - 0.5);
            instances.add(new Instance(i));
        }
        arrive(day.load() * day.workers() * day.cores() * day.speed() / sum);
        clock.after(COLD_AT, () -> startCold(build));
        clock.after(RESTART_AT, this::endAndReplace);
    }

    /** Plays a day; the same for the same day and seed. */
    static Result play(ColdDay day, long seed) {
        ColdFleet fleet = new ColdFleet(day, seed);
        fleet.clock.advance(END_AT);
        return fleet.judge();
    }

    private Worker add(String id, int cell) {
        Worker worker = new Worker(id, cell);
        workers.put(id, worker);
        return worker;
    }

    private void startCold(SplittableRandom build) {
        int cold = (int) Math.round(day.coldShare() * day.workers());
        for (int n = 0; n < cold; n++) {
            workers.get("w" + n).start();
        }
        for (int n = 0; n < day.joining(); n++) {
            add("j" + n, build.nextInt(day.workers())).start();
        }
        for (Instance i : instances) {
            clock.after(day.toldWithinS() * build.nextDouble(), i::tell);
        }
    }

    private void endAndReplace() {
        int restarted = (int) Math.round(day.restartedShare() * instances.size());
        for (int i = 0; i < restarted; i++) {
            instances.set(i, new Instance(i));
        }
        int lost = (int) Math.round(day.lostShare() * instances.size());
        for (int i = 0; i < lost; i++) {
            traffic[i] = 0;
        }
    }

    private void arrive(double rate) {
        boolean burst = clock.now() >= BURST_AT && clock.now() < BURST_AT + BURST_S;
        double factor = burst ? day.burst() : 1;
        clock.after(-Math.log(1 - arrivals.nextDouble()) / rate / factor, () -> {
            double sum = 0;
            for (double t : traffic) {
                sum += t;
            }
            double dice = arrivals.nextDouble() * sum;
            int to = 0;
            while (to < traffic.length - 1 && dice >= traffic[to]) {
                dice -= traffic[to++];
            }
            instances.get(to).query();
            arrive(rate);
        });
    }

    private Result judge() {
        double worst = 0;
        double worstToN = 0;
        double allowed = 0;
        int sent = 0;
        for (Worker w : workers.values()) {
            if (w.startedAt < 0) {
                continue;
            }
            allowed += MULTIPLE * day.cores() * day.speed() * WARM_UP_S * (1 + COLD_FROM) / 2 / meanWorkS;
            ArrayDeque<Arrival> window = new ArrayDeque<>();
            double total = 0;
            double told = 0;
            for (Arrival a : w.arrivals) {
                if (a.at < w.startedAt || a.at >= w.startedAt + WARM_UP_S) {
                    continue;
                }
                window.addLast(a);
                total += a.weight;
                told += a.told ? a.weight : 0;
                sent += a.told ? 1 : 0;
                while (window.peekFirst().at <= a.at - FALL_S) {
                    Arrival gone = window.removeFirst();
                    total -= gone.weight;
                    told -= gone.told ? gone.weight : 0;
                }
                double n = MULTIPLE * FALL_S * day.cores() * day.speed() * w.warmth(a.at) / meanWorkS;
                if (3 * told > 2 * total) {
                    worst = Math.max(worst, total / (n + 2 * Math.sqrt(n) + 2));
                    worstToN = Math.max(worstToN, total / n);
                }
            }
        }
        return new Result(worst, worstToN, sent, allowed, answered / (double) Math.max(1, asked));
    }

    /** A worker: cores that take parts in turn, and a waiting room. */
    private final class Worker {
        private final String id;
        private final int cell;
        private final List<Arrival> arrivals = new ArrayList<>();
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private double startedAt = Double.NEGATIVE_INFINITY;
        private int busy;

        Worker(String id, int cell) {
            this.id = id;
            this.cell = cell;
        }

        void start() {
            startedAt = clock.now();
        }

        Endpoint listed() {
            boolean started = startedAt > 0 && day.fault() != Fault.UNDATED;
            return new Endpoint(id, 0, 0, cell, EndpointState.HEALTHY, 1, started ? startedAt : 0);
        }

        double warmth(double at) {
            return Math.min(1, COLD_FROM + (1 - COLD_FROM) * Math.max(0, at - startedAt) / WARM_UP_S);
        }

        /** Takes a part with so much work; {@code done} hears of its one end. */
        void take(double workS, Arrival arrival, java.util.function.Consumer<AttemptOutcome> done) {
            arrivals.add(arrival);
            if (waiting.size() >= ROOM_A_CORE * day.cores()) {
                done.accept(AttemptOutcome.OVERLOADED);
                return;
            }
            waiting.addLast(() -> clock.after(workS / day.speed() / warmth(clock.now()), () -> {
                busy--;
                done.accept(AttemptOutcome.OK);
                next();
            }));
            next();
        }

        private void next() {
            while (busy < day.cores() && !waiting.isEmpty()) {
                busy++;
                waiting.removeFirst().run();
            }
        }
    }

    /** A part as its instance keeps it. */
    private static final class Piece {
        private final int queryClass;
        private int attempts;

        Piece(int queryClass) {
            this.queryClass = queryClass;
        }
    }

    private record Sent(long part, int no, String worker, double at) {}

    /** One instance, its way to the workers, and what it was told. */
    private final class Instance implements SchedulerActions {
        private final Scheduler module;
        private final Map<Long, Piece> pieces = new HashMap<>();
        private final List<Sent> batch = new ArrayList<>();
        private final TreeSet<String> told = new TreeSet<>();

        Instance(int no) {
            module = Scheduler.create(settings, seed * 1009 + no * 31L + (long) clock.now(), this);
            tell();
        }

        /** Has the list as it is now; an instance that begins later knows of all starts from its first moment. */
        void tell() {
            turn(() -> {
                List<Endpoint> list = new ArrayList<>();
                for (Worker w : workers.values()) {
                    list.add(w.listed());
                    if (w.startedAt > 0) {
                        told.add(w.id);
                    }
                }
                module.onEndpointList(EndpointListKind.COMPLETE, list);
            });
        }

        void query() {
            double dice = arrivals.nextDouble();
            int c = 0;
            while (c < day.classShare().length - 1 && dice >= day.classShare()[c]) {
                dice -= day.classShare()[c++];
            }
            int queryClass = c;
            int first = arrivals.nextInt(SHARDS_A_CELL * day.workers());
            long id = nextId;
            nextId += 1000;
            asked += clock.now() >= COLD_AT ? 1 : 0;
            int count = day.parts()[queryClass];
            turn(() -> {
                double deadlineS = settings.classes().get(queryClass).deadlineS();
                module.onQuery(new QueryArrival(id, queryClass, -1, "", deadlineS, id, count));
                for (int p = 0; p < count; p++) {
                    pieces.put(id + p, new Piece(queryClass));
                    module.onPart(
                            new PartArrival(id + p, id, (first + p) % (SHARDS_A_CELL * day.workers()), 1.0 / count));
                }
            });
        }

        private void turn(Runnable events) {
            module.beginBatch(clock.now());
            events.run();
            module.endBatch();
            Map<String, List<Sent>> calls = new LinkedHashMap<>();
            for (Sent s : batch) {
                calls.computeIfAbsent(s.worker, w -> new ArrayList<>()).add(s);
            }
            batch.clear();
            calls.forEach((worker, sends) -> {
                for (int i = 0; i < sends.size(); i++) {
                    Sent s = sends.get(i);
                    double callS = i % BATCH == 0 ? day.callS() : 0;
                    clock.after(DELAY_S, () -> reach(workers.get(worker), s, callS));
                }
            });
        }

        private void reach(Worker worker, Sent sent, double callS) {
            double mean = day.workS()[pieces.get(sent.part).queryClass];
            double sigma = Math.sqrt(Math.log(1 + CV * CV));
            double workS = callS + mean * Math.exp(sigma * work.nextGaussian() - sigma * sigma / 2);
            Arrival arrival = new Arrival(clock.now(), mean / meanWorkS, told.contains(worker.id));
            worker.take(
                    workS,
                    arrival,
                    outcome -> clock.after(
                            DELAY_S,
                            () -> turn(() -> module.onAttemptResult(new AttemptResult(
                                    sent.part,
                                    sent.no,
                                    sent.worker,
                                    outcome,
                                    clock.now() - sent.at,
                                    LoadReport.NONE)))));
        }

        @Override
        public void sendAttempt(long part, String searcher, double until) {
            Piece piece = pieces.get(part);
            batch.add(new Sent(part, piece.attempts++, searcher, clock.now()));
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
        public void checkHealth(String searcher) {}

        @Override
        public void closeIdleConnections(String searcher) {}

        @Override
        public void setTimer(double afterS, String token) {
            clock.after(afterS, () -> turn(() -> module.onTimer(token)));
        }

        @Override
        public void watchEndpointList() {}

        @Override
        public void log(String text) {}
    }
}
