package pepperdock.scheduler;

/** The outcome of an attempt or of a health check. */
public enum AttemptOutcome {
    /** The endpoint answered. */
    OK,
    /** The endpoint responded with an error. */
    ERROR,
    /** The endpoint rejected the attempt as overloaded, without executing it. */
    OVERLOADED,
    /** No response came in time. */
    TIMEOUT,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The connection was lost before the response. */
    RESET,
    /** The scheduler cancelled the attempt. */
    CANCELLED,
    /** The caller did not send the attempt. */
    NOT_SENT;

    /** Returns whether this outcome proves that the attempt was never executed. */
    public boolean neverExecuted() {
        return this == OVERLOADED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
