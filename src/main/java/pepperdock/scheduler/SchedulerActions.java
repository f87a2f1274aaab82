package pepperdock.scheduler;

/** What the module asks of its mixer, to be carried out in the order called, without calling back. */
public interface SchedulerActions {

    /** Starts an attempt of a part, abandoned at clock time {@code until}. */
    void sendAttempt(long part, String searcher, double until);

    /** Ceases to await an attempt; its end is still told. */
    void cancelAttempt(long part, int attempt);

    /** Answers from the parts that are in; the final answer, unless a second step follows. */
    void answerQuery(long query, boolean whole);

    /** Final: refused, a repeat is harmless; the client is told to pause so long (0: no advice). */
    void rejectQuery(long query, double pauseS);

    /** Final: failed, with no promise about effects. */
    void failQuery(long query);

    /** Asks a searcher how it does. */
    void checkHealth(String searcher);

    /** Closes the idle connections to a searcher, so that the next call opens a new one. */
    void closeIdleConnections(String searcher);

    /** Asks for {@link Scheduler#onTimer} after {@code afterS}. */
    void setTimer(double afterS, String token);

    /** Asks for changes of the list from now on. */
    void watchEndpointList();

    /** A line for the operator's log. */
    void log(String text);
}
