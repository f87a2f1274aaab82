package pepperdock.scheduler;

/** How an attempt or a probe ended. */
public enum AttemptOutcome {
    OK,
    ERROR,
    OVERLOADED,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NOT_SENT;

    /** True when this outcome proves that the attempt never ran. */
    public boolean neverExecuted() {
        return this == OVERLOADED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
