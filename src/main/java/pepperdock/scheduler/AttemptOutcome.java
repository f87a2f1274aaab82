package pepperdock.scheduler;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
    /** Answered. */
    OK,
    /** The endpoint responded with an error. */
    ERROR,
    /** The endpoint rejected the attempt as overloaded, without executing it. */
    OVERLOADED,
    /** No response in time. */
    TIMEOUT,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The connection was lost before the response. */
    RESET,
    /** Cancelled by the scheduler. */
    CANCELLED,
    /** The caller did not send it. */
    NOT_SENT;

    /** True when this outcome proves that the attempt never ran. */
    public boolean neverExecuted() {
        return this == OVERLOADED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
