package pepperdock.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pepperdock.estimate.DecayingCount;
import pepperdock.estimate.IdleLimit;
import pepperdock.estimate.PartWork;
import pepperdock.estimate.RetryBudget;
import pepperdock.estimate.ServiceTime;
import pepperdock.estimate.TokenBucket;
import pepperdock.estimate.WarmUpAllowance;
import pepperdock.scheduler.SchedulerState.*;

/**
 * All decisions of the root node. The interface (settings, events, actions) is in Aggregator.java, the plain
 * data in State.java. Policies propose; every send passes {@link #send}, every ending {@link #end}.
 */
final class AdaptiveScheduler implements Scheduler {

    /** f of the design: weight of queries with parts out against queries held. The paper's value. */
    private static final double F = 0.75;
    /** A part served raises the ceiling by this over the ceiling: so much for each ceilingful, as TCP. */
    private static final double RAISE = 2;
    /** What a cut leaves of the parts out; one cut per part time, as its effect shows no sooner. */
    private static final double CUT = 0.85;
    /** The ceiling is cut while the mean part takes this share of the shortest aim: searchers queue. */
    private static final double SLOW_PACE_SHARE = 0.3;
    /** From fewer parts to the fewest, as the mean part takes longer by this share of the shortest aim. */
    private static final double TRIM_RANGE = 0.2;
    /** Instances whose own ceilings see the load well enough; more see it in the time of parts alone. */
    private static final double TRIM_ALONE = 2;
    /** Arrivals are turned away at random while the mean part takes this share of the shortest aim. */
    private static final double SHED_PACE_SHARE = 0.6;
    /** A tenant's traffic beyond its share is turned away so many times as often as that within. */
    private static final double OVER_SHARE_SHED = 4;
    /** What a tenant may save up of its share: so many aims' worth, and a few queries at least. */
    private static final double SHARE_AIMS = 3;

    private static final double SHARE_LEAST = 3;
    /** Most of the arrivals turned away while parts are slow; the rest keep telling how slow. */
    private static final double SHED_MOST = 0.9;
    /** Sweep period in ticks: fine enough for time-outs, coarse enough to cost little. */
    private static final int SWEEP_TICKS = 5;
    /** A sweep late by so many periods shows that the mixer stood still. */
    private static final double STALL_SWEEPS = 4;
    /** Weight of one sample in the fleet's mean part time: some sixty parts, a few seconds of traffic. */
    private static final double PACE_GAIN = 1.0 / 64;
    /** A part is overdue after so many times what the quicker quarter takes: few sound parts take as long. */
    private static final double OVERDUE_QUARTERS = 6;
    /** At the last moment for another attempt before the aim, a part out for so many quarters gets a copy. */
    private static final double LAST_CALL_QUARTERS = 3;
    /** An answer counts as part of a failure from so many quarters on, as a whole one from twice that. */
    private static final double SLOW_QUARTERS = 3;
    /** A part at a sound searcher is sent again only after mean + this many mean deviations: it may queue. */
    private static final double DEVIATIONS = 5;
    /** Before anything was served, a part is thought to take this share of the shortest aim. */
    private static final double FIRST_PACE_SHARE = 0.15;
    /** Weight of one outcome in a searcher's badness: two failures in a row make a suspect, one does not. */
    private static final double BAD_GAIN = 0.35;
    /** Badness above which a searcher is suspect. */
    private static final double SUSPECT = 0.5;
    /** First pause before a suspect is tried again, as a share of the shortest aim; it doubles. */
    private static final double TRIAL_SHARE = 0.25;
    /** Longest such pause in aims. */
    private static final double TRIAL_MOST_AIMS = 2;
    /** Share of the cold allowance that is used; it is reckoned with one core, which leaves room besides. */
    private static final double COLD_SAFETY = 0.9;
    /** Share of what the fall window allows that instances may save up together. */
    private static final double SAVED_SHARE = 0.5;

    /** An attempt out for this share of its class's aim counts as a time-out for the ceiling. */
    private static final double LATE_SHARE = 0.5;
    /** A try under this share of the usual one is taken for a client's last, when it would have to wait. */
    private static final double SHORT_TRY = 0.9;
    /** Tries whose aim seems gone may fill this share of the ceiling: idle searchers cost nothing. */
    private static final double STALE_ROOM = 0.3;
    /** A holder is passed over when its record is worse by more than the best one's: two failures. */
    private static final double WORSE = 0.4;
    /** What having tried a part counts beside a searcher's record: more than one failure, less than two. */
    private static final double TRIED = 0.5;
    /** Weight of one outcome in the record of the way to a centre: some sixteen, part of one query. */
    private static final double WAY_GAIN = 1.0 / 16;
    /** Trials earned by a first attempt, and the most saved up so: suspects cost each query little. */
    private static final double TRIALS_SHARE = 0.007;

    private static final double TRIALS_MOST = 2;
    /** Trials earned by one that succeeds, and the most saved up so: what is well again is soon won back. */
    private static final double TRIALS_MORE = 1.5;

    private static final double TRIALS_WON = 3;
    private static final double EPS = 1e-6;

    private SchedulerSettings settings;
    private final SchedulerActions actions;
    private final SplittableRandom random;
    private final EndpointListPoller listPoller;
    private double shortestAim;
    private final Map<String, EndpointRecord> searchers = new LinkedHashMap<>();
    private final List<List<EndpointRecord>> cells = new ArrayList<>();
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Query> byNo = new HashMap<>();
    private final Map<Long, Part> parts = new HashMap<>();
    private final List<Query> arrived = new ArrayList<>();
    private final ArrayDeque<Query> waiting = new ArrayDeque<>();
    private double[] usualTry;
    private final TokenBucket[] tenantShares;
    private double now;
    private boolean sweepSet;
    private double sweepAt;
    private boolean stalled;
    private int out;
    private double ceiling = Double.POSITIVE_INFINITY;
    private double lastCut = Double.NEGATIVE_INFINITY;
    private double typicalParts;
    private final DecayingCount served = new DecayingCount();
    private final ServiceTime partTime;
    private PartWork partWork;
    private EndpointRecord lateAt;
    private double lateSince = Double.NEGATIVE_INFINITY;
    private final RetryBudget retryBudget = new RetryBudget(new RetryBudget.Stated(0, 0, 0));
    private double trials = TRIALS_MOST;
    private double anyTrialAt;
    private double fleetBad;
    private double shed;
    private final Map<Integer, ZoneRecord> ways = new LinkedHashMap<>();
    private final IdleLimit idleLimit = new IdleLimit();
    private PlannedShares planned = (shard, searcher) -> 1;

    AdaptiveScheduler(SchedulerSettings settings, long seed, SchedulerActions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
        listPoller = new EndpointListPoller(settings.pollsEndpointList(), new SplittableRandom(~seed));
        updateSettings(settings);
        partTime = new ServiceTime(shortestAim * FIRST_PACE_SHARE);
        tenantShares = new TokenBucket[settings.tenantRates().size()];
        Arrays.setAll(tenantShares, i -> new TokenBucket());
        for (int i = 0; i < settings.layout().cells(); i++) {
            cells.add(new ArrayList<>());
        }
    }

    // ---- Events ------------------------------------------------------------

    @Override
    public void beginBatch(double now) {
        this.now = now;
        // A sweep that comes late means that this mixer stood still: what is late now is its own lateness.
        stalled = sweepSet && now > sweepAt + STALL_SWEEPS * SWEEP_TICKS * settings.tickS();
    }

    @Override
    public void onQuery(QueryArrival arrival) {
        int classNo = arrival.queryClass();
        double remainingS = arrival.remainingS();
        QueryClass c = settings.classes().get(classNo);
        Query q = new Query(
                arrival.id(),
                arrival.sequenceNumber(),
                classNo,
                c,
                settings.limits().maxAttempts());
        q.endAt = now + remainingS;
        q.aimAt = now + Math.min(c.latencyObjectiveS(), remainingS);
        q.halfAt = now + remainingS / 2;
        // A try clearly shorter than usual is thought cut by the deadline: its client has waited the rest.
        double usual = usualTry[classNo] == 0 ? remainingS : usualTry[classNo];
        usualTry[classNo] = usual + PACE_GAIN * (remainingS - usual);
        double spent = remainingS < SHORT_TRY * usual ? c.deadlineS() - remainingS : 0;
        q.freshUntil = Math.min(q.aimAt, now + c.latencyObjectiveS() - spent);
        retryBudget.take(now);
        q.overShare = beyondShare(arrival.tenant());
        queries.put(q.id, q);
        byNo.put(q.no, q);
        arrived.add(q);
    }

    @Override
    public void onPart(PartArrival arrival) {
        retryBudget.take(now);
        Query q = byNo.get(arrival.querySequenceNumber());
        if (q == null || q.ended) {
            return;
        }
        Part p = new Part(arrival.id(), q, arrival.shard(), arrival.weight());
        q.parts.add(p);
        parts.put(p.id, p);
        if (q.step == 2) {
            p.wanted = true;
        }
    }

    @Override
    public void onAttemptResult(AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        int no = result.attempt();
        Part p = parts.get(result.partId());
        if (p == null || no >= p.attempts.size() || p.attempts.get(no).outcome != null) {
            return;
        }
        Attempt a = p.attempts.get(no);
        a.outcome = outcome;
        a.searcher.open.remove(a);
        a.searcher.usedAt = now;
        p.out--;
        out--;
        judge(a, result.elapsedS());
        if (outcome == AttemptOutcome.OK && p.wanted && !p.in && !p.query.ended) {
            p.in = true;
            p.query.in += p.weight;
            if (now < p.query.aimAt) {
                ceiling += Math.min(1, RAISE / ceiling);
            }
        }
        if (!p.wanted && p.out == 0) {
            parts.remove(p.id);
        }
    }

    @Override
    public void onQueryCancelled(long id) {
        Query q = queries.get(id);
        if (q != null) {
            forget(q);
        }
    }

    @Override
    public void updatePlannedShares(PlannedShares planned) {
        this.planned = planned;
    }

    /** Queries in hand keep their class and attempts; how long clients of others wait is learnt anew. */
    @Override
    public void updateSettings(SchedulerSettings now) {
        boolean otherClasses = settings == null || !now.classes().equals(settings.classes());
        settings = now;
        retryBudget.stated(statedBudget(now.rules()));
        shortestAim = now.classes().stream()
                .mapToDouble(QueryClass::latencyObjectiveS)
                .min()
                .orElseThrow();
        if (otherClasses) {
            usualTry = new double[now.classes().size()];
            partWork = new PartWork(usualTry.length, shortestAim * FIRST_PACE_SHARE);
        }
    }

    private static RetryBudget.Stated statedBudget(ProtocolRules rules) {
        return new RetryBudget.Stated(rules.retryBudgetWindowS(), rules.retryBudgetFree(), rules.retryBudgetShare());
    }

    @Override
    public boolean isAvoided(String searcher) {
        EndpointRecord s = searchers.get(searcher);
        if (s == null || !suspect(s)) {
            return false;
        }
        return s.call == null || now - s.call.sentAt > TRIAL_MOST_AIMS * shortestAim;
    }

    @Override
    public void onTimer(String token) {
        sweepSet = false;
    }

    @Override
    public void onHealthCheckResult(HealthCheckResult result) {}

    @Override
    public void endBatch() {
        if (listPoller.callDue(now, settings.instances(), settings.rules().maxListAgeS())) {
            actions.watchEndpointList();
        }
        for (Query q : arrived) {
            if (!q.ended) {
                arrive(q);
            }
        }
        arrived.clear();
        if (!stalled) {
            lookForOverdue();
        }
        for (Query q : List.copyOf(queries.values())) {
            if (q.sent && !q.ended) {
                review(q);
            }
        }
        admit();
        if (!sweepSet && (!queries.isEmpty() || !listPoller.isWatching())) {
            sweepSet = true;
            sweepAt = now + SWEEP_TICKS * settings.tickS();
            actions.setTimer(SWEEP_TICKS * settings.tickS(), "sweep");
        }
    }

    // ---- Ordinary path ------------------------------------------------------------

    private void arrive(Query q) {
        typicalParts += (q.parts.size() - typicalParts) * (typicalParts == 0 ? 1 : PACE_GAIN);
        // The ceiling's least, over many instances, is more than a fleet serves in time; arrivals must thin.
        if (shed > 0 && random.nextDouble() < shed * (q.overShare ? OVER_SHARE_SHED : 1)) {
            end(q, false);
            return;
        }
        boolean stale = now + partTime.meanS() > q.freshUntil;
        if (waiting.isEmpty() && out < (stale ? STALE_ROOM : 1) * ceiling) {
            dispatch(q, trimmed(q));
        } else if (now + expectedWait(q) + cautiousPartS() > q.freshUntil - margin()) {
            end(q, false);
        } else {
            waiting.addLast(q);
        }
    }

    /**
     * Whether a tenant is beyond this instance's part of its share, in tokens that come at the share's rate.
     * Acts only while arrivals are turned away; harms where the front spreads a tenant unevenly.
     */
    private boolean beyondShare(int tenant) {
        if (tenant < 0 || tenant >= tenantShares.length || settings.overQuotaWeight() >= 1) {
            return false;
        }
        double rate = settings.tenantRates().get(tenant) / settings.instances();
        double most = Math.max(SHARE_LEAST, rate * SHARE_AIMS * shortestAim);
        return !tenantShares[tenant].take(now, rate, most);
    }

    /** What a part takes, with its mean deviation on top. */
    private double cautiousPartS() {
        return partTime.meanS() + partTime.deviationS();
    }

    /** How long the queries held take to leave at their floors, one part for each one served. */
    private double expectedWait(Query q) {
        int ahead = fewest(q) + waiting.stream().mapToInt(this::fewest).sum();
        return shortestAim * ahead / Math.max(1, served.at(now, shortestAim));
    }

    /** Lets head queries leave while the ceiling has room; each one's count is worked out as it leaves. */
    private void admit() {
        for (Query q : waiting) {
            if (!q.ended && (now + cautiousPartS() > q.aimAt - margin() || unreached(q))) {
                end(q, false);
            }
        }
        waiting.removeIf(q -> q.ended);
        while (!waiting.isEmpty() && out < ceiling) {
            Query head = waiting.removeFirst();
            long running = queries.values().stream().filter(q -> q.sent).count();
            int count = (int) Math.max(1, Math.ceil(ceiling / (waiting.size() + 1 + F * running)));
            dispatch(head, Math.max(fewest(head), Math.min(count, head.parts.size())));
        }
    }

    /**
     * The count of a query that need not wait here: all its parts, fewer as parts take long, since then
     * queries wait at the searchers. Each of few instances has queries that wait here, which the ceiling
     * trims; one of many sees a query now and then, and learns of the load in no other way.
     */
    private int trimmed(Query q) {
        double from = SLOW_PACE_SHARE * (1 + TRIM_ALONE / settings.instances());
        double over = (partTime.meanS() / shortestAim - from) / TRIM_RANGE;
        return over <= 0
                ? q.parts.size()
                : Math.max(fewest(q), (int) Math.ceil((1 - Math.min(1, over)) * q.parts.size()));
    }

    /** Pmin: the fewest parts, heaviest first, whose weight reaches the class's floor. */
    private int fewest(Query q) {
        List<Part> sorted = heaviestFirst(q);
        int count = 0;
        for (double sum = 0; count < sorted.size() && sum < kind(q).minimumCoverage() - EPS; count++) {
            sum += sorted.get(count).weight;
        }
        return count;
    }

    private static List<Part> heaviestFirst(Query q) {
        return q.parts.stream()
                .sorted(Comparator.comparingDouble(p -> -p.weight))
                .toList();
    }

    /**
     * Sends so many parts, heaviest first. Those without a fit holder are left out as far as the floor
     * allows; a query that cannot spare them is refused while most searchers are sound, as more would keep
     * the jam. Guards against sets that are bad for this mixer but one crowded holder, against jams that
     * outlast their cause, and outages of all holders; harms, until a trial, when suspicion is out of date.
     */
    private void dispatch(Query q, int count) {
        int left = count;
        double spareable = 1 - kind(q).minimumCoverage();
        double unfit = q.parts.stream()
                .filter(p -> holders(p.shard).stream().noneMatch(s -> fit(s) || answers(s) || s.errs))
                .mapToDouble(p -> p.weight)
                .sum();
        if (unfit > spareable + EPS && mostAreSound()) {
            end(q, false);
            return;
        }
        q.sent = true;
        for (Part p : heaviestFirst(q)) {
            p.wanted = left > 0;
            if (p.weight <= spareable && holders(p.shard).stream().noneMatch(s -> allowed(p, s) && fit(s))) {
                spareable -= p.weight;
                p.wanted = false;
            } else if (left-- > 0 && propose(p) && copies(p)) {
                tryWithCopy(p);
            }
        }
        review(q);
    }

    /** Looks at every searcher: asked for only where a query can't spare its unfit parts. */
    private boolean mostAreSound() {
        long usable = searchers.values().stream().filter(s -> s.usable).count();
        long suspects =
                searchers.values().stream().filter(s -> s.usable && suspect(s)).count();
        return 2 * suspects < usable;
    }

    /**
     * Proposes an attempt at the replica with fewest own parts out over its planned share, ties by the seed,
     * among those whose record is not clearly worse than the best holder's; the margin grows with the best
     * one's record, which is less sure the worse it is. Where all are alike none is passed over, so trouble
     * that is shared does not crowd a few; it harms when the best holder is good by luck only.
     */
    private boolean propose(Part p) {
        List<EndpointRecord> open =
                holders(p.shard).stream().filter(s -> allowed(p, s)).toList();
        double least = open.stream().mapToDouble(s -> standing(s, p)).min().orElse(0);
        EndpointRecord best = null;
        int ties = 0;
        for (EndpointRecord s : open) {
            if (standing(s, p) > least + WORSE * (1 + 2 * least)) {
                if (!copies(p) && p.attempts.isEmpty() && trialDue(s)) {
                    return send(p, s);
                }
            } else if (best == null || load(s, p) < load(best, p)) {
                best = s;
                ties = 1;
            } else if (load(s, p) == load(best, p) && random.nextInt(++ties) == 0) {
                best = s;
            }
        }
        return best != null && send(p, best);
    }

    /** Own calls out at a searcher; parts that share a call count once. */
    private static long calls(EndpointRecord s) {
        return s.out() < 2
                ? s.out()
                : s.open.stream().map(a -> a.call).distinct().count();
    }

    private double load(EndpointRecord s, Part p) {
        return calls(s) / planned.shareOf(p.shard, s.id);
    }

    private boolean joins(EndpointRecord s) {
        return s.call != null
                && s.call.sentAt == now
                && s.call.parts < settings.layout().maxPartsPerCall();
    }

    /** The record of a searcher as far as it concerns a part: the lower the better. */
    private double standing(EndpointRecord s, Part p) {
        boolean triedBefore = p.attempts.stream().anyMatch(a -> a.searcher == s);
        return record(s) + (triedBefore ? TRIED : 0) + (s.dead ? 1 : 0);
    }

    private List<EndpointRecord> holders(int shard) {
        List<EndpointRecord> found = new ArrayList<>();
        for (int j = 0; j < settings.layout().replicasPerShard(); j++) {
            found.addAll(cells.get((shard + j) % settings.layout().cells()));
        }
        return found;
    }

    /** The ceiling comes down to the parts out, but never below two whole queries' parts. */
    private void cut() {
        if (now - lastCut > partTime.meanS()) {
            lastCut = now;
            ceiling = Math.max(CUT * Math.min(out, ceiling), 2 * typicalParts);
        }
    }

    // ---- Send gate ------------------------------------------------------------

    /** The one way out for an attempt. */
    private boolean send(Part p, EndpointRecord s) {
        if (!allowed(p, s)) {
            return false;
        }
        if (!p.attempts.isEmpty()) {
            retryBudget.further(now, toldFailure(p));
        } else {
            retryBudget.first(p.query.parts.size());
            trials = Math.max(trials, Math.min(TRIALS_MOST, trials + TRIALS_SHARE));
        }
        if (cold(s)) {
            s.warmUp.send(partWork.of(p.query.classNo));
        }
        if (!joins(s)) {
            s.call = new Call(now, connect(s));
        }
        s.call.parts++;
        Attempt a = new Attempt(p, p.attempts.size(), s, s.call);
        if (record(s) > WORSE && !lastResort(p, s)) {
            a.trial = true;
            trials = Math.max(0, trials - 1);
            anyTrialAt = now + shortestAim * TRIAL_MOST_AIMS;
            postponeTrial(s);
            way(s).trialAt = anyTrialAt;
        }
        p.attempts.add(a);
        s.open.add(a);
        p.out++;
        out++;
        actions.sendAttempt(p.id, s.id, worthUntil(p.query));
        return true;
    }

    /**
     * How long the connection of a call has stood idle, 0 where it is in use or new. Closes it first where
     * its last call stayed unanswered, or where idle ones were found dropped unseen: guards against whatever
     * forgets idle connections, for a handshake. Harms where new connections fail, which ends it.
     */
    private double connect(EndpointRecord s) {
        double idle = s.out() == 0 && s.usedAt > Double.NEGATIVE_INFINITY ? now - s.usedAt : 0;
        if (idle > 0 && (s.mute || idle > idleLimit.seconds(now, shortestAim))) {
            s.mute = false;
            actions.closeIdleConnections(s.id);
            return 0;
        }
        return idle;
    }

    /** A call after idleness was answered, or not: where many were not, the connections are to blame. */
    private void noteIdle(Attempt a, boolean silent) {
        Call call = a.call;
        if (call.idle > 0 && !call.told && (!silent || a.searcher.lastOk < a.sentAt)) {
            call.told = true;
            idleLimit.add(call.idle, silent, now, shortestAim);
        }
    }

    /** Unanswered on a connection that stood idle while such are dropped unseen: not the searcher's fault. */
    private boolean cutOff(Attempt a) {
        return a.call.idle > idleLimit.seconds(now, shortestAim) && a.searcher.lastOk < a.sentAt;
    }

    private boolean allowed(Part p, EndpointRecord s) {
        Query q = p.query;
        return !q.ended
                && !p.in
                && p.wanted
                && s.usable
                && now < worthUntil(q)
                && p.attempts.size() < p.query.maxAttempts
                && (p.out == 0 || copies(p) && s.open.stream().noneMatch(a -> a.part == p))
                && repeatable(p)
                && coldRoom(s)
                && (p.attempts.isEmpty()
                        || retryBudget.allows(now, toldFailure(p))
                                && (!suspect(s) || now >= s.trialAt || lastResort(p, s)));
    }

    /**
     * One that errs while no holder is fit: an error costs a call, and the next attempt may be served. Guards
     * against refusals where the sound holder is drained or taken out; harms where its errors are a jam's.
     */
    private boolean lastResort(Part p, EndpointRecord s) {
        return s.errs && holders(p.shard).stream().noneMatch(this::fit);
    }

    private QueryClass kind(Query q) {
        return q.kind;
    }

    /** Rule 2: unsafe parts only when no attempt can have run, keyed ones while repeats are recognised. */
    private boolean repeatable(Part p) {
        return switch (kind(p.query).retrySafety()) {
            case IDEMPOTENT -> true;
            case NOT_IDEMPOTENT -> p.attempts.stream().noneMatch(AdaptiveScheduler::mayHaveRun);
            case IDEMPOTENCY_KEY ->
                p.attempts.stream()
                        .filter(AdaptiveScheduler::mayHaveRun)
                        .findFirst()
                        .map(a -> now <= a.sentAt + kind(p.query).idempotencyWindowS())
                        .orElse(true);
        };
    }

    private static boolean mayHaveRun(Attempt a) {
        return a.outcome == null || !a.outcome.neverExecuted();
    }

    /** The last attempt was answered with a failure, so another adds little work to the first. */
    private static boolean toldFailure(Part p) {
        AttemptOutcome last = p.attempts.get(p.attempts.size() - 1).outcome;
        return last == AttemptOutcome.ERROR || last == AttemptOutcome.RESET || last != null && last.neverExecuted();
    }

    private boolean cold(EndpointRecord s) {
        return settings.rules().warmUpOverloadWindowS() > 0
                && now < s.coldSince + settings.rules().warmUpS();
    }

    /**
     * A searcher that started then, as is known from now on. A sole instance, or one that may save up, sends
     * at once; else its turns are drawn anew.
     */
    private void startsCold(EndpointRecord s, double since) {
        s.coldSince = since;
        boolean atOnce = settings.instances() == 1 || mostSaved(s) > 0;
        double overdrawn = atOnce ? -mostSaved(s) : random.nextDouble() * partWork.mean();
        s.warmUp = new WarmUpAllowance(now, coldRate(s), overdrawn);
    }

    /**
     * Rule 4: the work sent stays within this instance's part of the cold allowance. Where that is less than
     * one part in the fall window, an instance waits for its turn, drawn from the seed: all learn of a
     * restart together.
     */
    private boolean coldRoom(EndpointRecord s) {
        return !cold(s) || s.warmUp.allows(now, coldRate(s), mostSaved(s));
    }

    /**
     * What may be saved up, 0 where instances are many: a share of what the fall window allows, and so much
     * that all of them, sending at once and one part more each, stay within its slack, 2 root N + 2.
     */
    private double mostSaved(EndpointRecord s) {
        double fleet = coldRate(s) * settings.instances() * settings.rules().warmUpOverloadWindowS();
        double slack = 2 * Math.sqrt(fleet * partWork.least()) + 2 * partWork.least();
        double together = Math.min(slack, SAVED_SHARE * fleet);
        return Math.max(0, together / settings.instances() - partWork.most());
    }

    /** This instance's part of the work a second that a cold searcher is allowed now. */
    private double coldRate(EndpointRecord s) {
        ProtocolRules r = settings.rules();
        double share =
                r.warmUpInitialShare() + (1 - r.warmUpInitialShare()) * Math.max(0, now - s.coldSince) / r.warmUpS();
        return COLD_SAFETY * r.warmUpOverloadMultiple() * Math.min(1, share) / settings.instances();
    }

    // ---- Health ------------------------------------------------------------

    /** Suspect: dead, or clearly worse than the fleet is at present. */
    private boolean suspect(EndpointRecord s) {
        return s.dead || record(s) > Math.max(SUSPECT, fleetBad + WORSE);
    }

    /**
     * A searcher's own record, or that of the way to its centre if worse and it has not answered in time
     * since the way went bad. Guards against cut, slow and lossy links between centres, found after part of
     * one query and not host by host; told from bad searchers as those of other centres answer. Harms for
     * the time of a trial when many searchers of one centre fail by themselves.
     */
    private double record(EndpointRecord s) {
        return s.timelySent < way(s).badSince ? Math.max(s.bad, way(s).bad) : s.bad;
    }

    private ZoneRecord way(EndpointRecord s) {
        return ways.computeIfAbsent(s.zone, z -> new ZoneRecord());
    }

    /** Fit for a part that can be left out: sound, or due for a trial. */
    private boolean fit(EndpointRecord s) {
        return !suspect(s) || trialDue(s);
    }

    /**
     * Served a part within the last aim: no ground to refuse unsent what it alone may serve. Guards against
     * refusals beside one replica that fails now and then and one that is a little slow; harms, for an aim at
     * most, where both have just gone silent.
     */
    private boolean answers(EndpointRecord s) {
        return !s.dead && now - s.lastOk < shortestAim;
    }

    private boolean trialDue(EndpointRecord s) {
        double due = way(s).bad > WORSE ? Math.max(s.trialAt, way(s).trialAt) : s.trialAt;
        return s.open.stream().allMatch(a -> a.overdue) && now >= due && (trials >= 1 || now >= anyTrialAt);
    }

    private boolean copies(Part p) {
        return settings.limits().hedging() && kind(p.query).retrySafety() == RetrySafety.IDEMPOTENT;
    }

    /** Where copies may run, a suspect is tried with one, so that the trial risks no query. */
    private void tryWithCopy(Part p) {
        for (EndpointRecord s : holders(p.shard)) {
            if (p.out == 1 && record(s) > WORSE && trialDue(s)) {
                send(p, s);
            }
        }
    }

    private void postponeTrial(EndpointRecord s) {
        double longer = Math.max(2 * s.backOff, shortestAim * TRIAL_SHARE);
        s.backOff = Math.min(longer, shortestAim * TRIAL_MOST_AIMS);
        s.trialAt = now + s.backOff;
    }

    private void worsen(EndpointRecord s, boolean fatal) {
        boolean before = suspect(s);
        note(s, 1);
        if (fatal) {
            s.bad = 1;
            s.dead = true;
        }
        if (!before && suspect(s)) {
            s.backOff = 0;
            postponeTrial(s);
        }
    }

    /** Takes one outcome, 1 for a failure, into the records of the searcher, the way to it, and the fleet. */
    private void note(EndpointRecord s, double failed) {
        s.bad += BAD_GAIN * (failed - s.bad);
        fleetBad += PACE_GAIN * (Math.floor(failed) - fleetBad);
        ZoneRecord w = way(s);
        boolean before = w.bad > WORSE;
        w.bad += WAY_GAIN * (Math.floor(failed) - w.bad);
        if (!before && w.bad > WORSE) {
            w.badSince = now;
        }
    }

    /** Takes an outcome into the searcher's record and the fleet's pace. */
    private void judge(Attempt a, double spentS) {
        EndpointRecord s = a.searcher;
        if (a.outcome != AttemptOutcome.OK && a.overdue && s.lastOk < a.sentAt) {
            s.mute = true;
            if (cutOff(a)) {
                s.bad = 0;
                s.dead = false;
            }
        }
        s.errs = a.outcome == AttemptOutcome.ERROR || s.errs && a.outcome == AttemptOutcome.CANCELLED;
        switch (a.outcome) {
            case OK -> {
                s.mute = false;
                noteIdle(a, false);
                boolean ownLateness = stalled && spentS > partTime.lowerQuartileS();
                if (!ownLateness) {
                    learnPace(a, spentS);
                }
                boolean longGone = !listPoller.isWatching() && now - s.lastOk > 2 * shortestAim;
                s.lastOk = now;
                served.add(1, now, shortestAim);
                if (s.dead && longGone && !cold(s)) {
                    startsCold(s, now - spentS);
                }
                s.dead = false;
                if (!a.overdue && !ownLateness) {
                    note(s, Math.max(0, Math.min(1, spentS / partTime.lowerQuartileS() / SLOW_QUARTERS - 1)));
                    s.timelySent = a.sentAt;
                    if (a.trial) {
                        way(s).trialAt = now;
                        trials = Math.min(TRIALS_WON, trials + TRIALS_MORE);
                    }
                }
            }
            case OVERLOADED -> {
                shed(s, 1);
                s.bad = Math.max(s.bad, SUSPECT);
                worsen(s, false);
                cut();
            }
            case ERROR, RESET -> worsen(s, false);
            case CONNECT_FAILED -> {
                idleLimit.forget();
                worsen(s, true);
            }
            case TIMEOUT, CANCELLED, NOT_SENT -> {}
        }
    }

    private void learnPace(Attempt a, double spentS) {
        partTime.add(spentS, a.part.query.parts.size());
        partWork.add(a.part.query.classNo, spentS);
        if (partTime.meanS() > SLOW_PACE_SHARE * shortestAim) {
            cut();
        }
        shed(a.searcher, spentS / (SHED_PACE_SHARE * shortestAim) - 1);
    }

    /** Moves the share of arrivals turned away by how much too long a part of a sound searcher took. */
    private void shed(EndpointRecord s, double over) {
        if (!suspect(s)) {
            shed = Math.max(0, Math.min(SHED_MOST, shed + PACE_GAIN * Math.min(1, over)));
        }
    }

    /**
     * Reckoned from the quicker quarter, which stays true while up to three quarters of the searchers, or of
     * the ways to them, are slow; a mean follows them and calls nothing overdue. Under overload the quarter
     * queues too.
     */
    private double overdueAfter() {
        return OVERDUE_QUARTERS * partTime.lowerQuartileS();
    }

    /** Overdue attempts count against their searcher; silence since the send while it is overdue is fatal. */
    private void lookForOverdue() {
        double after = overdueAfter();
        double lostAfter = Math.max(after, partTime.meanS() + DEVIATIONS * partTime.deviationS());
        for (EndpointRecord s : searchers.values()) {
            for (Attempt a : s.open) {
                if (!a.overdue && now - a.sentAt > after) {
                    a.overdue = true;
                    s.errs = false;
                    noteIdle(a, true);
                    if (!cutOff(a)) {
                        worsen(s, false);
                    }
                }
                if (cutOff(a)) {
                    continue;
                }
                if (!a.lost && now - a.sentAt > lostAfter) {
                    a.lost = true;
                    shed(s, 1);
                    worsen(s, false);
                }
                boolean othersServed = s.lastOk < a.sentAt && served.updatedAt() > a.sentAt;
                if (!s.dead && othersServed && now - a.sentAt > 2 * after) {
                    worsen(s, true);
                }
                if (now - a.sentAt > LATE_SHARE * kind(a.part.query).latencyObjectiveS()) {
                    late(s);
                }
            }
        }
    }

    /** The ceiling's cut test: late parts at two replicas within one aim. */
    private void late(EndpointRecord s) {
        if (lateAt != null && lateAt != s && now - lateSince < shortestAim) {
            cut();
        }
        lateAt = s;
        lateSince = now;
    }

    // ---- Further attempts ------------------------------------------------------------

    /** Keeps a query's parts going, and ends it when that pays. */
    private void review(Query q) {
        for (Part p : q.parts) {
            if (p.wanted && !p.in) {
                further(p);
            }
        }
        if (reachable(q) < kind(q).minimumCoverage() - EPS) {
            for (Part p : heaviestFirst(q)) {
                if (!p.wanted && reachable(q) < kind(q).minimumCoverage() - EPS) {
                    p.wanted = true;
                    propose(p);
                }
            }
        }
        settle(q);
    }

    private void further(Part p) {
        if (now + partTime.meanS() > worthUntil(p.query)) {
            return;
        }
        if (p.out == 0) {
            propose(p);
            return;
        }
        double worthUntil = worthUntil(p.query);
        double mark = now < p.query.aimAt ? Math.min(p.query.aimAt - margin(), worthUntil) : worthUntil;
        double left = mark - now - cautiousPartS();
        if (p.out > 1 || left < 0) {
            return;
        }
        Attempt last = p.attempts.get(p.attempts.size() - 1);
        boolean cutOff = last.overdue && cutOff(last);
        boolean lastChance = left < 2 * SWEEP_TICKS * settings.tickS();
        boolean lastCall = retryBudget.isStated()
                && shed == 0
                && copies(p)
                && lastChance
                && now < p.query.aimAt
                && now - last.sentAt > LAST_CALL_QUARTERS * partTime.lowerQuartileS();
        boolean lost = last.lost || last.overdue && suspect(last.searcher) || cutOff || lastCall;
        if (last.outcome != null
                || !lost
                || last.calledOff
                || !retryBudget.allows(now, toldFailure(p))
                || p.attempts.size() >= p.query.maxAttempts) {
            return;
        }
        if (copies(p) && !cutOff) {
            propose(p);
        } else if (settings.limits().cancellation()
                && kind(p.query).retrySafety() == RetrySafety.IDEMPOTENT
                && (cutOff || holders(p.shard).stream().anyMatch(s -> !suspect(s) && s != last.searcher))) {
            last.calledOff = true;
            actions.cancelAttempt(p.id, last.no);
        }
    }

    /** Weight that is in or can still come from the wanted parts. */
    private double reachable(Query q) {
        return q.parts.stream()
                .filter(p -> p.in
                        || p.wanted
                                && (p.out > 0
                                        || p.attempts.size() < p.query.maxAttempts
                                                && repeatable(p)
                                                && !holders(p.shard).isEmpty()))
                .mapToDouble(p -> p.weight)
                .sum();
    }

    // ---- Answers and refusals ------------------------------------------------------------

    private double margin() {
        return (SWEEP_TICKS + 3) * settings.tickS();
    }

    /** Until when an answer to the query is worth anything. */
    private double worthUntil(Query q) {
        return (kind(q).lateAnswerWeight() > 0 ? q.endAt : Math.min(q.aimAt, q.endAt)) - margin();
    }

    /** The moment to answer: whole, or at the aim from the floor, or when nothing more can come. */
    private void settle(Query q) {
        QueryClass c = kind(q);
        if (q.step == 2 && q.parts.isEmpty() && now < worthUntil(q)) {
            return;
        }
        boolean all = q.parts.stream().allMatch(p -> p.in);
        if (q.step == 1 ? q.in >= c.completeCoverage() - EPS : all && !q.parts.isEmpty()) {
            answer(q, q.step == 1 || q.firstWhole);
            return;
        }
        double floor = c.minimumCoverage() < c.completeCoverage()
                ? c.minimumCoverage()
                : q.step == 1 ? c.completeCoverage() : 1;
        boolean enough = q.in >= floor - EPS;
        boolean twoSteps = q.step == 1 && c.secondStageParts() > 0;
        double secondStep = twoSteps ? partTime.meanS() + 2 * partTime.deviationS() : 0;
        boolean pending = q.parts.stream()
                .anyMatch(p -> p.wanted && !p.in && (p.out > 0 || p.attempts.size() < p.query.maxAttempts));
        if (enough && (now >= Math.min(q.aimAt, q.endAt) - margin() - secondStep || !pending)) {
            answer(q, false);
        } else if (now >= worthUntil(q) || reachable(q) < floor - EPS || unreached(q)) {
            end(q, enough);
        }
    }

    /** Half its time is gone and nobody was reached: refused while its client can still turn elsewhere. */
    private boolean unreached(Query q) {
        return now >= q.halfAt - margin()
                && q.parts.stream()
                        .flatMap(p -> p.attempts.stream())
                        .allMatch(a ->
                                a.outcome == AttemptOutcome.CONNECT_FAILED || a.outcome == AttemptOutcome.NOT_SENT);
    }

    private void answer(Query q, boolean whole) {
        actions.answerQuery(q.id, whole);
        if (q.step == 1 && kind(q).secondStageParts() > 0) {
            q.firstWhole = whole;
            q.step = 2;
            q.in = 0;
            callOff(q);
            q.parts = new ArrayList<>();
        } else {
            forget(q);
        }
    }

    /** The one ending without an answer: refused where a repeat is harmless, else failed. */
    private void end(Query q, boolean enough) {
        if (enough) {
            answer(q, false);
            return;
        }
        boolean harmless = kind(q).retrySafety() == RetrySafety.IDEMPOTENT
                || q.parts.stream().flatMap(p -> p.attempts.stream()).noneMatch(AdaptiveScheduler::mayHaveRun);
        if (harmless) {
            actions.rejectQuery(q.id, settings.limits().maxRetryAfterS());
        } else {
            actions.failQuery(q.id);
        }
        forget(q);
    }

    private void forget(Query q) {
        q.ended = true;
        queries.remove(q.id);
        byNo.remove(q.no);
        callOff(q);
    }

    private void callOff(Query q) {
        for (Part p : q.parts) {
            p.wanted = false;
            for (Attempt a : p.attempts) {
                if (a.outcome == null && !a.calledOff && settings.limits().cancellation()) {
                    a.calledOff = true;
                    actions.cancelAttempt(p.id, a.no);
                }
            }
            if (p.out == 0) {
                parts.remove(p.id);
            }
        }
    }

    // ---- List following ------------------------------------------------------------

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.CACHED) {
            if (kind == EndpointListKind.FAILED) {
                listPoller.onFailure(now, settings.rules().maxListAgeS());
                return;
            }
            listPoller.onList();
        }
        if (kind != EndpointListKind.CHANGES) {
            searchers.values().forEach(s -> {
                s.usable = false;
                s.listed = false;
            });
        }
        for (Endpoint e : entries) {
            EndpointRecord s = searchers.computeIfAbsent(e.id(), EndpointRecord::new);
            s.usable = e.state() == EndpointState.HEALTHY;
            s.listed = e.state() != EndpointState.REMOVED;
            s.zone = e.zone();
            s.cell = Math.floorMod(e.cell(), settings.layout().cells());
            if (e.startedAtS() > 0 && e.startedAtS() > s.coldSince) {
                startsCold(s, e.startedAtS());
            }
        }
        // Whoever is gone has a new id when it is back: kept, they would fill a long day's memory.
        searchers.values().removeIf(s -> !s.listed && s.open.isEmpty());
        cells.forEach(List::clear);
        for (EndpointRecord s : searchers.values()) {
            if (s.usable) {
                cells.get(s.cell).add(s);
            }
        }
    }

    /** How many searchers it keeps a record of: those listed, and those gone with parts still out. */
    int searchersKnown() {
        return searchers.size();
    }
}
