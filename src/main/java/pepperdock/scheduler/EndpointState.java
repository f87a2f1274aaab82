package pepperdock.scheduler;

/** State of a listed endpoint. */
public enum EndpointState {
    /** Takes attempts. */
    HEALTHY,
    /** Finishes outstanding attempts and takes no new ones. */
    DRAINING,
    /** Gone; its id is not used again. */
    REMOVED
}
