package pepperdock.scheduler;

import java.util.List;

/** What happens, told in order. Ids of ended queries and parts, and unknown ids, are harmless. */
public interface Scheduler {

    /** Makes an instance; {@code seed} is its only source of randomness, {@code actions} is called on its behalf. */
    static Scheduler create(SchedulerSettings settings, long seed, SchedulerActions actions) {
        return new AdaptiveScheduler(settings, seed, actions);
    }

    /** Opens a batch: all that follows up to {@link #endBatch} happens at {@code now}. */
    void beginBatch(double now);

    /** A list, its changes, or word that a call for one failed (then {@code entries} is empty). */
    void onEndpointList(EndpointListKind kind, List<Endpoint> entries);

    /** A query; its parts follow in the same batch. {@code remainingS}: until the client gives up this try. */
    void onQuery(long id, int queryClass, int tenant, String key, double remainingS, long queryNo, int parts);

    /** A part of query {@code queryNo}; a later batch may bring those of a second step. */
    void onPart(long id, long queryNo, int shard, double weight);

    /** An attempt ended; {@code attempt} counts from 0 in order of sending; the report may be null. */
    void onAttemptResult(long id, int attempt, String searcher, AttemptOutcome outcome, double spentS, double[] report);

    /** The client of query {@code id} has left. */
    void onQueryCancelled(long id);

    /** Shares reckoned ahead, in use from now on; without them all holders of a shard are alike. */
    void updatePlannedShares(PlannedShares planned);

    /** Other classes and limits, in use for queries from now on; the layout and the rules stay. */
    void updateSettings(SchedulerSettings now);

    /** Whether a searcher is taken for bad, and has not even been tried for as long as trials may be apart. */
    boolean isAvoided(String searcher);

    /** A timer set by this instance fell due. */
    void onTimer(String token);

    /** A probe ended; the report may be null. */
    void onHealthCheckResult(String searcher, AttemptOutcome outcome, double spentS, double[] report);

    /** Closes the batch; decisions that want the whole batch are taken here. */
    void endBatch();
}
