package pepperdock.core;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjDoubleConsumer;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.HealthCheckResult;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.PlannedShares;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Entry point of the core for fronts, backends, endpoint discovery and operators: passes each call to the class whose job it is.
 * Events go to the scheduler in batches, and its decisions come back to the backend and to the clients' listeners.
 *
 * <p>Not thread-safe: all methods are called on the one thread of the {@link Clock}, which owns all state of the gatherer.
 * Listeners and the backend are called on it too, and may call back.
 */
public final class Gatherer {

    private final Scheduler scheduler;
    private final Metrics metrics = new Metrics();
    private final SettingsHolder settings;
    private final EventBatcher batcher;
    private final KnownEndpoints endpoints;
    private final QueryRegistry registry = new QueryRegistry();
    private final AttemptLifecycle attempts;
    private final CallDispatcher dispatcher;
    private final QueryLifecycle queries;

    /**
     * Creates a gatherer without endpoints; {@link #onEndpointList} gives it some.
     *
     * @param seed the only source of randomness of its decisions
     */
    public Gatherer(SchedulerSettings settings, long seed, Clock clock, Backend backend, EndpointDiscovery discovery) {
        this.settings = new SettingsHolder(settings, metrics);
        batcher = new EventBatcher(clock, this.settings);
        endpoints = new KnownEndpoints(clock, backend, batcher);
        attempts = new AttemptLifecycle(clock, backend, batcher);
        dispatcher = new CallDispatcher(clock, backend, this.settings, endpoints, attempts);
        queries = new QueryLifecycle(clock, this.settings, metrics, batcher, attempts, registry);
        scheduler = Scheduler.create(
                settings,
                seed,
                new DecisionExecutor(clock, backend, discovery, batcher, registry, queries, attempts, dispatcher));
        batcher.start(scheduler, dispatcher::dispatchCalls);
        this.settings.setClassNames(List.of());
    }

    /** Names the classes of the settings in force, in their order, for the metrics. */
    public void setClassNames(List<String> names) {
        settings.setClassNames(names);
    }

    /**
     * Replaces the settings, for queries that arrive from now on; those in flight keep the class and the number of attempts
     * that they arrived with.
     */
    public void updateSettings(SchedulerSettings replacement, List<String> names) {
        settings.replace(replacement, names);
        reportSettings();
    }

    /**
     * Whether another process of this gatherer serves queries beside this one, during an upgrade. Both together must send no
     * more than one, so each counts twice as many instances, and takes half its share of what a cold worker is allowed.
     */
    public void setUpgradePeerActive(boolean active) {
        settings.setUpgradePeerActive(active);
        reportSettings();
    }

    /** The other process of this gatherer takes all queries from now on, and this one's share of any allowance. */
    public void yieldToUpgradePeer() {
        settings.yieldToUpgradePeer();
        reportSettings();
    }

    /** Keeps the order of events: a query's class number means to the scheduler what it meant when the query arrived. */
    private void reportSettings() {
        SchedulerSettings current = settings.forScheduler();
        batcher.enqueueEvent(target -> target.updateSettings(current));
    }

    /** The settings in force. */
    public SchedulerSettings settings() {
        return settings.current();
    }

    /** The counters, which change as events happen. */
    public Metrics metrics() {
        return metrics;
    }

    /** Whether a query with that id is in flight; another must not be submitted, as workers could not tell them apart. */
    public boolean isQueryIdInUse(String id) {
        return registry.isRequestIdInUse(id);
    }

    /** Submits a query; {@code listener} receives its one final answer, at the earliest after this returns. */
    public Query submit(QueryRequest request, QueryListener listener) {
        return queries.submit(request, listener);
    }

    /** The client of a query has disconnected; harmless when the query has ended. */
    public void onClientGone(Query query) {
        queries.onClientGone(query);
    }

    /**
     * Ends all queries in flight because the process is about to end: as rejected where no part can have been executed or a
     * repeat is harmless, else as failed. Queries that arrive afterwards are rejected at once.
     */
    public void endAllQueries() {
        queries.shutDown();
    }

    /** Number of queries in flight. */
    public int inFlightQueries() {
        return registry.size();
    }

    /** The last byte of an attempt's call was given to the operating system; a second call for an attempt is ignored. */
    public void onAttemptWritten(Attempt attempt) {
        if (!attempt.written) {
            attempt.written = true;
            metrics.recordAttempt();
        }
    }

    /**
     * The outcome of an attempt; only the first counts.
     *
     * @param report load report of the worker, {@link LoadReport#NONE} without one
     * @param value the worker's answer, null without one
     */
    public void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report, byte[] value) {
        attempts.onAttemptEnded(attempt, outcome, report, value);
    }

    /** A health check has ended, {@code elapsedS} seconds after it was asked for. */
    public void onHealthCheckEnded(String worker, AttemptOutcome outcome, double elapsedS, LoadReport report) {
        batcher.enqueueEvent(
                target -> target.onHealthCheckResult(new HealthCheckResult(worker, outcome, elapsedS, report)));
    }

    /**
     * Those attempts that may start now, checked at the last moment before their first byte; the others end as not sent.
     * Disconnects of their clients are polled first.
     */
    public List<Attempt> retainStartable(List<Attempt> waiting) {
        return dispatcher.retainStartable(waiting);
    }

    /** An endpoint list, changes of it, or the failure of a call for one; then {@code entries} is empty. */
    public void onEndpointList(EndpointListKind kind, List<WorkerEndpoint> entries) {
        endpoints.onEndpointList(kind, entries);
    }

    /** Whether an endpoint is listed, banned, or has left the list within the last hour. */
    public boolean isKnownEndpoint(String worker) {
        return endpoints.isKnown(worker);
    }

    /** A view of the banned endpoints. */
    public Set<String> bannedEndpoints() {
        return endpoints.bannedEndpoints();
    }

    /**
     * Bans exactly these endpoints, whatever the list says of them: what waits for a connection to them ends as not sent, what
     * is in flight may be answered. Those that were banned and no longer are may be used again, as the list says.
     */
    public void setBannedEndpoints(Set<String> workers) {
        endpoints.setBannedEndpoints(workers);
    }

    /** Number of listed endpoints, whatever their state. */
    public int listedEndpointCount() {
        return endpoints.listedCount();
    }

    /** Number of listed endpoints that receive nothing now: banned, or avoided by the scheduler. */
    public int avoidedEndpointCount() {
        return endpoints.avoidedCount(scheduler::isAvoided);
    }

    /** Adds a listener for the endpoints known after each list from discovery; all are called, in the order added. */
    public void addEndpointListListener(Consumer<Collection<WorkerEndpoint>> listener) {
        endpoints.addListener(listener);
    }

    /** Sets the one listener for attempts that succeed, with the seconds that each took. */
    public void setServedAttemptListener(ObjDoubleConsumer<Attempt> listener) {
        attempts.setServedListener(listener);
    }

    /** Replaces the planned shares of work, for the scheduler's choices from now on. */
    public void updatePlannedShares(PlannedShares shares) {
        batcher.enqueueEvent(target -> target.updatePlannedShares(shares));
    }
}
