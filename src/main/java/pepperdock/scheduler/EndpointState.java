package pepperdock.scheduler;

/** State of a listed endpoint. */
public enum EndpointState {
    /** Takes new attempts. */
    HEALTHY,
    /** Finishes outstanding attempts and takes no new ones. */
    DRAINING,
    /** Removed; its id is not used again. */
    REMOVED
}
