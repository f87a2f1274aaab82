package pepperdock.core;

/** The asking side of one query; exactly one of the first three is called, once. */
public interface QueryListener {

    /** The final answer, from the parts of {@code query} that are in. */
    void onAnswer(Query query, boolean whole);

    /** Trying again is harmless; {@code pauseS} is when to come back, 0 for no advice. */
    void onRejected(Query query, double pauseS);

    /** Given up with no promise about effects; {@code overdue} where its time had run out. */
    void onFailed(Query query, boolean overdue);

    /**
     * Asked right before an attempt begins: takes in whether the client has left by now. If it has, {@link Gatherer#onClientGone}
     * has been called when this returns. The word may still stand unread in the kernel where the loop was busy.
     */
    default void pollForDisconnect() {}
}
