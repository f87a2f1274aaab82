package pepperdock.scheduler;

import java.util.List;

/**
 * Decides which endpoint each part of a query is sent to, and when a query is answered, rejected or failed.
 *
 * <p>The caller creates one instance per gatherer with {@link #create}, reports events in the order in which they
 * happen, and carries out the {@link SchedulerActions} called back. An instance does no I/O, starts no thread and reads
 * no clock: {@link #beginBatch} sets the time. All methods are called on the one thread that owns the gatherer's state.
 * All times are seconds with fractions, on a clock that only advances. Lists and arrays passed in are kept and must not
 * change. Ids of queries and parts that have ended, and unknown ids, are ignored.
 */
public interface Scheduler {

    /** Creates an instance; {@code seed} is its only source of randomness, {@code actions} receives its decisions. */
    static Scheduler create(SchedulerSettings settings, long seed, SchedulerActions actions) {
        return new AdaptiveScheduler(settings, seed, actions);
    }

    /** Opens a batch: all events up to {@link #endBatch} happen at {@code now}. */
    void beginBatch(double now);

    /**
     * Reports an endpoint list, changes of it, or the failure of a call for one; in the last case {@code entries} is
     * empty.
     */
    void onEndpointList(EndpointListKind kind, List<Endpoint> entries);

    /** Reports a query that has arrived; its parts follow in the same batch. */
    void onQuery(QueryArrival query);

    /** Reports a part of a query that has arrived. */
    void onPart(PartArrival part);

    /** Reports the result of an attempt. */
    void onAttemptResult(AttemptResult result);

    /**
     * Reports that the result of an attempt, which was reported before, can't be trusted: the attempt counts as reset,
     * and its part as not answered by it.
     */
    void onResultRetracted(long partId, int attemptNumber);

    /** Reports that the client of query {@code id} has disconnected. */
    void onQueryCancelled(long id);

    /** Replaces the planned shares of work; without any, all replicas of a shard have equal shares. */
    void updatePlannedShares(PlannedShares planned);

    /**
     * Replaces classes and limits for queries that arrive from now on, and the rules; the replica layout and the tenants
     * must be the same as before. Queries in flight keep the class that they arrived with, whatever its number means now.
     */
    void updateSettings(SchedulerSettings settings);

    /**
     * Reports that numbers of classes denote other classes than before, although the classes may have the same rules.
     * What was learnt about a class under its number is discarded.
     */
    void onClassesRenumbered();

    /**
     * Returns whether an endpoint is ejected and has received no attempt for the longest backoff between two trials.
     */
    boolean isAvoided(String endpointId);

    /** Reports that a timer set by this instance has expired. */
    void onTimer(String token);

    /** Reports the result of a health check. */
    void onHealthCheckResult(HealthCheckResult result);

    /** Closes the batch, and makes the decisions that need the whole batch. */
    void endBatch();
}
