package pepperdock.scheduler;

import java.util.List;

/**
 * Decides which endpoint each part of a query is sent to, and when a query is answered, rejected or failed.
 *
 * <p>The caller creates one instance per gatherer with {@link #create}, reports events in the order in which they happen,
 * and carries out the {@link SchedulerActions} called back. An instance does no I/O, starts no thread and reads no clock:
 * {@link #beginBatch} states the time. All methods are called on the one thread that owns the gatherer's state. All times
 * are seconds with fractions, on a clock that only advances. Lists and arrays passed in are kept and must not change.
 * Ids of queries and parts that have ended, and unknown ids, are ignored.
 */
public interface Scheduler {

    /** Creates an instance; {@code seed} is its only source of randomness, {@code actions} receives its decisions. */
    static Scheduler create(SchedulerSettings settings, long seed, SchedulerActions actions) {
        return new AdaptiveScheduler(settings, seed, actions);
    }

    /** Opens a batch: every event up to {@link #endBatch} happens at {@code now}. */
    void beginBatch(double now);

    /** An endpoint list, changes of it, or the failure of a call for one; then {@code entries} is empty. */
    void onEndpointList(EndpointListKind kind, List<Endpoint> entries);

    /** A query has arrived; its parts follow in the same batch. */
    void onQuery(QueryArrival query);

    /** A part of a query has arrived. */
    void onPart(PartArrival part);

    /** An attempt has ended. */
    void onAttemptResult(AttemptResult result);

    /** The client of query {@code id} has disconnected. */
    void onQueryCancelled(long id);

    /** Replaces the planned shares of work; without any, all replicas of a shard count alike. */
    void updatePlannedShares(PlannedShares planned);

    /** Replaces classes and limits for queries that arrive from now on; the replica layout and the rules stay. */
    void updateSettings(SchedulerSettings settings);

    /** Whether an endpoint is ejected and has received no attempt for the longest pause between two trials. */
    boolean isAvoided(String endpointId);

    /** A timer set by this instance has expired. */
    void onTimer(String token);

    /** A health check has ended. */
    void onHealthCheckResult(HealthCheckResult result);

    /** Closes the batch; decisions that need the whole batch are taken here. */
    void endBatch();
}
