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
import pepperdock.aggregator.Aggregator;
import pepperdock.aggregator.Aggregator.ListKind;
import pepperdock.aggregator.Aggregator.Outcome;
import pepperdock.aggregator.Aggregator.Readiness;

/**
 * The core: feeds the module with what happens, in batches, and carries out what it decides. Deals in queries, parts,
 * attempts and outcomes only. Every method runs on the one thread of its {@link Clock}.
 */
public final class Gatherer implements Aggregator.Actions {

    private static final System.Logger LOG = System.getLogger("pepperdock.core");
    /** Past a query's time by so much the core answers for the module: within the rules' slack, after its own sweep. */
    private static final double GUARD_S = 0.005;
    /** One of so many has no part worth speaking of. */
    private static final int HANDED_OVER = 1000;
    /** Ids of workers are remembered so long once the list has them no more, and so many; on long days they are always new. */
    private static final double GONE_S = 3600;

    private static final int GONE_MOST = 4096;

    private Aggregator.Settings settings;
    /** Processes that this one is thought to be one of, as far as what they may do together goes. */
    private int processes = 1;
    /** In the order of the settings; a class beyond them goes by its number. */
    private List<String> classNames = List.of();

    private final Clock clock;
    private final Backend backend;
    private final Discovery discovery;
    private final Aggregator.Events module;
    private final LogBudget endings;
    private final LogBudget refusals;
    private final Map<Long, Query> queries = new LinkedHashMap<>();
    private final Map<Long, Part> parts = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Workers taken out by hand, whatever the list says of them. */
    private final Set<String> banned = new LinkedHashSet<>();
    /** Ids that have stood in the list, and when they left it, in that order. */
    private final Map<String, Double> gone = new LinkedHashMap<>();

    private final Figures figures = new Figures();
    private final Map<String, List<Attempt>> sends = new LinkedHashMap<>();
    private List<Runnable> inbox = new ArrayList<>();
    private boolean closing;
    private boolean ending;
    private boolean scheduled;
    private double lastClose = Double.NEGATIVE_INFINITY;
    private long nextId = 1;
    private long nextNo = 1;
    private int held;
    private Consumer<Collection<Host>> whenListed = hosts -> {};
    private ObjDoubleConsumer<Attempt> whenServed = (attempt, spentS) -> {};

    public Gatherer(Aggregator.Settings settings, long seed, Clock clock, Backend backend, Discovery discovery) {
        this.settings = settings;
        this.clock = clock;
        this.backend = backend;
        this.discovery = discovery;
        module = Aggregator.create(settings, seed, this);
        name(List.of());
        endings = new LogBudget(LOG, clock, "queries refused, failed or left");
        refusals = new LogBudget(LOG, clock, "queries refused at the door");
    }

    // ---- Settings and figures ------------------------------------------------------------

    /** Names the classes of the settings in force, in their order, for the figures. */
    public void name(List<String> names) {
        classNames = List.copyOf(names);
        for (int i = 0; i < settings.classes().size(); i++) {
            figures.inForce(className(i));
        }
    }

    /**
     * Other classes, and other attempts a part, from the next query on; those in hand go on by the rules that they were taken
     * under. Told in the order of events: a class's number means to the module what it meant when the query came.
     */
    public void settings(Aggregator.Settings now, List<String> names) {
        settings = now;
        name(names);
        tellSettings();
    }

    /**
     * Whether another process of this gatherer takes queries beside this one. Both together must do no more than one: each
     * reckons with twice as many instances, and so with half its part of what a cold worker is allowed.
     */
    public void beside(boolean another) {
        processes = another ? 2 : 1;
        tellSettings();
    }

    /** The other process has all queries from now on, and with them this one's part of what a cold worker is allowed. */
    public void handOver() {
        processes = HANDED_OVER;
        tellSettings();
    }

    private void tellSettings() {
        Aggregator.Settings now = settings.with(settings.instances() * processes);
        tell(() -> module.settings(now));
    }

    public Aggregator.Settings settings() {
        return settings;
    }

    private String className(int queryClass) {
        return queryClass < classNames.size() ? classNames.get(queryClass) : "class-" + queryClass;
    }

    public Figures figures() {
        return figures;
    }

    /** The last byte of an attempt's call is with the system; told by the backend, once for each. */
    public void written(Attempt a) {
        if (!a.written) {
            a.written = true;
            figures.attempted();
        }
    }

    // ---- From the front ------------------------------------------------------------

    /** Whether a query of that id is in hand; another must not be taken, as both would bear one id at the workers. */
    public boolean holds(String id) {
        return openIds.contains(id);
    }

    /** Takes a query; {@code client} gets its one final answer, at the earliest after this returns. */
    public Query take(Ask ask, Client client) {
        double now = clock.now();
        Query q = new Query(
                nextId++,
                ask,
                client,
                now + ask.timeoutS(),
                settings.classes().get(ask.queryClass()),
                className(ask.queryClass()),
                settings.limits().maxAttempts());
        figures.taken();
        int size = 1 + ask.pieces().size();
        // Full is when the count is reached, not when this query would pass it: counted so, a quarter of the room of
        // a calm day stood empty while queries of all shards were refused.
        if (ending || held >= settings.limits().mostHeld()) {
            q.ended = true;
            figures.end(q.className, Figures.End.REFUSED);
            refusals.note(
                    System.Logger.Level.INFO,
                    () -> "query " + ask.id() + " of " + ask.pieces().size()
                            + " parts refused at the door: "
                            + (ending
                                    ? "the program ends"
                                    : held + " of " + settings.limits().mostHeld() + " held"));
            clock.after(0, () -> client.refused(q, settings.limits().maxPauseS()));
            return q;
        }
        held += size;
        queries.put(q.id, q);
        openIds.add(ask.id());
        for (Ask.Piece piece : ask.pieces()) {
            Part p = new Part(nextId++, q, piece.shard(), piece.weight());
            q.parts.add(p);
            parts.put(p.id, p);
        }
        q.guard = clock.after(ask.timeoutS() + GUARD_S, () -> overdue(q));
        long no = nextNo++;
        tell(() -> {
            if (!q.ended) {
                module.query(q.id, ask.queryClass(), 0, ask.key(), q.endAt - batchAt, no, q.parts.size());
                for (Part p : q.parts) {
                    module.part(p.id, no, p.shard(), p.weight());
                }
            }
        });
        return q;
    }

    /** The client of a query has left; harmless when the query is over. */
    public void gone(Query q) {
        if (!q.ended) {
            finish(q, Figures.End.LEFT);
            note("left by its client", q);
            tell(() -> module.aborted(q.id));
        }
    }

    /** Guards against a query that the module has let slip: the client still gets an answer in its time. */
    private void overdue(Query q) {
        if (!q.ended) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "query {0} reached its deadline undecided",
                    q.ask().id());
            finish(q, Figures.End.FAILED);
            tell(() -> module.aborted(q.id));
            q.client.failed(q, true);
        }
    }

    /**
     * The program must end: what is still in hand is refused where none of it can have run, else fails, rather than being
     * lost; and what comes from now on, on a connection that had half a request, is refused at once. Sent on, it would be
     * lost with the program.
     */
    public void endAll() {
        ending = true;
        for (Query q : List.copyOf(queries.values())) {
            boolean harmless = q.kind.effect() == Aggregator.Effect.SAFE
                    || q.parts.stream().flatMap(p -> p.attempts.stream()).allMatch(Attempt::neverRan);
            finish(q, harmless ? Figures.End.REFUSED : Figures.End.FAILED);
            note("ended at the program's end", q);
            tell(() -> module.aborted(q.id));
            if (harmless) {
                q.client.refused(q, settings.limits().maxPauseS());
            } else {
                q.client.failed(q, false);
            }
        }
    }

    public int inHand() {
        return queries.size();
    }

    // ---- From the workers ------------------------------------------------------------

    /** An attempt's one outcome; whatever comes later for it is ignored. */
    public void ended(Attempt a, Outcome outcome, double[] report, byte[] value) {
        if (a.over()) {
            if (outcome == Outcome.OK) {
                backend.unused(a, value);
            }
            return;
        }
        a.outcome = outcome;
        if (a.timeout != null) {
            a.timeout.cancel();
        }
        double spent = clock.now() - a.sentAt;
        if (outcome == Outcome.OK) {
            whenServed.accept(a, spent);
        }
        tell(() -> {
            Part p = a.part();
            if (outcome == Outcome.OK && p.value == null && !p.query().ended) {
                p.value = value;
                p.servedBy = a.worker;
            } else if (outcome == Outcome.OK) {
                backend.unused(a, value);
            }
            module.attemptEnd(p.id, a.no, a.worker, outcome, spent, report);
        });
    }

    public void probed(String worker, Outcome outcome, double spentS, double[] report) {
        tell(() -> module.probed(worker, outcome, spentS, report));
    }

    // ---- From discovery ------------------------------------------------------------

    /** A list, its changes, or word that asking failed. */
    public void listed(ListKind kind, List<Host> entries) {
        if (kind == ListKind.HELD || kind == ListKind.COMPLETE) {
            hosts.keySet().forEach(this::left);
            hosts.clear();
        }
        for (Host h : entries) {
            if (h.readiness() == Readiness.REMOVED) {
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
        if (kind != ListKind.FAILED) {
            tellBackend();
            if (kind != ListKind.HELD) {
                whenListed.accept(List.copyOf(hosts.values()));
            }
        }
        List<Aggregator.Listed> told = entries.stream().map(this::forModule).toList();
        tell(() -> module.targets(kind, told));
    }

    private void left(String worker) {
        gone.remove(worker);
        gone.put(worker, clock.now());
    }

    /** To the module a worker that is taken out by hand is gone: what it knew of it must not outlive the ban. */
    private Aggregator.Listed forModule(Host h) {
        return new Aggregator.Listed(
                h.id(),
                h.zone(),
                h.kind(),
                h.cell(),
                banned.contains(h.id()) ? Readiness.REMOVED : h.readiness(),
                h.weight(),
                h.bornAt());
    }

    /** To the backend it drains: what is out there may still be answered, what waits ends. */
    private void tellBackend() {
        Map<String, Host> now = new HashMap<>();
        hosts.forEach((id, h) -> now.put(
                id,
                !banned.contains(id)
                        ? h
                        : new Host(
                                id,
                                h.dial(),
                                h.zone(),
                                h.kind(),
                                h.cell(),
                                Readiness.DRAINING,
                                h.weight(),
                                h.bornAt())));
        backend.listed(Map.copyOf(now));
    }

    // ---- Workers taken out by hand ------------------------------------------------------------

    /** Whether an id stands in the list, or has left it within the hour. */
    public boolean everListed(String worker) {
        return hosts.containsKey(worker) || gone.containsKey(worker) || banned.contains(worker);
    }

    public Set<String> banned() {
        return Collections.unmodifiableSet(banned);
    }

    /**
     * These workers, and no others, get nothing from now on, whatever the list says of them: what is queued or dialling ends
     * unsent, what is out may be answered. Those no longer among them may be used again, by what the list says.
     */
    public void ban(Set<String> workers) {
        if (!banned.equals(workers)) {
            banned.clear();
            banned.addAll(workers);
            tellBackend();
            // Not a list that has come: whether there is a watch is as before.
            List<Aggregator.Listed> told =
                    hosts.values().stream().map(this::forModule).toList();
            tell(() -> module.targets(ListKind.HELD, told));
        }
    }

    /** Workers in the list, whatever their state. */
    public int listed() {
        return hosts.size();
    }

    /** Listed workers that get nothing now, by hand or since the module avoids them. */
    public int avoided() {
        return (int) hosts.keySet().stream()
                .filter(id -> banned.contains(id) || module.avoids(id))
                .count();
    }

    /** Tells of the workers now known whenever a list has come; each of those who ask, in order. */
    public void whenListed(Consumer<Collection<Host>> then) {
        whenListed = whenListed.andThen(then);
    }

    /** Tells of each attempt that was served, and how long it took in seconds; to one listener. */
    public void whenServed(ObjDoubleConsumer<Attempt> then) {
        whenServed = then;
    }

    /** Shares reckoned ahead, for the module's choice from now on. */
    public void share(Aggregator.Shares shares) {
        tell(() -> module.shares(shares));
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
        guarded(() -> module.batch(batchAt));
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
            List<Attempt> live = startable(all);
            int size = settings.layout().batch();
            for (int i = 0; i < live.size(); i += size) {
                List<Attempt> call = live.subList(i, Math.min(live.size(), i + size));
                call.forEach(a -> a.passedOn = true);
                backend.send(worker, call);
            }
        });
    }

    /**
     * Those of some attempts that may begin now, at the last moment before their first byte; the others end without having
     * run. What has come from their clients is taken in first: an end that stands unread in the kernel, since the loop was
     * busy with something else, has come before the attempt all the same.
     */
    public List<Attempt> startable(List<Attempt> waiting) {
        waiting.stream()
                .filter(a -> !a.over())
                .map(a -> a.part().query())
                .distinct()
                .forEach(q -> q.client.poll());
        double now = clock.now();
        List<Attempt> live = waiting.stream().filter(a -> a.mayStart(now)).toList();
        waiting.stream().filter(a -> !a.mayStart(now)).forEach(a -> ended(a, Outcome.MOOT, null, null));
        return live;
    }

    // ---- What the module decides ------------------------------------------------------------

    @Override
    public void send(long part, String worker, double until) {
        Part p = parts.get(part);
        if (p == null) {
            return;
        }
        Query q = p.query();
        double now = clock.now();
        double end = until > 0 ? Math.min(until, q.endAt) : q.endAt;
        Attempt a = new Attempt(p, p.attempts.size(), worker, now, end, startBy(p));
        p.attempts.add(a);
        Host host = hosts.get(worker);
        boolean open = host != null && host.readiness() == Readiness.HEALTHY && !banned.contains(worker);
        if (q.ended || end <= now || !open || !a.mayStart(now) || p.attempts.size() > q.maxAttempts) {
            ended(a, Outcome.MOOT, null, null);
            return;
        }
        a.timeout = clock.after(end - now, () -> giveUp(a, Outcome.TIMEOUT));
        sends.computeIfAbsent(worker, w -> new ArrayList<>()).add(a);
    }

    /**
     * Until when a further attempt of a part may begin: where one may have run, as long as a repeat of it is recognised,
     * counted from when the first such was decided on, which is never after it was sent.
     */
    private double startBy(Part p) {
        Aggregator.Effect effect = p.query().kind.effect();
        double windowS = p.query().kind.windowS();
        return effect == Aggregator.Effect.SAFE
                ? Double.POSITIVE_INFINITY
                : p.attempts.stream()
                        .filter(a -> !a.neverRan())
                        .findFirst()
                        .map(a -> effect == Aggregator.Effect.KEYED ? a.sentAt + windowS : Double.NEGATIVE_INFINITY)
                        .orElse(Double.POSITIVE_INFINITY);
    }

    private void giveUp(Attempt a, Outcome outcome) {
        if (!a.over()) {
            ended(a, outcome, null, null);
            if (a.passedOn) {
                backend.cancel(a);
            }
        }
    }

    @Override
    public void cancel(long part, int attempt) {
        Part p = parts.get(part);
        if (p != null && attempt < p.attempts.size()) {
            giveUp(p.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    @Override
    public void answer(long query, boolean whole) {
        Query q = queries.get(query);
        if (q != null) {
            finish(q, Figures.End.SERVED);
            q.client.answered(q, whole);
        }
    }

    @Override
    public void refuse(long query, double pauseS) {
        Query q = queries.get(query);
        if (q != null) {
            finish(q, Figures.End.REFUSED);
            note("refused", q);
            q.client.refused(q, pauseS);
        }
    }

    @Override
    public void fail(long query) {
        Query q = queries.get(query);
        if (q != null) {
            finish(q, Figures.End.FAILED);
            note("failed", q);
            q.client.failed(q, clock.now() >= q.endAt - settings.rules().answerSlackS());
        }
    }

    /** One line for each query that ends without an answer: what on-call staff look for first. */
    private void note(String how, Query q) {
        endings.note(
                System.Logger.Level.INFO,
                () -> String.format(
                        Locale.ROOT,
                        "query %s of class %d %s %.3f s before its time; parts %d, sent %d, in %d; %d queries in hand",
                        q.ask().id(),
                        q.ask().queryClass(),
                        how,
                        q.endAt - clock.now(),
                        q.parts.size(),
                        q.parts.stream().filter(p -> !p.attempts.isEmpty()).count(),
                        q.parts.stream().filter(p -> p.value != null).count(),
                        queries.size()));
    }

    /** Takes a query out of hand. Its parts stay known until the module has called them off in this batch. */
    private void finish(Query q, Figures.End how) {
        q.ended = true;
        figures.end(q.className, how);
        q.guard.cancel();
        queries.remove(q.id);
        openIds.remove(q.ask().id());
        held -= 1 + q.parts.size();
        tell(() -> q.parts.forEach(p -> parts.remove(p.id)));
        for (Part p : q.parts) {
            if (!closing) {
                p.attempts.forEach(a -> giveUp(a, Outcome.CANCELLED));
            }
        }
    }

    @Override
    public void probe(String worker) {
        backend.probe(worker);
    }

    @Override
    public void dropConnections(String worker) {
        backend.dropConnections(worker);
    }

    @Override
    public void setTimer(double afterS, String token) {
        clock.after(afterS, () -> tell(() -> module.timer(token)));
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
