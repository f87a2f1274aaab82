package pepperdock.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjDoubleConsumer;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.AttemptResult;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.HealthCheckResult;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.PartArrival;
import pepperdock.scheduler.PlannedShares;
import pepperdock.scheduler.QueryArrival;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerActions;
import pepperdock.scheduler.SchedulerSettings;

/**
 * The core: feeds the module with what happens, in batches, and carries out what it decides. Deals in queries, parts,
 * attempts and outcomes only. Every method runs on the one thread of its {@link Clock}.
 */
public final class Gatherer implements SchedulerActions {

    private static final System.Logger LOG = System.getLogger("pepperdock.core");
    /** Past a query's time by so much the core answers for the module: within the rules' slack, after its own sweep. */
    private static final double GUARD_S = 0.005;
    /** One of so many has no part worth speaking of. */
    private static final int HANDED_OVER = 1000;
    /** Ids of workers are remembered so long once the list has them no more, and so many; on long days they are always new. */
    private static final double GONE_S = 3600;

    private static final int GONE_MOST = 4096;

    private SchedulerSettings settings;
    /** Processes that this one is thought to be one of, as far as what they may do together goes. */
    private int processes = 1;
    /** In the order of the settings; a class beyond them goes by its number. */
    private List<String> classNames = List.of();

    private final Clock clock;
    private final Backend backend;
    private final EndpointDiscovery discovery;
    private final Scheduler module;
    private final LogRateLimiter endings;
    private final LogRateLimiter refusals;
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Part> parts = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final Map<String, WorkerEndpoint> hosts = new LinkedHashMap<>();
    /** Workers taken out by hand, whatever the list says of them. */
    private final Set<String> bannedEndpoints = new LinkedHashSet<>();
    /** Ids that have stood in the list, and when they left it, in that order. */
    private final Map<String, Double> gone = new LinkedHashMap<>();

    private final Metrics metrics = new Metrics();
    private final Map<String, List<Attempt>> sends = new LinkedHashMap<>();
    private List<Runnable> inbox = new ArrayList<>();
    private boolean closing;
    private boolean ending;
    private boolean scheduled;
    private double lastClose = Double.NEGATIVE_INFINITY;
    private long nextId = 1;
    private long nextNo = 1;
    private int held;
    private Consumer<Collection<WorkerEndpoint>> addEndpointListListener = hosts -> {};
    private ObjDoubleConsumer<Attempt> setServedAttemptListener = (attempt, spentS) -> {};

    public Gatherer(SchedulerSettings settings, long seed, Clock clock, Backend backend, EndpointDiscovery discovery) {
        this.settings = settings;
        this.clock = clock;
        this.backend = backend;
        this.discovery = discovery;
        module = Scheduler.create(settings, seed, this);
        setClassNames(List.of());
        endings = new LogRateLimiter(LOG, clock, "queries refused, failed or left");
        refusals = new LogRateLimiter(LOG, clock, "queries refused at the door");
    }

    // ---- Settings and figures ------------------------------------------------------------

    /** Names the classes of the settings in force, in their order, for the figures. */
    public void setClassNames(List<String> names) {
        classNames = List.copyOf(names);
        for (int i = 0; i < settings.classes().size(); i++) {
            metrics.addClass(className(i));
        }
    }

    /**
     * Other classes, and other attempts a part, from the next query on; those in hand go on by the rules that they were taken
     * under. Told in the order of events: a class's number means to the module what it meant when the query came.
     */
    public void updateSettings(SchedulerSettings now, List<String> names) {
        settings = now;
        setClassNames(names);
        tellSettings();
    }

    /**
     * Whether another process of this gatherer takes queries beside this one. Both together must do no more than one: each
     * reckons with twice as many instances, and so with half its part of what a cold worker is allowed.
     */
    public void setUpgradePeerActive(boolean another) {
        processes = another ? 2 : 1;
        tellSettings();
    }

    /** The other process has all queries from now on, and with them this one's part of what a cold worker is allowed. */
    public void yieldToUpgradePeer() {
        processes = HANDED_OVER;
        tellSettings();
    }

    private void tellSettings() {
        SchedulerSettings now = settings.withInstances(settings.instances() * processes);
        tell(() -> module.updateSettings(now));
    }

    public SchedulerSettings settings() {
        return settings;
    }

    private String className(int queryClass) {
        return queryClass < classNames.size() ? classNames.get(queryClass) : "class-" + queryClass;
    }

    public Metrics metrics() {
        return metrics;
    }

    /** The last byte of an attempt's call is with the system; told by the backend, once for each. */
    public void onAttemptWritten(Attempt a) {
        if (!a.written) {
            a.written = true;
            metrics.recordAttempt();
        }
    }

    // ---- From the front ------------------------------------------------------------

    /** Whether a query of that id is in hand; another must not be taken, as both would bear one id at the workers. */
    public boolean isQueryIdInUse(String id) {
        return openIds.contains(id);
    }

    /** Takes a query; {@code client} gets its one final answer, at the earliest after this returns. */
    public Query submit(QueryRequest ask, QueryListener client) {
        double now = clock.now();
        Query q = new Query(
                nextId++,
                ask,
                client,
                now + ask.timeoutS(),
                settings.classes().get(ask.queryClass()),
                className(ask.queryClass()),
                settings.limits().maxAttempts());
        metrics.recordSubmitted();
        int size = 1 + ask.parts().size();
        // Full is when the count is reached, not when this query would pass it: counted so, a quarter of the room of
        // a calm day stood empty while queries of all shards were refused.
        if (ending || held >= settings.limits().maxInFlight()) {
            q.ended = true;
            metrics.recordEnded(q.className, Metrics.QueryOutcome.REJECTED);
            refusals.note(
                    System.Logger.Level.INFO,
                    () -> "query " + ask.id() + " of " + ask.parts().size()
                            + " parts refused at the door: "
                            + (ending
                                    ? "the program ends"
                                    : held + " of " + settings.limits().maxInFlight() + " held"));
            clock.after(0, () -> client.onRejected(q, settings.limits().maxRetryAfterS()));
            return q;
        }
        held += size;
        queries.put(q.id, q);
        openIds.add(ask.id());
        for (QueryRequest.RequestedPart piece : ask.parts()) {
            Part p = new Part(nextId++, q, piece.shard(), piece.weight());
            q.parts.add(p);
            parts.put(p.id, p);
        }
        q.guard = clock.after(ask.timeoutS() + GUARD_S, () -> overdue(q));
        long no = nextNo++;
        tell(() -> {
            if (!q.ended) {
                module.onQuery(new QueryArrival(
                        q.id, ask.queryClass(), 0, ask.idempotencyKey(), q.endAt - batchAt, no, q.parts.size()));
                for (Part p : q.parts) {
                    module.onPart(new PartArrival(p.id, no, p.shard(), p.weight()));
                }
            }
        });
        return q;
    }

    /** The client of a query has left; harmless when the query is over. */
    public void onClientGone(Query q) {
        if (!q.ended) {
            finish(q, Metrics.QueryOutcome.CLIENT_GONE);
            note("left by its client", q);
            tell(() -> module.onQueryCancelled(q.id));
        }
    }

    /** Guards against a query that the module has let slip: the client still gets an answer in its time. */
    private void overdue(Query q) {
        if (!q.ended) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "query {0} reached its deadline undecided",
                    q.request().id());
            finish(q, Metrics.QueryOutcome.FAILED);
            tell(() -> module.onQueryCancelled(q.id));
            q.client.onFailed(q, true);
        }
    }

    /**
     * The program must end: what is still in hand is refused where none of it can have run, else fails, rather than being
     * lost; and what comes from now on, on a connection that had half a request, is refused at once. Sent on, it would be
     * lost with the program.
     */
    public void endAllQueries() {
        ending = true;
        for (Query q : List.copyOf(queries.values())) {
            boolean harmless = q.queryClass.retrySafety() == RetrySafety.IDEMPOTENT
                    || q.parts.stream().flatMap(p -> p.attempts.stream()).allMatch(Attempt::neverExecuted);
            finish(q, harmless ? Metrics.QueryOutcome.REJECTED : Metrics.QueryOutcome.FAILED);
            note("ended at the program's end", q);
            tell(() -> module.onQueryCancelled(q.id));
            if (harmless) {
                q.client.onRejected(q, settings.limits().maxRetryAfterS());
            } else {
                q.client.onFailed(q, false);
            }
        }
    }

    public int inFlightQueries() {
        return queries.size();
    }

    // ---- From the workers ------------------------------------------------------------

    /** An attempt's one outcome; whatever comes later for it is ignored. */
    public void onAttemptEnded(Attempt a, AttemptOutcome outcome, LoadReport report, byte[] value) {
        if (a.hasEnded()) {
            if (outcome == AttemptOutcome.OK) {
                backend.releaseUnusedAnswer(a, value);
            }
            return;
        }
        a.outcome = outcome;
        if (a.timeout != null) {
            a.timeout.cancel();
        }
        double spent = clock.now() - a.sentAt;
        if (outcome == AttemptOutcome.OK) {
            setServedAttemptListener.accept(a, spent);
        }
        tell(() -> {
            Part p = a.part();
            if (outcome == AttemptOutcome.OK && p.value == null && !p.query().ended) {
                p.value = value;
                p.servedBy = a.worker;
            } else if (outcome == AttemptOutcome.OK) {
                backend.releaseUnusedAnswer(a, value);
            }
            module.onAttemptResult(new AttemptResult(p.id, a.no, a.worker, outcome, spent, report));
        });
    }

    public void onHealthCheckEnded(String worker, AttemptOutcome outcome, double spentS, LoadReport report) {
        tell(() -> module.onHealthCheckResult(new HealthCheckResult(worker, outcome, spentS, report)));
    }

    // ---- From discovery ------------------------------------------------------------

    /** A list, its changes, or word that asking failed. */
    public void onEndpointList(EndpointListKind kind, List<WorkerEndpoint> entries) {
        if (kind == EndpointListKind.CACHED || kind == EndpointListKind.COMPLETE) {
            hosts.keySet().forEach(this::left);
            hosts.clear();
        }
        for (WorkerEndpoint h : entries) {
            if (h.state() == EndpointState.REMOVED) {
                if (hosts.remove(h.id()) != null) {
                    left(h.id());
                }
            } else {
                hosts.put(h.id(), h);
                gone.remove(h.id());
            }
        }
        Iterator<Double> eldest = gone.values().iterator();
        while (eldest.hasNext() && (eldest.next() < clock.now() - GONE_S || gone.size() > GONE_MOST)) {
            eldest.remove();
        }
        if (kind != EndpointListKind.FAILED) {
            tellBackend();
            if (kind != EndpointListKind.CACHED) {
                addEndpointListListener.accept(List.copyOf(hosts.values()));
            }
        }
        List<Endpoint> told = entries.stream().map(this::forModule).toList();
        tell(() -> module.onEndpointList(kind, told));
    }

    private void left(String worker) {
        gone.remove(worker);
        gone.put(worker, clock.now());
    }

    /** To the module a worker that is taken out by hand is gone: what it knew of it must not outlive the ban. */
    private Endpoint forModule(WorkerEndpoint h) {
        return new Endpoint(
                h.id(),
                h.zone(),
                h.kind(),
                h.cell(),
                bannedEndpoints.contains(h.id()) ? EndpointState.REMOVED : h.state(),
                h.weight(),
                h.startedAtS());
    }

    /** To the backend it drains: what is out there may still be answered, what waits ends. */
    private void tellBackend() {
        Map<String, WorkerEndpoint> now = new HashMap<>();
        hosts.forEach((id, h) -> now.put(
                id,
                !bannedEndpoints.contains(id)
                        ? h
                        : new WorkerEndpoint(
                                id,
                                h.address(),
                                h.zone(),
                                h.kind(),
                                h.cell(),
                                EndpointState.DRAINING,
                                h.weight(),
                                h.startedAtS())));
        backend.updateEndpoints(Map.copyOf(now));
    }

    // ---- Workers taken out by hand ------------------------------------------------------------

    /** Whether an id stands in the list, or has left it within the hour. */
    public boolean isKnownEndpoint(String worker) {
        return hosts.containsKey(worker) || gone.containsKey(worker) || bannedEndpoints.contains(worker);
    }

    public Set<String> bannedEndpoints() {
        return Collections.unmodifiableSet(bannedEndpoints);
    }

    /**
     * These workers, and no others, get nothing from now on, whatever the list says of them: what is queued or dialling ends
     * unsent, what is out may be answered. Those no longer among them may be used again, by what the list says.
     */
    public void setBannedEndpoints(Set<String> workers) {
        if (!bannedEndpoints.equals(workers)) {
            bannedEndpoints.clear();
            bannedEndpoints.addAll(workers);
            tellBackend();
            // Not a list that has come: whether there is a watch is as before.
            List<Endpoint> told = hosts.values().stream().map(this::forModule).toList();
            tell(() -> module.onEndpointList(EndpointListKind.CACHED, told));
        }
    }

    /** Workers in the list, whatever their state. */
    public int listedEndpointCount() {
        return hosts.size();
    }

    /** Listed workers that get nothing now, by hand or since the module avoids them. */
    public int avoidedEndpointCount() {
        return (int) hosts.keySet().stream()
                .filter(id -> bannedEndpoints.contains(id) || module.isAvoided(id))
                .count();
    }

    /** Tells of the workers now known whenever a list has come; each of those who ask, in order. */
    public void addEndpointListListener(Consumer<Collection<WorkerEndpoint>> then) {
        addEndpointListListener = addEndpointListListener.andThen(then);
    }

    /** Tells of each attempt that was served, and how long it took in seconds; to one listener. */
    public void setServedAttemptListener(ObjDoubleConsumer<Attempt> then) {
        setServedAttemptListener = then;
    }

    /** Shares reckoned ahead, for the module's choice from now on. */
    public void updatePlannedShares(PlannedShares shares) {
        tell(() -> module.updatePlannedShares(shares));
    }

    // ---- Batches ------------------------------------------------------------

    private double batchAt;

    /** Keeps an event for the next batch, which closes no sooner than a tick after the last. */
    private void tell(Runnable event) {
        inbox.add(event);
        if (!scheduled) {
            scheduled = true;
            clock.after(Math.max(0, lastClose + settings.tickS() - clock.now()), this::close);
        }
    }

    private void close() {
        scheduled = false;
        closing = true;
        List<Runnable> events = inbox;
        inbox = new ArrayList<>();
        batchAt = clock.now();
        lastClose = batchAt;
        guarded(() -> module.beginBatch(batchAt));
        events.forEach(this::guarded);
        guarded(module::endBatch);
        closing = false;
        flush();
    }

    /** A failing decision must not take the loop with it; the deadline guard answers what it leaves. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "decision failed", e);
        }
    }

    /** Sends to one worker in one batch travel as one call, up to the batch size: a call costs beside its parts. */
    private void flush() {
        Map<String, List<Attempt>> now = new LinkedHashMap<>(sends);
        sends.clear();
        now.forEach((worker, all) -> {
            List<Attempt> live = retainStartable(all);
            int size = settings.layout().maxPartsPerCall();
            for (int i = 0; i < live.size(); i += size) {
                List<Attempt> call = live.subList(i, Math.min(live.size(), i + size));
                call.forEach(a -> a.passedOn = true);
                backend.sendCall(worker, call);
            }
        });
    }

    /**
     * Those of some attempts that may begin now, at the last moment before their first byte; the others end without having
     * run. What has come from their clients is taken in first: an end that stands unread in the kernel, since the loop was
     * busy with something else, has come before the attempt all the same.
     */
    public List<Attempt> retainStartable(List<Attempt> waiting) {
        waiting.stream()
                .filter(a -> !a.hasEnded())
                .map(a -> a.part().query())
                .distinct()
                .forEach(q -> q.client.pollForDisconnect());
        double now = clock.now();
        List<Attempt> live = waiting.stream().filter(a -> a.mayStart(now)).toList();
        waiting.stream()
                .filter(a -> !a.mayStart(now))
                .forEach(a -> onAttemptEnded(a, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
        return live;
    }

    // ---- What the module decides ------------------------------------------------------------

    @Override
    public void sendAttempt(long part, String worker, double until) {
        Part p = parts.get(part);
        if (p == null) {
            return;
        }
        Query q = p.query();
        double now = clock.now();
        double end = until > 0 ? Math.min(until, q.endAt) : q.endAt;
        Attempt a = new Attempt(p, p.attempts.size(), worker, now, end, startBy(p));
        p.attempts.add(a);
        WorkerEndpoint host = hosts.get(worker);
        boolean open = host != null && host.state() == EndpointState.HEALTHY && !bannedEndpoints.contains(worker);
        if (q.ended || end <= now || !open || !a.mayStart(now) || p.attempts.size() > q.maxAttempts) {
            onAttemptEnded(a, AttemptOutcome.NOT_SENT, LoadReport.NONE, null);
            return;
        }
        a.timeout = clock.after(end - now, () -> giveUp(a, AttemptOutcome.TIMEOUT));
        sends.computeIfAbsent(worker, w -> new ArrayList<>()).add(a);
    }

    /**
     * Until when a further attempt of a part may begin: where one may have run, as long as a repeat of it is recognised,
     * counted from when the first such was decided on, which is never after it was sent.
     */
    private double startBy(Part p) {
        RetrySafety effect = p.query().queryClass.retrySafety();
        double windowS = p.query().queryClass.idempotencyWindowS();
        return effect == RetrySafety.IDEMPOTENT
                ? Double.POSITIVE_INFINITY
                : p.attempts.stream()
                        .filter(a -> !a.neverExecuted())
                        .findFirst()
                        .map(a -> effect == RetrySafety.IDEMPOTENCY_KEY ? a.sentAt + windowS : Double.NEGATIVE_INFINITY)
                        .orElse(Double.POSITIVE_INFINITY);
    }

    private void giveUp(Attempt a, AttemptOutcome outcome) {
        if (!a.hasEnded()) {
            onAttemptEnded(a, outcome, LoadReport.NONE, null);
            if (a.passedOn) {
                backend.cancel(a);
            }
        }
    }

    @Override
    public void cancelAttempt(long part, int attempt) {
        Part p = parts.get(part);
        if (p != null && attempt < p.attempts.size()) {
            giveUp(p.attempts.get(attempt), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void answerQuery(long query, boolean whole) {
        Query q = queries.get(query);
        if (q != null) {
            finish(q, Metrics.QueryOutcome.SERVED);
            q.client.onAnswer(q, whole);
        }
    }

    @Override
    public void rejectQuery(long query, double pauseS) {
        Query q = queries.get(query);
        if (q != null) {
            finish(q, Metrics.QueryOutcome.REJECTED);
            note("refused", q);
            q.client.onRejected(q, pauseS);
        }
    }

    @Override
    public void failQuery(long query) {
        Query q = queries.get(query);
        if (q != null) {
            finish(q, Metrics.QueryOutcome.FAILED);
            note("failed", q);
            q.client.onFailed(q, clock.now() >= q.endAt - settings.rules().answerSlackS());
        }
    }

    /** One line for each query that ends without an answer: what on-call staff look for first. */
    private void note(String how, Query q) {
        endings.note(
                System.Logger.Level.INFO,
                () -> String.format(
                        Locale.ROOT,
                        "query %s of class %d %s %.3f s before its time; parts %d, sent %d, in %d; %d queries in hand",
                        q.request().id(),
                        q.request().queryClass(),
                        how,
                        q.endAt - clock.now(),
                        q.parts.size(),
                        q.parts.stream().filter(p -> !p.attempts.isEmpty()).count(),
                        q.parts.stream().filter(p -> p.value != null).count(),
                        queries.size()));
    }

    /** Takes a query out of hand. Its parts stay known until the module has called them off in this batch. */
    private void finish(Query q, Metrics.QueryOutcome how) {
        q.ended = true;
        metrics.recordEnded(q.className, how);
        q.guard.cancel();
        queries.remove(q.id);
        openIds.remove(q.request().id());
        held -= 1 + q.parts.size();
        tell(() -> q.parts.forEach(p -> parts.remove(p.id)));
        for (Part p : q.parts) {
            if (!closing) {
                p.attempts.forEach(a -> giveUp(a, AttemptOutcome.CANCELLED));
            }
        }
    }

    @Override
    public void checkHealth(String worker) {
        backend.checkHealth(worker);
    }

    @Override
    public void closeIdleConnections(String worker) {
        backend.closeIdleConnections(worker);
    }

    @Override
    public void setTimer(double afterS, String token) {
        clock.after(afterS, () -> tell(() -> module.onTimer(token)));
    }

    @Override
    public void watchEndpointList() {
        discovery.watch();
    }

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
