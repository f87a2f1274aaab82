package pepperdock.core;

import java.nio.LongBuffer;
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
 * Entry point of the core for fronts, backends, endpoint discovery and operators. Delegates each call to the
 * responsible class. Events go to the scheduler in batches, and its decisions go to the backend and to the clients'
 * listeners.
 *
 * <p>Not thread-safe: all methods must be called on the thread of the {@link Clock}, which owns all state of the
 * gatherer. Listeners and the backend are called on the same thread and may call back.
 */
public final class Gatherer {

    /** The size of the buffers in which the processes of a gatherer share the ids of sent queries, in longs. */
    public static final int SENT_IDS_BUFFER_LONGS = SentQueryIds.SHARED_SIZE;

    private final Scheduler scheduler;
    private final Metrics metrics = new Metrics();
    private final SettingsHolder settings;
    private final EventBatcher batcher;
    private final KnownEndpoints endpoints;
    private final QueryRegistry registry = new QueryRegistry();
    private final AttemptLifecycle attempts;
    private final CallDispatcher dispatcher;
    private final SentQueryIds sentIds;
    private final QueryLifecycle queries;

    /**
     * Creates a gatherer without endpoints; {@link #onEndpointList} adds them.
     *
     * @param seed the only source of randomness in the scheduler's decisions
     */
    public Gatherer(SchedulerSettings settings, long seed, Clock clock, Backend backend, EndpointDiscovery discovery) {
        this.settings = new SettingsHolder(settings, metrics);
        sentIds = new SentQueryIds(seed);
        InternalFailures failures = new InternalFailures(clock, metrics);
        batcher = new EventBatcher(clock, this.settings, failures);
        endpoints = new KnownEndpoints(clock, backend, batcher, failures);
        attempts = new AttemptLifecycle(clock, metrics, backend, batcher, failures);
        dispatcher = new CallDispatcher(clock, backend, this.settings, endpoints, attempts, failures, sentIds);
        queries = new QueryLifecycle(clock, this.settings, metrics, batcher, attempts, registry, failures);
        scheduler = Scheduler.create(
                settings,
                seed,
                new DecisionExecutor(clock, backend, discovery, batcher, registry, queries, attempts, dispatcher));
        batcher.start(scheduler, backend::pollForRetractions, dispatcher::dispatchCalls);
        this.settings.setClassNames(List.of());
    }

    /** Sets the names of the classes of the current settings, in the order of the classes, for the metrics. */
    public void setClassNames(List<String> names) {
        settings.setClassNames(names);
    }

    /**
     * Replaces the settings for queries that arrive from now on. Queries in flight keep the class and the maximum
     * number of attempts that applied when they arrived.
     */
    public void updateSettings(SchedulerSettings replacement, List<String> names) {
        boolean renumbered = settings.replace(replacement, names);
        reportSettings();
        if (renumbered) {
            batcher.enqueueEvent(Scheduler::onClassesRenumbered);
        }
    }

    /**
     * Sets whether another process of this gatherer serves queries beside this one, during an upgrade. Both together
     * must send no more than one process, so each counts twice as many instances and takes half its share of a cold
     * worker's allowance.
     */
    public void setUpgradePeerActive(boolean active) {
        settings.setUpgradePeerActive(active);
        reportSettings();
    }

    /** Leaves all new queries, and this process's share of any allowance, to the other process of this gatherer. */
    public void yieldToUpgradePeer() {
        settings.yieldToUpgradePeer();
        reportSettings();
    }

    /**
     * Enqueues the settings as an event, so that the scheduler reads a query's class number by the settings of its
     * arrival.
     */
    private void reportSettings() {
        SchedulerSettings current = settings.forScheduler();
        batcher.enqueueEvent(target -> target.updateSettings(current));
    }

    /** Returns the current settings. */
    public SchedulerSettings settings() {
        return settings.current();
    }

    /** Returns the counters, which are updated as events happen. */
    public Metrics metrics() {
        return metrics;
    }

    /**
     * Returns whether a query with this id is in flight. A second one must not be submitted, because workers could not
     * tell the two apart.
     */
    public boolean isQueryIdInUse(String id) {
        return registry.isRequestIdInUse(id);
    }

    /**
     * Returns whether a part of a query with this id was sent to a worker recently, by this process or another one of
     * this gatherer. The id must not be submitted again,
     * because each id may run once; a retry comes with a new id.
     */
    public boolean wasQueryIdSent(String id) {
        return sentIds.contains(id);
    }

    /**
     * Remembers the ids of sent queries in a buffer of {@link #SENT_IDS_BUFFER_LONGS} longs that other processes of this
     * gatherer read; ids that are in it already count as sent.
     */
    public void shareSentQueryIds(LongBuffer buffer) {
        sentIds.share(buffer);
    }

    /** Counts the ids that another process of this gatherer has put, or will put, into its buffer as sent. */
    public void readSentQueryIdsOf(LongBuffer otherProcess) {
        sentIds.addOther(otherProcess);
    }

    /** Submits a query; {@code listener} receives its one final answer, never before this method returns. */
    public Query submit(QueryRequest request, QueryListener listener) {
        return queries.submit(request, listener);
    }

    /** Cancels a query whose client has disconnected; has no effect if the query has ended. */
    public void onClientGone(Query query) {
        queries.onClientGone(query);
    }

    /**
     * Ends all queries in flight because the process is about to exit. A query ends as rejected if no part can have
     * been executed or if repeating it is harmless, otherwise as failed. Queries that arrive afterwards are rejected at
     * once.
     */
    public void endAllQueries() {
        queries.shutDown();
    }

    /** Returns the number of queries in flight. */
    public int inFlightQueries() {
        return registry.size();
    }

    /**
     * Records that the last byte of an attempt's call was handed to the operating system. Further calls for the same
     * attempt are ignored.
     */
    public void onAttemptWritten(Attempt attempt) {
        if (!attempt.written) {
            attempt.written = true;
            metrics.recordAttempt();
        }
    }

    /**
     * Records the outcome of an attempt; only the first one counts.
     *
     * @param report load report of the worker, {@link LoadReport#NONE} if it sent none
     * @param value the worker's answer, null if it sent none
     */
    public void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report, byte[] value) {
        attempts.onAttemptEnded(attempt, outcome, report, value);
    }

    /**
     * Retracts the result that a worker gave to an attempt, because later input shows that it may be damaged. The
     * attempt then counts as reset: it may have run, and its value is not used. Has no effect on an answer that has been
     * given to the client already, and none on an attempt that ended otherwise.
     */
    public void retractResult(Attempt attempt) {
        attempts.retractResult(attempt);
    }

    /** Reports the result of a health check, {@code elapsedS} seconds after it was requested. */
    public void onHealthCheckEnded(String worker, AttemptOutcome outcome, double elapsedS, LoadReport report) {
        batcher.enqueueEvent(
                target -> target.onHealthCheckResult(new HealthCheckResult(worker, outcome, elapsedS, report)));
    }

    /**
     * Returns those attempts that may start now; the others end as not sent. Called right before the first byte is
     * sent. Polls the attempts' clients for disconnects first.
     */
    public List<Attempt> retainStartable(List<Attempt> waiting) {
        return dispatcher.retainStartable(waiting);
    }

    /** Applies an endpoint list, changes to it, or a failed request for one, for which {@code entries} is empty. */
    public void onEndpointList(EndpointListKind kind, List<WorkerEndpoint> entries) {
        endpoints.onEndpointList(kind, entries);
    }

    /** Returns whether an endpoint is listed, is banned, or has left the list within the last hour. */
    public boolean isKnownEndpoint(String worker) {
        return endpoints.isKnown(worker);
    }

    /** Returns a read-only view of the banned endpoints. */
    public Set<String> bannedEndpoints() {
        return endpoints.bannedEndpoints();
    }

    /**
     * Replaces the set of banned endpoints; a ban takes precedence over the endpoint list. Attempts that wait for a
     * connection to a banned endpoint end as not sent, attempts in flight may still be answered. The state of an
     * endpoint that is no longer banned follows the list again.
     */
    public void setBannedEndpoints(Set<String> workers) {
        endpoints.setBannedEndpoints(workers);
    }

    /** Returns the number of listed endpoints in any state. */
    public int listedEndpointCount() {
        return endpoints.listedCount();
    }

    /**
     * Returns the number of listed endpoints that receive no queries now, because they are banned or the scheduler
     * avoids them.
     */
    public int avoidedEndpointCount() {
        return endpoints.avoidedCount(scheduler::isAvoided);
    }

    /**
     * Adds a listener that receives the known endpoints after each list from discovery. Listeners are called in the
     * order added.
     */
    public void addEndpointListListener(Consumer<Collection<WorkerEndpoint>> listener) {
        endpoints.addListener(listener);
    }

    /** Sets the only listener for successful attempts, which also receives the seconds that each attempt took. */
    public void setServedAttemptListener(ObjDoubleConsumer<Attempt> listener) {
        attempts.setServedListener(listener);
    }

    /** Replaces the planned shares of work that the scheduler uses from now on. */
    public void updatePlannedShares(PlannedShares shares) {
        batcher.enqueueEvent(target -> target.updatePlannedShares(shares));
    }
}
