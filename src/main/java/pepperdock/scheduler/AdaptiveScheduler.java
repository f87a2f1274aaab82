package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The production {@link Scheduler}: passes events on to the policies and defines the order of work in a batch. It makes
 * no decisions itself; each rule is in the policy class named after it. All state is owned by the thread that calls the
 * scheduler.
 *
 * <p>At the end of a batch it requests the endpoint list if a call is due, decides the arrivals in order, checks for
 * overdue attempts, reviews each dispatched query in order of arrival, dispatches queued queries and sets the timer.
 * All policies share one source of randomness, so that the same events and seed give the same actions;
 * {@link EndpointListPoller} has its own.
 */
final class AdaptiveScheduler implements Scheduler {

    private final SchedulerContext context;
    private final SchedulerActions actions;
    private final EndpointListPoller listPoller;
    private final SweepTimer sweepTimer;
    private final FleetEstimates estimates;
    private final EndpointRegistry registry;
    private final OutlierDetector outliers;
    private final ConcurrencyLimit limit;
    private final LoadShedder shedder;
    private final TenantQuota quota;
    private final RequestFreshness freshness;
    private final RetryPolicy retries;
    private final QueryTable queries = new QueryTable();
    private final ReplicaSelector selector;
    private final AttemptResultHandler resultHandler;
    private final OverdueDetector overdueDetector;
    private final QueryFinisher finisher;
    private final DecisionGuard guard;
    private final QueryReviewer reviewer;
    private final AdmissionController admission;

    /** Queries of the open batch, which are decided once all their parts have arrived. */
    private final List<QueryState> arrivals = new ArrayList<>();

    AdaptiveScheduler(SchedulerSettings settings, long seed, SchedulerActions actions) {
        this.actions = actions;
        SplittableRandom random = new SplittableRandom(seed);
        context = new SchedulerContext(settings);
        listPoller = new EndpointListPoller(settings.pollsEndpointList(), new SplittableRandom(~seed));
        sweepTimer = new SweepTimer(actions);
        estimates = new FleetEstimates(context);
        freshness = new RequestFreshness(context);
        quota = new TenantQuota(context);
        limit = new ConcurrencyLimit(context, estimates);

        AnswerDeadlines deadlines = new AnswerDeadlines(context);
        IdleConnectionPolicy idleConnections = new IdleConnectionPolicy(context, actions);
        SlowStart slowStart = new SlowStart(context, estimates, random);
        registry = new EndpointRegistry(context, slowStart);
        outliers = new OutlierDetector(context, registry);
        shedder = new LoadShedder(context, outliers, random);
        retries = new RetryPolicy(context, outliers);
        resultHandler = new AttemptResultHandler(
                context, estimates, listPoller, outliers, idleConnections, shedder, limit, slowStart);
        overdueDetector = new OverdueDetector(context, registry, estimates, outliers, idleConnections, shedder, limit);

        HedgingPolicy hedging =
                new HedgingPolicy(context, registry, estimates, deadlines, outliers, idleConnections, shedder, retries);
        AttemptSender sender = new AttemptSender(
                context,
                actions,
                new AttemptSender.Policies(deadlines, outliers, idleConnections, limit, slowStart, retries, hedging));
        selector = new ReplicaSelector(registry, outliers, hedging, sender, random);
        finisher = new QueryFinisher(context, actions, queries);
        guard = new DecisionGuard(actions, finisher);
        CompletionPolicy completion = new CompletionPolicy(context, registry, estimates, deadlines, retries, finisher);
        reviewer = new QueryReviewer(actions, hedging, selector, completion);
        QueryDispatcher dispatcher =
                new QueryDispatcher(registry, outliers, hedging, sender, selector, reviewer, finisher);
        admission = new AdmissionController(
                context,
                estimates,
                deadlines,
                limit,
                new FanOutPolicy(context, estimates),
                completion,
                dispatcher,
                finisher);
    }

    @Override
    public void beginBatch(double now) {
        context.beginBatch(now, sweepTimer.isStalled(now, context.settings().tickS()));
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> entries) {
        switch (kind) {
            case FAILED -> {
                listPoller.onFailure(context.nowS(), context.settings().rules().maxListAgeS());
                return;
            }
            case CHANGES, COMPLETE -> listPoller.onList();
            case CACHED -> {}
        }
        registry.update(kind == EndpointListKind.CHANGES, entries);
    }

    @Override
    public void onQuery(QueryArrival arrival) {
        SchedulerSettings settings = context.settings();
        QueryClass queryClass = settings.classes().get(arrival.queryClass());
        QueryState query = new QueryState(
                arrival,
                queryClass,
                estimates.partWork().ofClass(arrival.queryClass()),
                settings.limits().maxAttempts());
        double now = context.nowS();
        double remainingS = arrival.remainingS();
        query.deadlineAtS = now + remainingS;
        query.objectiveAtS = now + Math.min(queryClass.latencyObjectiveS(), remainingS);
        query.halfTimeAtS = now + remainingS / 2;
        double alreadyWaitedS = freshness.alreadyWaitedS(arrival.queryClass(), queryClass, remainingS);
        query.firstRequestObjectiveAtS =
                Math.min(query.objectiveAtS, now + queryClass.latencyObjectiveS() - alreadyWaitedS);
        retries.onArrival();
        query.overQuota = quota.isExceededBy(arrival.tenant());
        queries.add(query);
        arrivals.add(query);
    }

    @Override
    public void onPart(PartArrival arrival) {
        retries.onArrival();
        QueryState query = queries.findBySequenceNumber(arrival.querySequenceNumber());
        if (query == null || query.ended) {
            return;
        }
        PartState part = new PartState(arrival.id(), query, arrival.shard(), arrival.weight());
        queries.add(part);
        if (query.stage == QueryState.SECOND_STAGE) {
            part.wanted = true;
        }
    }

    @Override
    public void onAttemptResult(AttemptResult result) {
        PartState part = queries.findPart(result.partId());
        if (part == null || result.attempt() >= part.attempts.size()) {
            return;
        }
        AttemptState attempt = part.attempts.get(result.attempt());
        if (attempt.outcome != null) {
            return;
        }
        attempt.outcome = result.outcome();
        attempt.endpoint.outstanding.remove(attempt);
        attempt.endpoint.lastUsedAtS = context.nowS();
        part.outstanding--;
        limit.onResult();
        boolean answersPart =
                result.outcome() == AttemptOutcome.OK && part.wanted && !part.isAnswered() && !part.query.ended;
        if (answersPart) {
            part.answeredBy = attempt;
            part.query.coverage += part.weight;
        }
        if (!part.wanted && part.outstanding == 0) {
            queries.remove(part);
        }
        // The policies learn last: whatever happens there, a part that is answered is not sent again.
        resultHandler.onResult(attempt, result.elapsedS());
        if (answersPart && context.nowS() < part.query.objectiveAtS) {
            limit.onTimelyPart();
        }
    }

    @Override
    public void onResultRetracted(long partId, int attemptNumber) {
        PartState part = queries.findPart(partId);
        if (part == null || attemptNumber >= part.attempts.size()) {
            return;
        }
        AttemptState attempt = part.attempts.get(attemptNumber);
        if (attempt.outcome == null) {
            return;
        }
        attempt.outcome = AttemptOutcome.RESET;
        if (part.answeredBy == attempt) {
            part.answeredBy = null;
            part.query.coverage -= part.weight;
        }
        resultHandler.onRetracted(attempt);
    }

    @Override
    public void onQueryCancelled(long id) {
        QueryState query = queries.find(id);
        if (query != null) {
            finisher.close(query);
        }
    }

    @Override
    public void updatePlannedShares(PlannedShares planned) {
        selector.updatePlannedShares(planned);
    }

    /**
     * Replaces the settings. Open queries keep their class and their limit on attempts; estimates kept by class start
     * anew if the classes have changed.
     */
    @Override
    public void updateSettings(SchedulerSettings settings) {
        boolean classesChanged = !settings.classes().equals(context.settings().classes());
        context.updateSettings(settings);
        retries.onSettingsUpdated();
        if (classesChanged) {
            onClassesRenumbered();
        }
    }

    @Override
    public void onClassesRenumbered() {
        freshness.reset();
        estimates.resetPartWork();
    }

    @Override
    public boolean isAvoided(String endpointId) {
        EndpointRecord endpoint = registry.find(endpointId);
        return endpoint != null && outliers.isAvoided(endpoint);
    }

    @Override
    public void onTimer(String token) {
        sweepTimer.onExpired();
    }

    /** Does nothing: endpoints are judged by their attempts alone. */
    @Override
    public void onHealthCheckResult(HealthCheckResult result) {}

    @Override
    public void endBatch() {
        SchedulerSettings settings = context.settings();
        if (listPoller.startCallIfDue(
                context.nowS(), settings.instances(), settings.rules().maxListAgeS())) {
            actions.watchEndpointList();
        }
        decideArrivals();
        if (!context.stalled()) {
            guard.run(overdueDetector::checkAll);
        }
        for (QueryState query : List.copyOf(queries.open())) {
            if (query.dispatched && !query.ended) {
                guard.run(query, reviewer::review);
            }
        }
        admission.dispatchQueued(queries, guard);
        if (!queries.isEmpty() || !listPoller.isWatching()) {
            sweepTimer.arm(context.nowS(), settings.tickS());
        }
    }

    private void decideArrivals() {
        for (QueryState query : arrivals) {
            if (!query.ended) {
                guard.run(query, this::decideArrival);
            }
        }
        arrivals.clear();
    }

    private void decideArrival(QueryState query) {
        limit.onQuery(query.parts.size());
        if (shedder.shouldReject(query)) {
            finisher.endWithoutAnswer(query);
        } else {
            admission.onArrival(query);
        }
    }

    /** Returns the number of endpoints with a record: those listed, and those removed with attempts outstanding. */
    int knownEndpointCount() {
        return registry.all().size();
    }
}
