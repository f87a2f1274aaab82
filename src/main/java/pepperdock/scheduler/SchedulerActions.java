package pepperdock.scheduler;

/**
 * The actions that the scheduler requests from its caller. The caller carries them out in the order of the calls and
 * must not call back into the scheduler meanwhile. All times are seconds.
 */
public interface SchedulerActions {

    /** Stands for no query in {@link #onDecisionFailed}. */
    long NO_QUERY = Long.MIN_VALUE;

    /**
     * Sends an attempt at a part. Its number is the count of earlier attempts at the part.
     *
     * @param part {@link PartArrival#id}
     * @param endpointId endpoint to send it to
     * @param until time on the batch clock at which the attempt is abandoned
     */
    void sendAttempt(long part, String endpointId, double until);

    /** Cancels an attempt, identified by the part's id and the attempt's number; its result is still reported. */
    void cancelAttempt(long part, int attempt);

    /**
     * Answers a query from the parts answered so far. The answer is final unless a second stage follows.
     *
     * @param query {@link QueryArrival#id}
     * @param complete whether the class's complete coverage was reached, in both stages where there are two
     */
    void answerQuery(long query, boolean complete);

    /**
     * Rejects a query, which the client may safely repeat; this ends the query. {@code retryAfterS} is the Retry-After
     * in seconds, 0 for none.
     */
    void rejectQuery(long query, double retryAfterS);

    /** Fails a query that may or may not have had an effect; this ends the query. */
    void failQuery(long query);

    /**
     * Reports that a decision failed with an exception, which is a fault of the scheduler; this ends the query. Other
     * queries are decided as usual.
     *
     * @param query {@link QueryArrival#id}, or {@link #NO_QUERY} if the decision concerned none in particular
     */
    default void onDecisionFailed(long query, RuntimeException cause) {
        throw cause;
    }

    /**
     * Sends a health check to an endpoint. {@link AdaptiveScheduler} judges endpoints by their attempts and sends none.
     */
    void checkHealth(String endpointId);

    /** Closes the idle connections to an endpoint, so that the next call opens a new one. */
    void closeIdleConnections(String endpointId);

    /** Requests a call of {@link Scheduler#onTimer} with {@code token} after {@code afterS} seconds. */
    void setTimer(double afterS, String token);

    /** Requests the endpoint list, and its changes from then on. */
    void watchEndpointList();

    /** Writes a line to the operator's log. {@link AdaptiveScheduler} writes none. */
    void log(String text);
}
