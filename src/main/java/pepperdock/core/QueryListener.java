package pepperdock.core;

/**
 * The client's side of one query. Exactly one of {@link #onAnswer}, {@link #onRejected} and {@link #onFailed} is called, once,
 * unless the client disconnects first. Called on the gatherer's thread.
 */
public interface QueryListener {

    /**
     * The final answer, from the parts of {@code query} that have a value.
     *
     * @param complete whether the answer counts as complete
     */
    void onAnswer(Query query, boolean complete);

    /**
     * The query was rejected, and a repeat is harmless.
     *
     * @param retryAfterS seconds after which the client should try again, 0 for no advice
     */
    void onRejected(Query query, double retryAfterS);

    /**
     * The query has failed, with no promise about effects.
     *
     * @param overdue whether its time had run out
     */
    void onFailed(Query query, boolean overdue);

    /**
     * Called right before an attempt starts: finds out whether the client has disconnected, which may still stand unread in the
     * kernel where the thread was busy. If it has, {@link Gatherer#onClientGone} was called when this returns.
     */
    default void pollForDisconnect() {}
}
