package pepperdock.core;

/**
 * Receives the final answer of one query on behalf of its client. Exactly one of {@link #onAnswer}, {@link #onRejected}
 * and {@link #onFailed} is called, once, unless the client disconnects first. If the method called throws an exception,
 * {@link #onFailed} is called in its place, so that the client gets an answer all the same; it must then have no effect
 * where an answer has been sent. Called on the gatherer's thread.
 */
public interface QueryListener {

    /**
     * Called with the final answer, which consists of the parts of {@code query} that have a value.
     *
     * @param complete whether the answer counts as complete
     */
    void onAnswer(Query query, boolean complete);

    /**
     * Called when the query was rejected and may safely be repeated.
     *
     * @param retryAfterS seconds after which the client should try again, 0 for no advice
     */
    void onRejected(Query query, double retryAfterS);

    /**
     * Called when the query has failed and may or may not have had an effect.
     *
     * @param overdue whether the query's time had run out
     */
    void onFailed(Query query, boolean overdue);

    /**
     * Called right before an attempt starts, to find out whether the client has disconnected: the kernel may have
     * received a disconnect that the busy thread has not read yet. If the client has disconnected, {@link
     * Gatherer#onClientGone} has been called by the time this method returns.
     */
    default void pollForDisconnect() {}
}
